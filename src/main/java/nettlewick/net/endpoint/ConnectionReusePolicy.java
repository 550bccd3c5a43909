package nettlewick.net.endpoint;

/**
 * How far connections that have idled can be trusted. Danger: where runners, or something on the way, close
 * or reset kept connections, a request written to one ends as a reset: it may have run for all that is known,
 * and a mark-submit cannot go again. Probes go on using kept ones, and so tell when they are safe again.
 */
final class ConnectionReusePolicy {
    /** Weight of the latest use. */
    private static final double LATEST_USE_WEIGHT = 0.1;
    /** Share of bad uses from which a new connection is the cheaper way. */
    private static final double MAX_FAILURE_RATE = 0.02;

    private double failureRate;

    /** A kept connection was used, and broke before any answer, or did not. */
    void recordUse(boolean broke) {
        failureRate += LATEST_USE_WEIGHT * ((broke ? 1 : 0) - failureRate);
    }

    /** Whether a job may go out on a kept connection. */
    boolean allowsReuse() {
        return failureRate < MAX_FAILURE_RATE;
    }
}
