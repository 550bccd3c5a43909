package nettlewick.core;

import nettlewick.decision.SchedulerSettings;
import nettlewick.decision.SchedulerSettings.Idempotency;
import nettlewick.decision.SchedulerSettings.RequestClass;

/** Accepts requests and immediately answers those that cannot be accepted. Core thread only. */
final class RequestIntake {
    private static final String ID_TAKEN = "the id of a request that was taken before";

    private final CoreLoop loop;
    private final InFlightTable table;
    private final FinalAnswers answers;
    private final DeadlineGuard deadlineGuard;
    private final DrainHandover drainHandover;
    private final RequestListener listener;
    private final SchedulerSettings settings;
    private final RetryAdvice retryAdvice;
    private AcceptedIds acceptedIds = AcceptedIds.NONE;

    RequestIntake(
            CoreLoop loop,
            InFlightTable table,
            FinalAnswers answers,
            DeadlineGuard deadlineGuard,
            DrainHandover drainHandover,
            RequestListener listener,
            SchedulerSettings settings,
            RetryAdvice retryAdvice) {
        this.loop = loop;
        this.table = table;
        this.answers = answers;
        this.deadlineGuard = deadlineGuard;
        this.drainHandover = drainHandover;
        this.listener = listener;
        this.settings = settings;
        this.retryAdvice = retryAdvice;
    }

    void setAcceptedIds(AcceptedIds acceptedIds) {
        this.acceptedIds = acceptedIds;
    }

    void accept(Request request) {
        if (table.isKnownId(request.id())) {
            // The module accepts an id only once, so a duplicate of a request in flight would never be answered. A
            // duplicate of a finished request might be executed twice.
            answers.failUnaccepted(request, ID_TAKEN);
        } else if (table.isFull()) {
            answers.rejectUnaccepted(request, retryAdvice.whileFull());
        } else if (request.deadlineMillis() <= loop.nowMillis()) {
            // The deadline passed on the client connection or in the queue; nothing was sent, so a retry is safe.
            answers.rejectUnaccepted(request, retryAdvice.atOtherDispatcher());
        } else if (!claimId(request)) {
            answers.failUnaccepted(request, ID_TAKEN);
        } else {
            InFlightRequest inFlight = table.add(request, classOf(request));
            listener.onRequestAccepted(request);
            deadlineGuard.watch(inFlight);
            drainHandover.admit(inFlight);
        }
    }

    /** Whether no other process may send this request to an endpoint, where that would matter. */
    private boolean claimId(Request request) {
        return classOf(request).idempotency() == Idempotency.IDEMPOTENT || acceptedIds.claim(request.id());
    }

    /** Throws for an unknown request class; frontends do not accept such requests. */
    private RequestClass classOf(Request request) {
        return settings.classes().stream()
                .filter(c -> c.name().equals(request.requestClass()))
                .findFirst()
                .orElseThrow();
    }
}
