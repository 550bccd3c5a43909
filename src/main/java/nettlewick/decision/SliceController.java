package nettlewick.decision;

import java.util.SplittableRandom;

/** Decides on each tick whether the slice binds, and once an interval what it is and what peers get of it. */
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

    /** Begins the first interval at a random phase, so that dispatchers don't act in step. */
    void start() {
        nextIntervalAt = clock.now()
                + SchedulerTimings.SHARE_INTERVAL_NANOS / 2
                + random.nextLong(SchedulerTimings.SHARE_INTERVAL_NANOS);
        admission.start();
    }

    /** On each tick. */
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

    /** The slice binds while a fresh report exists and none shows a free slot. */
    private void updateBinding() {
        boolean hasFreshReport = false;
        boolean hasFreeSlot = false;
        for (Endpoint endpoint : pools.withoutExclusive(probePool.probed())) {
            if (endpoint.isReady() && endpoint.capacity().isFresh(clock.now())) {
                hasFreshReport = true;
                hasFreeSlot |= capacity.freeSlots(endpoint) >= 1;
            }
        }
        admission.dealCredit();
        slice.setBinding(hasFreshReport && !hasFreeSlot);
    }

    /** Measures what a warm endpoint of each kind carries for this dispatcher. */
    private void measureCarriedRates() {
        for (EndpointPool pool : pools.shared()) {
            long warm = pool.ready().stream()
                    .filter(endpoint -> !slowStart.isWarmingUp(endpoint, clock.now()))
                    .count();
            pool.stats().closeInterval(warm);
        }
    }

    /** Demands, rates, the slice and its augmented share, then transfers along the ring. */
    private void closeInterval() {
        admission.dealCredit();
        double seconds = SchedulerTimings.SHARE_INTERVAL_NANOS / 1e9;
        admission.closeInterval(seconds);
        rates.closeInterval(seconds);
        double floor = CapacitySlice.floor(statistics.meanCost(), seconds);
        slice.adjust(rates, floor);
        slice.updateAugmentedShare(admission.credits());
        if (hasPeers) {
            exchange.closeInterval(floor);
        }
    }
}
