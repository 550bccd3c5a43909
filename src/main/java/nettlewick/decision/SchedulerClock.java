package nettlewick.decision;

/** The time of the batch of events being handled, in nanoseconds. It never goes back. */
final class SchedulerClock {
    /** A moment before all others. */
    static final long NEVER = Long.MIN_VALUE / 2;

    private boolean isStarted;
    private long nowNanos;

    /** Moves to the time of the next batch; an earlier time than the last one's is not believed. */
    void advanceTo(long timeNanos) {
        nowNanos = isStarted ? Math.max(nowNanos, timeNanos) : timeNanos;
        isStarted = true;
    }

    /** The time of the batch being handled. */
    long now() {
        return nowNanos;
    }
}
