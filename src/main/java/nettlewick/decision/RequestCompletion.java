package nettlewick.decision;

import nettlewick.decision.Action.Cancel;
import nettlewick.decision.Action.Fail;
import nettlewick.decision.Action.Reject;
import nettlewick.decision.Event.StreamStarted;
import nettlewick.decision.SchedulerSettings.Limits;

/** Gives requests their final answer and forgets them once nothing of them is in flight. */
final class RequestCompletion {
    private final Limits limits;
    private final ActionBatch actions;
    private final RequestTable table;
    private final ServiceRates rates;
    private final AdmissionController admission;

    RequestCompletion(
            Limits limits, ActionBatch actions, RequestTable table, ServiceRates rates, AdmissionController admission) {
        this.limits = limits;
        this.actions = actions;
        this.table = table;
        this.rates = rates;
        this.admission = admission;
    }

    /** Ends a request that no further attempt may answer: rejected where that is truthful, else failed. */
    void giveUp(ScheduledRequest request) {
        if (request.attemptCount() > 0) {
            rates.recordLost(request.cost());
        }
        if (RetryPolicy.isSafeToReject(request)) {
            reject(request);
        } else {
            actions.add(new Fail(request.id()));
            close(request);
        }
    }

    /** Rejects the request, with a time after which to try again where the site allows that. */
    void reject(ScheduledRequest request) {
        actions.add(new Reject(request.id(), limits.allowsRetryAfter() ? admission.retryAfter(request) : 0));
        close(request);
    }

    /** Rejects an arrival of a class that the settings don't name. */
    void rejectUnknownClass(String id) {
        actions.add(new Reject(id, limits.allowsRetryAfter() ? limits.maxRetryAfterNanos() : 0));
    }

    /** Records that the request has its answer, or needs none. */
    void close(ScheduledRequest request) {
        request.markAnswered();
        if (request.inFlightAttempts() == 0) {
            table.remove(request);
        }
    }

    /** Cancels the attempts in flight beside the one that answers. */
    void cancelOthers(ScheduledRequest request, int answeringAttempt) {
        for (Attempt attempt : request.attempts()) {
            if (!attempt.hasEnded() && attempt.number() != answeringAttempt && limits.allowsCancel()) {
                actions.add(new Cancel(request.id(), attempt.number()));
            }
        }
    }

    /** A streamed answer has begun: only its attempt may go on. */
    void recordStreamStarted(StreamStarted event) {
        ScheduledRequest request = table.find(event.id());
        if (request != null) {
            request.markStreaming();
            cancelOthers(request, event.attempt());
        }
    }

    /** The client waits no more. */
    void recordAbandoned(String id) {
        ScheduledRequest request = table.find(id);
        if (request != null) {
            close(request);
        }
    }
}
