package nettlewick.core;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import nettlewick.decision.SchedulerSettings.Idempotency;
import nettlewick.decision.SchedulerSettings.RequestClass;

/**
 * A request from its acceptance until its final answer and the outcome of its last attempt. Owned by the core
 * thread; only {@link #isAnswered} may be read by others.
 */
final class InFlightRequest {
    private static final int INITIAL_ATTEMPT_CAPACITY = 2;

    private final Request request;
    private final RequestClass requestClass;
    private final List<Attempt> attempts = new ArrayList<>(INITIAL_ATTEMPT_CAPACITY);
    /** Volatile since the event loop reads it before it writes an attempt to an endpoint. */
    private volatile boolean answered;

    InFlightRequest(Request request, RequestClass requestClass) {
        this.request = request;
        this.requestClass = requestClass;
    }

    Request request() {
        return request;
    }

    String id() {
        return request.id();
    }

    /** The attempts in the order of their numbers, as a view. */
    List<Attempt> attempts() {
        return Collections.unmodifiableList(attempts);
    }

    /** Adds the next attempt, not sent yet. */
    Attempt addAttempt(String endpoint, double nowMillis) {
        Attempt attempt =
                new Attempt(request, attempts.size(), endpoint, nowMillis, latestStartMillis(), () -> !answered);
        attempts.add(attempt);
        return attempt;
    }

    /** Whether its final answer is decided. Any thread. */
    boolean isAnswered() {
        return answered;
    }

    /** Marks the final answer as decided; true for the first call only. */
    boolean markAnswered() {
        boolean first = !answered;
        answered = true;
        return first;
    }

    /** Whether it may be rejected without the risk that a retry executes it twice with effect. */
    boolean isSafeToReject() {
        return attempts.stream().noneMatch(Attempt::mayHaveRun) || requestClass.idempotency() == Idempotency.IDEMPOTENT;
    }

    /**
     * Until when one more attempt may start: the deadline, and with an idempotency key also the end of the dedup
     * window, counted from the first attempt that may have run.
     */
    private double latestStartMillis() {
        if (requestClass.idempotency() == Idempotency.KEYED) {
            for (Attempt attempt : attempts) {
                if (attempt.mayHaveRun()) {
                    double windowEnd = attempt.sentAtMillis() + ModuleTime.toMillis(requestClass.dedupWindow());
                    return Math.min(request.deadlineMillis(), windowEnd);
                }
            }
        }
        return request.deadlineMillis();
    }

    boolean hasAttemptInFlight() {
        return attempts.stream().anyMatch(a -> !a.isEnded());
    }
}
