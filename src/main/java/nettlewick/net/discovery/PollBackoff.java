package nettlewick.net.discovery;

import java.util.SplittableRandom;

/**
 * How long a watch that broke waits before discovery is asked again, in milliseconds. A dispatcher's own
 * agent bears any number of calls. Where discovery is asked, it is one service for the whole tier, which
 * works through calls one after another: what all ask together grows with the tier, and calls that are given
 * up and made again take the place of others. Pure; the random numbers are the caller's.
 */
final class PollBackoff {
    private static final double MIN_PAUSE_MILLIS = 100;
    private static final double MAX_PAUSE_MILLIS = 2000;
    /** The most at an agent, which bears any number of calls: what it gets at its return counts at once. */
    private static final double AGENT_MAX_PAUSE_MILLIS = 400;
    /** A first word that has not come for so long will not: of one that is asked, and at its slowest. */
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

    /** Word has come: the next pause is a short one again. */
    void reset() {
        ceilingMillis = minMillis;
    }

    /** For how long a first line is waited for. Danger: a call that waits its turn is made anew too soon. */
    double firstMessageTimeoutMillis() {
        return firstMessageTimeoutMillis;
    }

    /** Whether discovery is one service that all ask. */
    boolean isSharedService() {
        return sharedService;
    }

    /**
     * The next pause; the one after may be twice as long. All that were cut off at once come back spread over
     * the whole of it where they share one discovery.
     *
     * @param most no pause is longer than this: what is left until what was missed counts as told
     */
    double nextPauseMillis(double limitMillis) {
        double boundMillis = Math.min(limitMillis, ceilingMillis);
        double pauseMillis =
                sharedService ? random.nextDouble() * boundMillis : boundMillis * (0.5 + random.nextDouble() / 2);
        ceilingMillis = Math.min(this.maxMillis, 2 * ceilingMillis);
        return Math.max(1, pauseMillis);
    }
}
