package nettlewick.decision;

import java.util.Collection;
import nettlewick.decision.SchedulerSettings.RequestClass;

/** What room an endpoint is believed to have, from its reports, own requests in flight and peers' messages. */
final class CapacityEstimator {
    /** A load report may be this much older than its answer; own requests sent within it don't show in it yet. */
    private static final long REPORT_LAG_NANOS = SchedulerTimings.SHARE_INTERVAL_NANOS / 2;

    private static final int REPORT_LAG_TICKS = (int) (REPORT_LAG_NANOS / SchedulerTimings.TICK_NANOS);
    /** Slots by which a report may be off. */
    private static final double REPORT_NOISE_SLOTS = 0.3;
    /** Slots of a kind that requests bound to it keep from less valuable ones that may go elsewhere. */
    private static final double RESERVED_SLOTS = 1;

    private static final long MIN_OVERLOAD_NANOS = SchedulerTimings.TICK_NANOS / 2;

    private final SchedulerClock clock;
    private final EndpointPools pools;
    private final RequestStatistics statistics;
    /** By kind, from -1 on: the highest priority weight of a class that is bound to the kind. */
    private final double[] boundPriorityByKind;

    private int ticks;

    CapacityEstimator(SchedulerContext context, EndpointPools pools, RequestStatistics statistics) {
        SchedulerSettings settings = context.settings();
        this.clock = context.clock();
        this.pools = pools;
        this.statistics = statistics;
        boundPriorityByKind = new double[settings.kinds().size() + 1];
        for (RequestClass requestClass : settings.classes()) {
            int kind = requestClass.kind() + 1;
            boundPriorityByKind[kind] = Math.max(boundPriorityByKind[kind], requestClass.priorityWeight());
        }
    }

    /** On each tick: remembers what is known to be in use, to compare later reports with. */
    void tick(Collection<Endpoint> endpoints) {
        ticks++;
        endpoints.forEach(endpoint -> endpoint.inFlight().recordTick(ticks));
    }

    /**
     * Takes a load report over. What was known to be in use when it was made is added back, since that is
     * known better now; what remains is known from the report alone: a queue, or work of others.
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

    /** Slots that are free but for this dispatcher's own requests. */
    private double slotsLeftByOthers(Endpoint endpoint) {
        return endpoint.capacity().smoothedFreeSlots() - endpoint.inFlight().peerSlots() + REPORT_NOISE_SLOTS;
    }

    /** Slots that are free now. */
    double freeSlots(Endpoint endpoint) {
        return slotsLeftByOthers(endpoint) - endpoint.inFlight().slots();
    }

    /** Slots, bounded by memory, that would be left beside this request; below 0 it has to wait. */
    double spareSlots(ScheduledRequest request, Endpoint endpoint) {
        double free = freeSlots(endpoint);
        double blocked = OutlierDetector.blockedSlots(endpoint, clock.now());
        free = wasRecentlyOverloaded(request, endpoint) || blocked > 0 ? Math.min(-blocked, free) : free;
        free -= isReservedFrom(request, endpoint) ? RESERVED_SLOTS : 0;
        boolean lacksMemory = request.arrival().memory() > endpoint.capacity().freeMemory();
        return (lacksMemory ? Math.min(free, 0) : free) - request.arrival().slots();
    }

    private boolean isReservedFrom(ScheduledRequest request, Endpoint endpoint) {
        return request.requestClass().kind() < 0
                && endpoint.kind() >= 0
                && boundPriorityByKind[endpoint.kind() + 1]
                        > request.requestClass().priorityWeight();
    }

    /** Whether the endpoint rejected a request so lately that hardly a slot can have become free since. */
    boolean wasRecentlyOverloaded(ScheduledRequest request, Endpoint endpoint) {
        return clock.now() - endpoint.capacity().overloadedAt()
                < (long) Math.max(MIN_OVERLOAD_NANOS, statistics.meanLatency(request) / 4);
    }
}
