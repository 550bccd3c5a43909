package nettlewick.decision;

/** An endpoint's capacity according to its load reports and answers. */
final class EndpointCapacity {
    private static final double MIN_BUSY_SHARE = 0.01;

    private long reportedAt = SchedulerClock.NEVER;
    private double freeSlots;
    private double queuedSlots;
    private double freeMemory;
    private boolean isQueueProvenEmpty;
    private boolean reportsQueue;
    private double smoothedFreeSlots;
    private long smoothedAt = SchedulerClock.NEVER;
    private long overloadedAt = SchedulerClock.NEVER;
    private boolean isProbePending;

    /** Discards the data of the endpoint's previous incarnation. */
    void reset() {
        reportedAt = SchedulerClock.NEVER;
        smoothedAt = SchedulerClock.NEVER;
        overloadedAt = SchedulerClock.NEVER;
    }

    /** Applies a load report, converting whichever values this site reports to slots. */
    void applyReport(EndpointLoad load, long now, EndpointKindStats stats, LargestRequest largest) {
        reportedAt = now;
        freeMemory = Double.isNaN(load.freeMemory()) ? Double.MAX_VALUE : load.freeMemory();
        double outstanding = Double.isNaN(load.outstandingRequests()) ? 0 : load.outstandingRequests();
        boolean hasQueue = !Double.isNaN(load.queuedRequests());
        freeSlots = freeSlots(load, outstanding, hasQueue);
        if (freeSlots >= 1) {
            stats.recordFreeSlots(freeSlots + outstanding);
        }
        queuedSlots =
                hasQueue ? load.queuedRequests() : freeSlots >= 1 ? 0 : Math.max(0, outstanding - stats.maxFreeSlots());
        reportsQueue = hasQueue;
        // Without a reported queue, a request that is too large may be waiting although slots are free. Only enough
        // capacity for the largest request proves that the queue is empty.
        isQueueProvenEmpty =
                hasQueue ? queuedSlots < 0.5 : freeSlots >= largest.slots() && freeMemory >= largest.memory();
    }

    private static double freeSlots(EndpointLoad load, double outstanding, boolean hasQueue) {
        if (!Double.isNaN(load.freeSlots())) {
            return load.freeSlots();
        }
        if (hasQueue) {
            return load.queuedRequests() < 1 ? 1 : 0;
        }
        if (!Double.isNaN(load.busyShare())) {
            return load.busyShare() < 1 ? 1 / Math.max(load.busyShare(), MIN_BUSY_SHARE) : 0;
        }
        return 1 / (1 + outstanding);
    }

    /** Smooths free slots over reports; a previous value older than {@code windowNanos} is discarded. */
    void smoothFreeSlots(double sample, long windowNanos, long now) {
        smoothedFreeSlots =
                now - smoothedAt > windowNanos ? sample : smoothedFreeSlots + (sample - smoothedFreeSlots) / 2;
        smoothedAt = now;
    }

    long reportedAt() {
        return reportedAt;
    }

    /** Whether the last report is recent enough to be used. */
    boolean isFresh(long now) {
        return now - reportedAt <= SchedulerTimings.SHARE_INTERVAL_NANOS;
    }

    double freeSlots() {
        return freeSlots;
    }

    double queuedSlots() {
        return queuedSlots;
    }

    double freeMemory() {
        return freeMemory;
    }

    /** Whether the last report proves that no request is queued. */
    boolean isQueueProvenEmpty() {
        return isQueueProvenEmpty;
    }

    /** Whether its reports include the number of queued requests. */
    boolean reportsQueue() {
        return reportsQueue;
    }

    /** Free slots as they would be without the requests known to be in flight there, smoothed over reports. */
    double smoothedFreeSlots() {
        return smoothedFreeSlots;
    }

    void recordOverload(long now) {
        overloadedAt = now;
    }

    long overloadedAt() {
        return overloadedAt;
    }

    void setProbePending(boolean isPending) {
        isProbePending = isPending;
    }

    boolean isProbePending() {
        return isProbePending;
    }
}
