package nettlewick.decision;

import nettlewick.decision.Action.Dispatch;

/** Sends an attempt to the endpoint that was selected for it, and accounts for it there. */
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

    /** Sends the request's next attempt; the selection must name an endpoint. */
    void send(ScheduledRequest request, EndpointSelection selection) {
        Endpoint endpoint = selection.endpoint();
        Attempt attempt = request.addAttempt(endpoint, clock.now());
        if (request.hasKey()) {
            affinity.recordDispatch();
        }
        if (selection.hasFreeCapacity() || statistics.meanLatency(request) == 0) {
            attempt.markSentToFreeCapacity();
        } else {
            attempt.predictWait(latency.queueTime(request, endpoint));
        }
        if (endpoint.inFlight().isEmpty()) {
            endpoint.health().recordResponse(clock.now());
        }
        endpoint.inFlight().add(attempt);
        // Cost hints are rough, and many light requests load a warming endpoint more than their hints say.
        endpoint.slowStartCredit().spend(Math.max(request.cost(), statistics.meanCost() / 2));
        actions.add(new Dispatch(request.id(), endpoint.id(), 0));
    }
}
