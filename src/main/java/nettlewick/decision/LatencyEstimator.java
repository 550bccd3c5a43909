package nettlewick.decision;

/** Estimates how long a request would wait and run at an endpoint, and compares that with its latency objective. */
final class LatencyEstimator {
    /** Fraction of its latency objective that a request may be expected to wait. */
    private static final double MAX_WAIT_SHARE = 0.5;
    /**
     * A request counts as high-value if its priority per slot exceeds the mean by this factor. Such requests are still
     * sent in cases in which others are not.
     */
    private static final double HIGH_VALUE_FACTOR = 1.2;

    private final SchedulerClock clock;
    private final EndpointPools pools;
    private final RequestStatistics statistics;
    private final CapacityEstimator capacity;

    LatencyEstimator(
            SchedulerClock clock, EndpointPools pools, RequestStatistics statistics, CapacityEstimator capacity) {
        this.clock = clock;
        this.pools = pools;
        this.statistics = statistics;
        this.capacity = capacity;
    }

    /** Whether a fresh report shows that waiting there would make the request miss its latency objective. */
    boolean wouldMissObjective(ScheduledRequest request, Endpoint endpoint) {
        double wait = expectedWait(request, endpoint);
        double slack = objective(request) - runTime(request, endpoint);
        return endpoint.capacity().isFresh(clock.now())
                && wait > Math.max(MAX_WAIT_SHARE * request.requestClass().latencyObjectiveNanos(), slack);
    }

    /** The calibrated queue time, or the time that an own request has already waited there if that is longer. */
    private double expectedWait(ScheduledRequest request, Endpoint endpoint) {
        return Math.max(
                queueTime(request, endpoint)
                        * pools.statsFor(endpoint).waitCalibration().factor(),
                OutlierDetector.longestWait(endpoint, clock.now()));
    }

    /** Time in nanoseconds, before calibration, to serve the queue ahead of the request, which holds all classes. */
    double queueTime(ScheduledRequest request, Endpoint endpoint) {
        return Math.max(0, -capacity.spareSlots(request, endpoint))
                * statistics.meanRunTime()
                / Math.max(1, pools.statsFor(endpoint).maxFreeSlots());
    }

    /** Time after arrival, in nanoseconds, within which an answer keeps its full value. */
    double objective(ScheduledRequest request) {
        return request.requestClass().latencyObjectiveNanos()
                + request.requestClass().objectiveStretch() * estimatedRunTime(request);
    }

    /** Whether the latency objective has already been missed. */
    boolean isPastObjective(ScheduledRequest request) {
        return clock.now() > request.arrivedAt() + objective(request);
    }

    /** Whether an attempt that started now without waiting would meet the objective. */
    boolean canStillMeetObjective(ScheduledRequest request) {
        return clock.now() + estimatedRunTime(request) <= request.arrivedAt() + objective(request);
    }

    /** Whether the request would run too long there to meet its objective even without waiting. */
    boolean isTooSlowFor(ScheduledRequest request, Endpoint endpoint) {
        return runTime(request, endpoint) > objective(request);
    }

    /** Whether the request's priority per slot is clearly above the mean. */
    boolean isHighValue(ScheduledRequest request) {
        return request.priorityPerSlot() > HIGH_VALUE_FACTOR * statistics.meanPriorityPerSlot();
    }

    /** Expected run time there in nanoseconds: the cost hint scaled by the slowdown of the endpoint and its kind. */
    private double runTime(ScheduledRequest request, Endpoint endpoint) {
        return estimatedRunTime(request)
                * (request.hasCostHint() ? OutlierDetector.expectedSlowdown(endpoint, pools.statsFor(endpoint)) : 1);
    }

    private double estimatedRunTime(ScheduledRequest request) {
        return request.hasCostHint() ? request.arrival().costHintNanos() : statistics.meanLatency(request);
    }
}
