package nettlewick.decision;

import nettlewick.decision.SchedulerSettings.Idempotency;
import nettlewick.decision.SchedulerSettings.Scope;

/** Whether a request may go to an endpoint at all, whatever its room. */
final class EndpointEligibility {
    private final SchedulerClock clock;
    private final EndpointPools pools;
    private final RequestStatistics statistics;
    private final SlowStartBudget slowStart;

    EndpointEligibility(
            SchedulerClock clock, EndpointPools pools, RequestStatistics statistics, SlowStartBudget slowStart) {
        this.clock = clock;
        this.pools = pools;
        this.statistics = statistics;
        this.slowStart = slowStart;
    }

    /** Whether the endpoint is ready, healthy, in the request's dedup scope, new to it and warm enough. */
    boolean isEligible(ScheduledRequest request, Endpoint endpoint) {
        return endpoint.isReady()
                && OutlierDetector.mayReceive(endpoint, request, clock.now())
                && isInDedupScope(request, endpoint)
                && !request.wasSentTo(endpoint)
                && slowStartAdmits(endpoint);
    }

    /** Whether an endpoint that may be warming up takes one more request. */
    boolean slowStartAdmits(Endpoint endpoint) {
        return slowStart.admits(endpoint, pools.statsFor(endpoint), statistics.meanCost(), clock.now());
    }

    private static boolean isInDedupScope(ScheduledRequest request, Endpoint endpoint) {
        Attempt executed = request.idempotency() == Idempotency.KEYED ? request.firstPossiblyExecutedAttempt() : null;
        Scope scope = request.requestClass().dedupScope();
        if (executed == null || scope == Scope.ALL) {
            return true;
        }
        EndpointEntry first = executed.endpoint().entry();
        return scope == Scope.CELL
                ? first.cell() == endpoint.entry().cell()
                : first.zone() != null && first.zone().equals(endpoint.entry().zone());
    }
}
