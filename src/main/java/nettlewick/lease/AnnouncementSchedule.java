package nettlewick.lease;

/**
 * Decides when the holder of a lease announces the stored state: a new state several times, since datagrams may get
 * lost, then only its version at longer intervals. Times are in milliseconds. Confined to the lease thread.
 */
final class AnnouncementSchedule {
    /** The number of announcements that include a new state. */
    private static final int ANNOUNCEMENTS_WITH_STATE = 3;
    /** Interval between announcements while the task is idle, in lease durations. */
    static final double IDLE_INTERVAL_LEASES = 10;

    private static final double INTERVAL_LEASES = 1.0 / 2;
    private static final double NEW_STATE_INTERVAL_LEASES = 1.0 / 4;

    private final double leaseMillis;
    private int remainingWithState;
    private double nextAtMillis;
    private boolean wereReportsRequested;

    AnnouncementSchedule(double leaseMillis) {
        this.leaseMillis = leaseMillis;
    }

    /** Schedules the announcement of a newly stored state, which is due at once. */
    void restart(double nowMillis) {
        remainingWithState = ANNOUNCEMENTS_WITH_STATE;
        nextAtMillis = nowMillis;
    }

    /** Stops including the state; called when the lease is no longer held. */
    void stop() {
        remainingWithState = 0;
    }

    /** Whether an announcement is due: at its time, or as soon as the task starts or stops requesting reports. */
    boolean isDue(boolean areReportsRequested, double nowMillis) {
        boolean hasChanged = areReportsRequested != wereReportsRequested;
        wereReportsRequested = areReportsRequested;
        return hasChanged || nowMillis >= nextAtMillis;
    }

    boolean includesState() {
        return remainingWithState > 0;
    }

    /** Schedules the announcement that follows the one being sent. */
    void advance(boolean isIdle, double nowMillis) {
        double longIntervalLeases = isIdle ? IDLE_INTERVAL_LEASES : INTERVAL_LEASES;
        double intervalLeases = remainingWithState > 1 ? NEW_STATE_INTERVAL_LEASES : longIntervalLeases;
        nextAtMillis = nowMillis + intervalLeases * leaseMillis;
        remainingWithState = Math.max(0, remainingWithState - 1);
    }
}
