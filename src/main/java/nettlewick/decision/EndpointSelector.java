package nettlewick.decision;

import java.util.SplittableRandom;
import nettlewick.decision.SchedulerSettings.Idempotency;

/** Selects the endpoint of an attempt: the one with most free capacity in the probe pool, own zone first. */
final class EndpointSelector {
    /** A rank is the number of spare slots, adjusted by these terms so that each criterion outweighs those below it. */
    private static final double LOCAL_CAPACITY_BONUS = 1000;

    private static final double REMOTE_CAPACITY_BONUS = 500;
    private static final double LOCAL_QUEUE_BONUS = 0.5;
    private static final double OVERLOAD_PENALTY = 2000;
    private static final double TOO_SLOW_PENALTY = 600;
    /** Random draws limited to the own zone when no report is fresh; as many follow in which any zone is accepted. */
    private static final int LOCAL_DRAWS = ProbePool.MIN_SIZE;

    private final SchedulerClock clock;
    private final SplittableRandom random;
    private final EndpointRegistry registry;
    private final EndpointPools pools;
    private final RequestStatistics statistics;
    private final CapacityEstimator capacity;
    private final LatencyEstimator latency;
    private final EndpointEligibility eligibility;
    private final KeyAffinity affinity;

    EndpointSelector(
            SchedulerContext context,
            EndpointRegistry registry,
            EndpointPools pools,
            RequestStatistics statistics,
            CapacityEstimator capacity,
            LatencyEstimator latency,
            EndpointEligibility eligibility,
            KeyAffinity affinity) {
        this.clock = context.clock();
        this.random = context.random();
        this.registry = registry;
        this.pools = pools;
        this.statistics = statistics;
        this.capacity = capacity;
        this.latency = latency;
        this.eligibility = eligibility;
        this.affinity = affinity;
    }

    /** Selects an endpoint for the next attempt of the request. */
    EndpointSelection select(ScheduledRequest request) {
        EndpointPool pool = pools.candidates(request);
        Endpoint reenabled = findReenabled(request, pool);
        if (reenabled != null) {
            return new EndpointSelection(reenabled, true);
        }
        Endpoint preferred = null;
        if (request.hasKey()) {
            EndpointSelection byAffinity = affinity.selectPreferred(request, pool);
            preferred = byAffinity.endpoint();
            if (preferred != null && (byAffinity.hasFreeCapacity() || !affinity.maySpillOver())) {
                return byAffinity;
            }
        }
        EndpointSelection best = selectByReports(request, pool);
        if (best.endpoint() == null) {
            return new EndpointSelection(selectAtRandom(request, pool), true);
        }
        return preferred != null && !best.hasFreeCapacity() ? new EndpointSelection(preferred, false) : best;
    }

    /** Finds an idle re-enabled endpoint, which would stay unused while others have more free capacity. */
    private Endpoint findReenabled(ScheduledRequest request, EndpointPool pool) {
        for (Endpoint endpoint : pool.ready()) {
            if (registry.isReenabled(endpoint.id())
                    && endpoint.inFlight().isEmpty()
                    && request.cost() <= statistics.meanCost()
                    && request.attemptCount() == 0
                    && request.idempotency() != Idempotency.NON_IDEMPOTENT
                    && eligibility.isEligible(request, endpoint)) {
                return endpoint;
            }
        }
        return null;
    }

    private EndpointSelection selectByReports(ScheduledRequest request, EndpointPool pool) {
        Endpoint best = null;
        double bestRank = 0;
        boolean hasFreeCapacity = false;
        for (Endpoint endpoint : pool.probed()) {
            if (endpoint.capacity().isFresh(clock.now()) && eligibility.isEligible(request, endpoint)) {
                double spare = capacity.spareSlots(request, endpoint);
                boolean isOverloaded = capacity.wasRecentlyOverloaded(request, endpoint);
                double rank = rank(request, endpoint, spare, isOverloaded);
                if (best == null || rank > bestRank) {
                    best = endpoint;
                    bestRank = rank;
                    hasFreeCapacity = spare >= 0 && !isOverloaded;
                }
            }
        }
        return new EndpointSelection(best, hasFreeCapacity);
    }

    /** Free capacity in the own zone ranks above that in other zones; slow and overloaded endpoints rank lower. */
    private double rank(ScheduledRequest request, Endpoint endpoint, double spare, boolean isOverloaded) {
        double rank = spare >= 0
                ? spare + (endpoint.isLocal() ? LOCAL_CAPACITY_BONUS : REMOTE_CAPACITY_BONUS)
                : spare + (endpoint.isLocal() ? LOCAL_QUEUE_BONUS : 0);
        rank -= isOverloaded ? OVERLOAD_PENALTY : 0;
        rank -= spare >= 0 && latency.isTooSlowFor(request, endpoint) ? TOO_SLOW_PENALTY : 0;
        return rank;
    }

    private Endpoint selectAtRandom(ScheduledRequest request, EndpointPool pool) {
        for (int draw = 0; draw < 2 * LOCAL_DRAWS && !pool.ready().isEmpty(); draw++) {
            Endpoint endpoint = pool.ready().get(random.nextInt(pool.ready().size()));
            if (eligibility.isEligible(request, endpoint) && (endpoint.isLocal() || draw >= LOCAL_DRAWS)) {
                return endpoint;
            }
        }
        return selectLastResort(request, pool);
    }

    /** If no healthy endpoint is left, an ejected one may still be sent a first attempt. */
    private Endpoint selectLastResort(ScheduledRequest request, EndpointPool pool) {
        if (request.attemptCount() > 0 || pool.ready().isEmpty()) {
            return null;
        }
        int start = random.nextInt(pool.ready().size());
        for (int i = 0; i < pool.ready().size(); i++) {
            Endpoint endpoint = pool.ready().get((start + i) % pool.ready().size());
            if (eligibility.slowStartAdmits(endpoint)) {
                return endpoint;
            }
        }
        return null;
    }
}
