package nettlewick.decision;

import java.util.Collection;
import nettlewick.decision.SchedulerSettings.RequestClass;

/** Estimates an endpoint's free slots from its load reports, own requests in flight and peers' load messages. */
final class CapacityEstimator {
    /** A load report may be this much older than its answer and does not include own requests sent in that time. */
    private static final long REPORT_LAG_NANOS = SchedulerTimings.SHARE_INTERVAL_NANOS / 2;

    private static final int REPORT_LAG_TICKS = (int) (REPORT_LAG_NANOS / SchedulerTimings.TICK_NANOS);
    /** Margin of error of a load report, in slots. */
    private static final double REPORT_NOISE_SLOTS = 0.3;
    /** Slots at endpoints of a kind reserved for requests bound to it, against lower-priority ones that are not. */
    private static final double RESERVED_SLOTS = 1;

    private static final long MIN_OVERLOAD_NANOS = SchedulerTimings.TICK_NANOS / 2;

    private final SchedulerClock clock;
    private final EndpointPools pools;
    private final RequestStatistics statistics;
    /** Highest priority weight of the classes bound to a kind, indexed by kind + 1. */
    private final double[] boundPriorityByKind;

    private int ticks;

    CapacityEstimator(SchedulerContext context, EndpointPools pools, RequestStatistics statistics) {
        SchedulerSettings settings = context.settings();
        this.clock = context.clock();
        this.pools = pools;
        this.statistics = statistics;
        boundPriorityByKind = new double[settings.kinds().size() + 1];
        for (RequestClass requestClass : settings.classes()) {
            int kind = requestClass.kindIndex() + 1;
            boundPriorityByKind[kind] = Math.max(boundPriorityByKind[kind], requestClass.priorityWeight());
        }
    }

    /** On each tick, records the slots known to be in use, for comparison with later reports. */
    void tick(Collection<Endpoint> endpoints) {
        ticks++;
        endpoints.forEach(endpoint -> endpoint.inFlight().recordTick(ticks));
    }

    /**
     * Applies a load report. The slots known to be in use when it was made are added back to its free slots, because
     * their current number is known more precisely. What remains occupied is known from the report alone: queued
     * requests, or work from other sources.
     */
    void recordReport(Endpoint endpoint, EndpointLoad load) {
        EndpointKindStats stats = pools.statsFor(endpoint);
        EndpointCapacity capacity = endpoint.capacity();
        capacity.applyReport(load, clock.now(), stats, statistics.largest());
        double free = capacity.freeSlots()
                - capacity.queuedSlots()
                + endpoint.inFlight().slotsAtTick(ticks - REPORT_LAG_TICKS);
        free = Math.min(free, Math.max(1, stats.maxFreeSlots()));
        capacity.smoothFreeSlots(free, SchedulerTimings.SHARE_INTERVAL_NANOS, clock.now());
    }

    /** Slots that would be free without this dispatcher's own requests. */
    private double slotsLeftByOthers(Endpoint endpoint) {
        return endpoint.capacity().smoothedFreeSlots() - endpoint.inFlight().peerSlots() + REPORT_NOISE_SLOTS;
    }

    /** Estimated free slots at present. */
    double freeSlots(Endpoint endpoint) {
        return slotsLeftByOthers(endpoint) - endpoint.inFlight().slots();
    }

    /** Slots that would stay free with this request running, limited by memory; negative if it would be queued. */
    double spareSlots(ScheduledRequest request, Endpoint endpoint) {
        double free = freeSlots(endpoint);
        double blocked = OutlierDetector.blockedSlots(endpoint, clock.now());
        free = wasRecentlyOverloaded(request, endpoint) || blocked > 0 ? Math.min(-blocked, free) : free;
        free -= isReservedFrom(request, endpoint) ? RESERVED_SLOTS : 0;
        boolean lacksMemory = request.arrival().memory() > endpoint.capacity().freeMemory();
        return (lacksMemory ? Math.min(free, 0) : free) - request.arrival().slots();
    }

    private boolean isReservedFrom(ScheduledRequest request, Endpoint endpoint) {
        return request.requestClass().kindIndex() < 0
                && endpoint.kind() >= 0
                && boundPriorityByKind[endpoint.kind() + 1]
                        > request.requestClass().priorityWeight();
    }

    /** Whether the endpoint reported overload so recently that hardly any slot can have become free since. */
    boolean wasRecentlyOverloaded(ScheduledRequest request, Endpoint endpoint) {
        return clock.now() - endpoint.capacity().overloadedAt()
                < (long) Math.max(MIN_OVERLOAD_NANOS, statistics.meanLatency(request) / 4);
    }
}
