package nettlewick.core;

import nettlewick.decision.Action.Cancel;
import nettlewick.decision.Action.Dispatch;
import nettlewick.decision.AttemptResult;
import nettlewick.decision.Event.Progress;
import nettlewick.decision.SchedulerSettings;

/** Sends attempts, enforces their timeouts, and reports one outcome of each to the module. Core thread only. */
final class AttemptTracker {
    private final CoreLoop loop;
    private final InFlightTable table;
    private final EndpointStates endpoints;
    private final FinalAnswers answers;
    private final DrainHandover drainHandover;
    private final RequestListener listener;
    private final Transport transport;
    private final int maxAttempts;

    AttemptTracker(
            CoreLoop loop,
            InFlightTable table,
            EndpointStates endpoints,
            FinalAnswers answers,
            DrainHandover drainHandover,
            RequestListener listener,
            Transport transport,
            SchedulerSettings settings) {
        this.loop = loop;
        this.table = table;
        this.endpoints = endpoints;
        this.answers = answers;
        this.drainHandover = drainHandover;
        this.listener = listener;
        this.transport = transport;
        maxAttempts = settings.limits().maxAttempts();
    }

    /** Starts the attempt that the module requested, or ends it immediately if it must not be sent. */
    void dispatch(Dispatch dispatch) {
        InFlightRequest inFlight = table.get(dispatch.id());
        if (inFlight == null) {
            return;
        }
        double now = loop.nowMillis();
        Attempt attempt = inFlight.addAttempt(dispatch.endpointId(), now);
        AttemptResult unsentResult = resultIfNotSendable(inFlight, attempt, now);
        if (unsentResult != null) {
            end(attempt, Attempt.Outcome.of(unsentResult), now);
            return;
        }
        double deadline = inFlight.request().deadlineMillis();
        double timeoutAt = dispatch.timeoutNanos() > 0
                ? Math.min(deadline, now + ModuleTime.toMillis(dispatch.timeoutNanos()))
                : deadline;
        attempt.setTimeout(loop.schedule(timeoutAt, () -> endAndCancel(attempt, AttemptResult.TIMEOUT)));
        transport.send(attempt);
    }

    /** The result to report for an attempt that must not be sent; null if it may be sent. */
    private AttemptResult resultIfNotSendable(InFlightRequest inFlight, Attempt attempt, double now) {
        if (inFlight.isAnswered() || now >= inFlight.request().deadlineMillis() || attempt.number() >= maxAttempts) {
            return AttemptResult.NOT_SENT;
        }
        if (!endpoints.isKnown(attempt.endpoint())) {
            return AttemptResult.UNREACHABLE;
        }
        // The module's endpoint states may be out of date, so draining endpoints are checked here as well.
        return endpoints.isAccepting(attempt.endpoint()) ? null : AttemptResult.OVERLOADED;
    }

    /** Cancels the attempt that the module names; ignored if there is no such attempt. */
    void cancel(Cancel cancel) {
        InFlightRequest inFlight = table.get(cancel.id());
        if (inFlight != null
                && cancel.attempt() >= 0
                && cancel.attempt() < inFlight.attempts().size()) {
            endAndCancel(inFlight.attempts().get(cancel.attempt()), AttemptResult.CANCELLED);
        }
    }

    private void endAndCancel(Attempt attempt, AttemptResult result) {
        if (!attempt.isEnded()) {
            end(attempt, Attempt.Outcome.of(result), loop.nowMillis());
            transport.cancel(attempt);
        }
    }

    /** Records progress that an endpoint reported and passes it on to the module and the caller. */
    void reportProgress(Attempt attempt, double progress, double reportedAtMillis) {
        if (attempt.isEnded()) {
            return;
        }
        attempt.recordStart(reportedAtMillis);
        attempt.recordProgress(progress);
        loop.addEvent(new Progress(attempt.request().id(), attempt.number(), attempt.endpoint(), progress));
        InFlightRequest inFlight = table.get(attempt.request().id());
        if (inFlight != null && !inFlight.isAnswered()) {
            inFlight.request().caller().onProgress(progress);
        }
    }

    /** Ends an attempt; calls after the first one are ignored. */
    void end(Attempt attempt, Attempt.Outcome outcome, double endedAtMillis) {
        if (!attempt.markEnded()) {
            return;
        }
        attempt.recordEnd(endedAtMillis, outcome.result().neverRan());
        listener.onAttemptEnded(attempt, outcome.result());
        InFlightRequest inFlight = table.get(attempt.request().id());
        boolean isSettled = inFlight == null || inFlight.isAnswered();
        if (!isSettled && outcome.result() == AttemptResult.SERVED) {
            drainHandover.learnRunTime(attempt);
            answers.serve(inFlight, attempt, outcome.body());
            isSettled = true;
        }
        loop.addEvent(ModuleEvents.outcome(attempt, outcome, endedAtMillis, isSettled));
        if (inFlight != null) {
            table.removeIfFinished(inFlight);
        }
    }
}
