package nettlewick.decision;

import nettlewick.decision.Action.Cancel;
import nettlewick.decision.Action.Fail;
import nettlewick.decision.Action.Reject;
import nettlewick.decision.Event.StreamStarted;
import nettlewick.decision.SchedulerSettings.Limits;

/** Gives requests their final answer and removes them once no attempt of theirs is in flight. */
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

    /** Ends a request that gets no further attempt: rejects it if it can safely be sent again, otherwise fails it. */
    void rejectOrFail(ScheduledRequest request) {
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

    /** Rejects the request, with a retry delay if the limits allow one. */
    void reject(ScheduledRequest request) {
        actions.add(new Reject(request.id(), limits.allowsRetryAfter() ? admission.retryAfter(request) : 0));
        close(request);
    }

    /** Rejects an arrival whose request class is not in the settings. */
    void rejectUnknownClass(String id) {
        actions.add(new Reject(id, limits.allowsRetryAfter() ? limits.maxRetryAfterNanos() : 0));
    }

    /** Marks the request as answered, or as needing no answer. */
    void close(ScheduledRequest request) {
        request.markAnswered();
        if (request.inFlightAttempts() == 0) {
            table.remove(request);
        }
    }

    /** Cancels all attempts in flight but the one that answers, if the limits allow it. */
    void cancelOthers(ScheduledRequest request, int answeringAttempt) {
        for (Attempt attempt : request.attempts()) {
            if (!attempt.hasEnded() && attempt.number() != answeringAttempt && limits.allowsCancel()) {
                actions.add(new Cancel(request.id(), attempt.number()));
            }
        }
    }

    /** Handles the start of a streamed answer, which cancels the other attempts. */
    void recordStreamStarted(StreamStarted event) {
        ScheduledRequest request = table.find(event.id());
        if (request != null) {
            request.markStreaming();
            cancelOthers(request, event.attempt());
        }
    }

    /** Handles a client that no longer waits. */
    void recordAbandoned(String id) {
        ScheduledRequest request = table.find(id);
        if (request != null) {
            close(request);
        }
    }
}
