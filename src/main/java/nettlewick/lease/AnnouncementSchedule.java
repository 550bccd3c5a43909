package nettlewick.lease;

/**
 * When the holder of one lease announces what is stored: a new state several times, since datagrams get lost, then only
 * its version at longer intervals. Times are milliseconds. Belongs to the lease thread.
 */
final class AnnouncementSchedule {
    /** A new state goes with this many announcements. */
    private static final int ANNOUNCEMENTS_WITH_STATE = 3;
    /** Leases between announcements of a lease whose task is idle. */
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

    /** A new state is stored: it is announced at once. */
    void restart(double nowMillis) {
        remainingWithState = ANNOUNCEMENTS_WITH_STATE;
        nextAtMillis = nowMillis;
    }

    /** The lease is no longer held. */
    void stop() {
        remainingWithState = 0;
    }

    /** Whether to announce now; at once where the task has begun or ceased to request reports. */
    boolean isDue(boolean areReportsRequested, double nowMillis) {
        boolean hasChanged = areReportsRequested != wereReportsRequested;
        wereReportsRequested = areReportsRequested;
        return hasChanged || nowMillis >= nextAtMillis;
    }

    boolean includesState() {
        return remainingWithState > 0;
    }

    /** Plans the announcement after the one that is being sent. */
    void advance(boolean isIdle, double nowMillis) {
        double longIntervalLeases = isIdle ? IDLE_INTERVAL_LEASES : INTERVAL_LEASES;
        double intervalLeases = remainingWithState > 1 ? NEW_STATE_INTERVAL_LEASES : longIntervalLeases;
        nextAtMillis = nowMillis + intervalLeases * leaseMillis;
        remainingWithState = Math.max(0, remainingWithState - 1);
    }
}
