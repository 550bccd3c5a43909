package nettlewick.core;

import nettlewick.decision.Action.Cancel;
import nettlewick.decision.Action.Dispatch;
import nettlewick.decision.AttemptResult;
import nettlewick.decision.Event.Progress;
import nettlewick.decision.SchedulerSettings;

/** Sends attempts, times them out, and reports exactly one outcome for each to the decision module. Core thread. */
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

    /** Starts the attempt that the module asked for, or ends it at once where it may not be sent. */
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
        loop.schedule(timeoutAt, () -> endAndCancel(attempt, AttemptResult.TIMEOUT));
        transport.send(attempt);
    }

    /** The result of an attempt that may not be sent; null where it may. */
    private AttemptResult resultIfNotSendable(InFlightRequest inFlight, Attempt attempt, double now) {
        if (inFlight.isAnswered() || now >= inFlight.request().deadlineMillis() || attempt.number() >= maxAttempts) {
            return AttemptResult.NOT_SENT;
        }
        if (!endpoints.isKnown(attempt.endpoint())) {
            return AttemptResult.UNREACHABLE;
        }
        // The module's view may lag behind: an endpoint that drains gets nothing new.
        return endpoints.isAccepting(attempt.endpoint()) ? null : AttemptResult.OVERLOADED;
    }

    /** Stops waiting for the attempt that the module names. */
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

    /** Passes on that an endpoint reported progress at that time. */
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

    /** Takes the end of an attempt; only its first end counts. */
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
