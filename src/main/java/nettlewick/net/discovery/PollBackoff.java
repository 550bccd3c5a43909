package nettlewick.net.discovery;

import java.util.SplittableRandom;

/**
 * Exponential backoff with jitter between calls to discovery, in milliseconds. An agent on the same machine can be
 * called at any rate. A shared service handles the calls of all dispatchers one after another, so the pauses grow with
 * the number of dispatchers. Does no I/O; the caller passes the random numbers.
 */
final class PollBackoff {
    private static final double MIN_PAUSE_MILLIS = 100;
    private static final double MAX_PAUSE_MILLIS = 2000;
    /** Longest pause for an agent: once it is back, its updates are needed immediately. */
    private static final double AGENT_MAX_PAUSE_MILLIS = 400;
    /** Timeout for the first message, and its upper limit for a shared service. */
    private static final double FIRST_MESSAGE_TIMEOUT_MILLIS = 1500;

    private static final double MAX_FIRST_MESSAGE_TIMEOUT_MILLIS = 5000;

    private final boolean sharedService;
    private final double minMillis;
    private final double maxMillis;
    private final double firstMessageTimeoutMillis;
    private final SplittableRandom random;
    private double ceilingMillis;

    /**
     * Creates a backoff.
     *
     * @param sharedService whether discovery is one service that all dispatchers call, not an agent of this one
     * @param dispatchers number of dispatchers that call the service
     * @param maxWaitMillis a dispatcher that has not called for this long counts as notified (the settings' {@code
     *     ask_within})
     */
    PollBackoff(boolean sharedService, int dispatchers, double maxWaitMillis, SplittableRandom random) {
        this.sharedService = sharedService;
        this.random = random;
        maxMillis = sharedService ? Math.max(MAX_PAUSE_MILLIS, maxWaitMillis / 2) : AGENT_MAX_PAUSE_MILLIS;
        minMillis = sharedService ? Math.min(maxMillis, MIN_PAUSE_MILLIS * dispatchers) : MIN_PAUSE_MILLIS;
        firstMessageTimeoutMillis = sharedService
                ? Math.min(MAX_FIRST_MESSAGE_TIMEOUT_MILLIS, Math.max(FIRST_MESSAGE_TIMEOUT_MILLIS, maxWaitMillis / 2))
                : FIRST_MESSAGE_TIMEOUT_MILLIS;
        ceilingMillis = minMillis;
    }

    /** Resets the backoff after a list has arrived: the next pause is short again. */
    void reset() {
        ceilingMillis = minMillis;
    }

    /**
     * Timeout for the first message of a call; with a shorter one, a call to a busy shared service would be repeated
     * too early.
     */
    double firstMessageTimeoutMillis() {
        return firstMessageTimeoutMillis;
    }

    /** Whether discovery is one service that all dispatchers call, and not an agent of this one. */
    boolean isSharedService() {
        return sharedService;
    }

    /**
     * Draws the next pause and doubles the limit of the one after it. For a shared service the pause is drawn from the
     * whole range, so that dispatchers that lose their connections together do not call again together.
     *
     * @param limitMillis upper limit of this pause
     */
    double nextPauseMillis(double limitMillis) {
        double boundMillis = Math.min(limitMillis, ceilingMillis);
        double pauseMillis =
                sharedService ? random.nextDouble() * boundMillis : boundMillis * (0.5 + random.nextDouble() / 2);
        ceilingMillis = Math.min(this.maxMillis, 2 * ceilingMillis);
        return Math.max(1, pauseMillis);
    }
}
