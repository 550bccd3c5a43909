package nettlewick.decision;

import nettlewick.decision.Action.Dispatch;

/** Dispatches an attempt to its selected endpoint and accounts for it there. */
final class AttemptSender {
    private final SchedulerClock clock;
    private final ActionBatch actions;
    private final RequestStatistics statistics;
    private final LatencyEstimator latency;
    private final KeyAffinity affinity;

    AttemptSender(
            SchedulerContext context, RequestStatistics statistics, LatencyEstimator latency, KeyAffinity affinity) {
        this.clock = context.clock();
        this.actions = context.actions();
        this.statistics = statistics;
        this.latency = latency;
        this.affinity = affinity;
    }

    /** Sends the request's next attempt; the selection must have an endpoint. */
    void send(ScheduledRequest request, EndpointSelection selection) {
        Endpoint endpoint = selection.endpoint();
        Attempt attempt = request.addAttempt(endpoint, clock.now());
        if (request.hasKey()) {
            affinity.recordDispatch();
        }
        if (selection.hasFreeCapacity() || statistics.meanLatency(request) == 0) {
            attempt.markSentToFreeCapacity();
        } else {
            attempt.setPredictedWait(latency.queueTime(request, endpoint));
        }
        if (endpoint.inFlight().isEmpty()) {
            endpoint.health().recordResponse(clock.now());
        }
        endpoint.inFlight().add(attempt);
        // Cost hints are rough: many cheap requests load an endpoint in slow start more than their hints add up to.
        endpoint.slowStartCredit().spend(Math.max(request.cost(), statistics.meanCost() / 2));
        actions.add(new Dispatch(request.id(), endpoint.id(), 0));
    }
}
