package nettlewick.decision;

/** A monotonic clock that holds the time of the current batch of events, in nanoseconds. */
final class SchedulerClock {
    /** A time before any other; for something that has not happened. */
    static final long NEVER = Long.MIN_VALUE / 2;

    private boolean isStarted;
    private long nowNanos;

    /** Advances to the time of the next batch; a time before that of the last batch is ignored. */
    void advanceTo(long timeNanos) {
        nowNanos = isStarted ? Math.max(nowNanos, timeNanos) : timeNanos;
        isStarted = true;
    }

    /** The time of the current batch. */
    long now() {
        return nowNanos;
    }
}
