package nettlewick.decision;

/** How long a request is expected to wait and run at an endpoint, against its latency objective. */
final class LatencyEstimator {
    /** Part of its latency objective that a request may be expected to wait. */
    private static final double MAX_WAIT_SHARE = 0.5;
    /** A request with a priority per slot above this multiple of the mean is still sent where others are not. */
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

    /** Whether the request would wait there past its latency objective, going by a fresh report. */
    boolean wouldMissObjective(ScheduledRequest request, Endpoint endpoint) {
        double wait = expectedWait(request, endpoint);
        double slack = objective(request) - runTime(request, endpoint);
        return endpoint.capacity().isFresh(clock.now())
                && wait > Math.max(MAX_WAIT_SHARE * request.requestClass().latencyObjective(), slack);
    }

    /** By the queue ahead of it, and no less than an own request has waited there by now. */
    private double expectedWait(ScheduledRequest request, Endpoint endpoint) {
        return Math.max(
                queueTime(request, endpoint)
                        * pools.statsFor(endpoint).waitCalibration().factor(),
                OutlierDetector.longestWait(endpoint, clock.now()));
    }

    /** Nanoseconds that the queue ahead of the request takes, before calibration; it holds all classes. */
    double queueTime(ScheduledRequest request, Endpoint endpoint) {
        return Math.max(0, -capacity.spareSlots(request, endpoint))
                * statistics.meanRunTime()
                / Math.max(1, pools.statsFor(endpoint).maxFreeSlots());
    }

    /** Nanoseconds after arrival within which an answer keeps its full value. */
    double objective(ScheduledRequest request) {
        return request.requestClass().latencyObjective()
                + request.requestClass().objectiveStretch() * estimatedRunTime(request);
    }

    /** Whether an answer now would come after the objective. */
    boolean isPastObjective(ScheduledRequest request) {
        return clock.now() > request.arrivedAt() + objective(request);
    }

    /** Whether an attempt that starts now without waiting would meet the objective. */
    boolean canStillMeetObjective(ScheduledRequest request) {
        return clock.now() + estimatedRunTime(request) <= request.arrivedAt() + objective(request);
    }

    /** Whether the request runs too long there to meet its objective even without waiting. */
    boolean isTooSlowFor(ScheduledRequest request, Endpoint endpoint) {
        return runTime(request, endpoint) > objective(request);
    }

    /** Whether the request's priority per slot is clearly above the mean. */
    boolean isHighValue(ScheduledRequest request) {
        return request.priorityPerSlot() > HIGH_VALUE_FACTOR * statistics.meanPriorityPerSlot();
    }

    /** Nanoseconds that it would run there, by its hint and by how that endpoint and its kind run against hints. */
    private double runTime(ScheduledRequest request, Endpoint endpoint) {
        return estimatedRunTime(request)
                * (request.hasCostHint() ? OutlierDetector.expectedSlowdown(endpoint, pools.statsFor(endpoint)) : 1);
    }

    private double estimatedRunTime(ScheduledRequest request) {
        return request.hasCostHint() ? request.arrival().costHintNanos() : statistics.meanLatency(request);
    }
}
