package nettlewick.net;

import java.util.SplittableRandom;

/**
 * How long a watch that broke waits before discovery is asked again, in milliseconds. A dispatcher's own
 * agent bears any number of calls. Where discovery is asked, it is one service for the whole tier, which
 * works through calls one after another: what all ask together grows with the tier, and calls that are given
 * up and made again take the place of others. Pure; the random numbers are the caller's.
 */
final class PollBackoff {
    private static final double LEAST = 100;
    private static final double MOST = 2000;
    /** The most at an agent, which bears any number of calls: what it gets at its return counts at once. */
    private static final double AGENT_MOST = 400;
    /** A first word that has not come for so long will not: of one that is asked, and at its slowest. */
    private static final double FIRST = 1500;

    private static final double FIRST_MOST = 5000;

    private final boolean asked;
    private final double least;
    private final double most;
    private final double first;
    private final SplittableRandom random;
    private double ceiling;

    /**
     * @param asked  whether discovery is one service that is asked, not an agent that has been told
     * @param askers dispatchers of the tier
     * @param within who has not asked for so long counts as told (the settings' {@code ask_within}), in ms
     */
    PollBackoff(boolean asked, int askers, double within, SplittableRandom random) {
        this.asked = asked;
        this.random = random;
        most = asked ? Math.max(MOST, within / 2) : AGENT_MOST;
        least = asked ? Math.min(most, LEAST * askers) : LEAST;
        first = asked ? Math.min(FIRST_MOST, Math.max(FIRST, within / 2)) : FIRST;
        ceiling = least;
    }

    /** Word has come: the next pause is a short one again. */
    void reset() {
        ceiling = least;
    }

    /** For how long a first line is waited for. Danger: a call that waits its turn is made anew too soon. */
    double first() {
        return first;
    }

    /** Whether discovery is one service that all ask. */
    boolean asked() {
        return asked;
    }

    /**
     * The next pause; the one after may be twice as long. All that were cut off at once come back spread over
     * the whole of it where they share one discovery.
     *
     * @param most no pause is longer than this: what is left until what was missed counts as told
     */
    double next(double most) {
        double bound = Math.min(most, ceiling);
        double pause = asked ? random.nextDouble() * bound : bound * (0.5 + random.nextDouble() / 2);
        ceiling = Math.min(this.most, 2 * ceiling);
        return Math.max(1, pause);
    }
}
