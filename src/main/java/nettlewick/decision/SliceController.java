package nettlewick.decision;

import java.util.SplittableRandom;

/** Updates on each tick whether the slice is binding, and once an interval its rate and the transfers to peers. */
final class SliceController {
    private final SchedulerClock clock;
    private final SplittableRandom random;
    private final EndpointPools pools;
    private final ProbePool probePool;
    private final CapacityEstimator capacity;
    private final RequestStatistics statistics;
    private final ServiceRates rates;
    private final SlowStartBudget slowStart;
    private final CapacitySlice slice;
    private final AdmissionController admission;
    private final SliceExchange exchange;
    private final boolean hasPeers;
    private long nextIntervalAt;

    SliceController(
            SchedulerContext context,
            EndpointPools pools,
            ProbePool probePool,
            CapacityEstimator capacity,
            RequestStatistics statistics,
            ServiceRates rates,
            SlowStartBudget slowStart,
            CapacitySlice slice,
            AdmissionController admission,
            SliceExchange exchange) {
        this.clock = context.clock();
        this.random = context.random();
        this.pools = pools;
        this.probePool = probePool;
        this.capacity = capacity;
        this.statistics = statistics;
        this.rates = rates;
        this.slowStart = slowStart;
        this.slice = slice;
        this.admission = admission;
        this.exchange = exchange;
        hasPeers = context.hasPeers();
    }

    /** Starts the first interval at a random phase, so that dispatchers are not synchronised. */
    void start() {
        nextIntervalAt = clock.now()
                + SchedulerTimings.SHARE_INTERVAL_NANOS / 2
                + random.nextLong(SchedulerTimings.SHARE_INTERVAL_NANOS);
        admission.start();
    }

    /** Runs on each tick. */
    void tick() {
        updateBinding();
        if (clock.now() >= nextIntervalAt) {
            nextIntervalAt = Math.max(
                    nextIntervalAt + SchedulerTimings.SHARE_INTERVAL_NANOS,
                    clock.now() + SchedulerTimings.SHARE_INTERVAL_NANOS / 2);
            measureCarriedRates();
            closeInterval();
            probePool.reselect();
        }
    }

    /** The slice is binding while there are fresh load reports and none of them shows a free slot. */
    private void updateBinding() {
        boolean hasFreshReport = false;
        boolean hasFreeSlot = false;
        for (Endpoint endpoint : pools.withoutExclusive(probePool.probed())) {
            if (endpoint.isReady() && endpoint.capacity().isFresh(clock.now())) {
                hasFreshReport = true;
                hasFreeSlot |= capacity.freeSlots(endpoint) >= 1;
            }
        }
        admission.distributeCredit();
        slice.setBinding(hasFreshReport && !hasFreeSlot);
    }

    /** Measures the work that a warm endpoint of each kind does for this dispatcher. */
    private void measureCarriedRates() {
        for (EndpointPool pool : pools.shared()) {
            long warmEndpoints = pool.ready().stream()
                    .filter(endpoint -> !slowStart.isWarmingUp(endpoint, clock.now()))
                    .count();
            pool.stats().closeInterval(warmEndpoints);
        }
    }

    /** Updates demands, rates, the slice and its augmented share, then transfers capacity along the ring. */
    private void closeInterval() {
        admission.distributeCredit();
        double seconds = SchedulerTimings.SHARE_INTERVAL_NANOS / 1e9;
        admission.closeInterval(seconds);
        rates.closeInterval(seconds);
        double minRate = CapacitySlice.minRate(statistics.meanCost(), seconds);
        slice.adjust(rates, minRate);
        slice.updateAugmentedShare(admission.credits());
        if (hasPeers) {
            exchange.closeInterval(minRate);
        }
    }
}
