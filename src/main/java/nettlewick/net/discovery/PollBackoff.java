package nettlewick.net.discovery;

import java.util.SplittableRandom;

/**
 * Exponential backoff with jitter between calls to discovery, in milliseconds. An agent on the own machine
 * bears any number of calls. A shared service handles the calls of all dispatchers one after another, so the
 * pauses grow with their number. Does no I/O; the random numbers are the caller's.
 */
final class PollBackoff {
    private static final double MIN_PAUSE_MILLIS = 100;
    private static final double MAX_PAUSE_MILLIS = 2000;
    /** Longest pause for an agent: what it sends after its return is needed at once. */
    private static final double AGENT_MAX_PAUSE_MILLIS = 400;
    /** Time for the first message, of an agent and of a shared service at its slowest. */
    private static final double FIRST_MESSAGE_TIMEOUT_MILLIS = 1500;

    private static final double MAX_FIRST_MESSAGE_TIMEOUT_MILLIS = 5000;

    private final boolean sharedService;
    private final double minMillis;
    private final double maxMillis;
    private final double firstMessageTimeoutMillis;
    private final SplittableRandom random;
    private double ceilingMillis;

    /**
     * @param asked  whether discovery is one service that is asked, not an agent that has been told
     * @param askers dispatchers of the tier
     * @param within who has not asked for so long counts as told (the settings' {@code ask_within}), in ms
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

    /** A list has arrived: the next pause is a short one again. */
    void reset() {
        ceilingMillis = minMillis;
    }

    /**
     * Time to wait for the first message; shorter, a call to a busy shared service would be repeated too
     * early.
     */
    double firstMessageTimeoutMillis() {
        return firstMessageTimeoutMillis;
    }

    /** Whether discovery is one service that all dispatchers call, and not an agent of this one. */
    boolean isSharedService() {
        return sharedService;
    }

    /**
     * Draws the next pause; the limit for the one after doubles. Pauses for a shared service are drawn from
     * the whole range, so that dispatchers cut off together return spread out.
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
