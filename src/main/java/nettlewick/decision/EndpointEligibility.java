package nettlewick.decision;

import nettlewick.decision.SchedulerSettings.Idempotency;
import nettlewick.decision.SchedulerSettings.Scope;

/** Decides whether a request may be sent to an endpoint, regardless of free capacity. */
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

    /**
     * Whether the endpoint is ready, healthy, in the request's dedup scope and admitted by slow start, and has not
     * been sent the request before.
     */
    boolean isEligible(ScheduledRequest request, Endpoint endpoint) {
        return endpoint.isReady()
                && OutlierDetector.mayReceive(endpoint, request, clock.now())
                && isInDedupScope(request, endpoint)
                && !request.wasSentTo(endpoint)
                && slowStartAdmits(endpoint);
    }

    /** Whether slow start permits one more request to the endpoint. */
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
