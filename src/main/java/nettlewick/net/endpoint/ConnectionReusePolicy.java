package nettlewick.net.endpoint;

/**
 * Whether idle connections can be trusted with requests. Where endpoints, or something in between, close or
 * reset idle connections, a request written to one may have run and may not be repeatable. Load probes go on
 * using idle connections, and so show when they are safe again.
 */
final class ConnectionReusePolicy {
    /** Weight of the latest use in the moving average. */
    private static final double LATEST_USE_WEIGHT = 0.1;
    /** Failure rate from which a new connection costs less than a broken idle one. */
    private static final double MAX_FAILURE_RATE = 0.02;

    private double failureRate;

    /** Records whether an idle connection broke before any response when it was used. */
    void recordUse(boolean broke) {
        failureRate += LATEST_USE_WEIGHT * ((broke ? 1 : 0) - failureRate);
    }

    /** Whether a request may be sent on an idle connection. */
    boolean allowsReuse() {
        return failureRate < MAX_FAILURE_RATE;
    }
}
