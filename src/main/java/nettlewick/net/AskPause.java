package nettlewick.net;

import java.util.SplittableRandom;

/**
 * How long a watch that broke waits before discovery is asked again, in milliseconds. A dispatcher's own
 * agent bears any number of calls. Where discovery is asked, it is one service for the whole tier, which
 * works through calls one after another: what all ask together grows with the tier, and calls that are given
 * up and made again take the place of others. Pure; the random numbers are the caller's.
 */
final class AskPause {
    private static final double LEAST = 100;
    private static final double MOST = 2000;
    /** The most at an address that has not answered yet: after a move nothing is told until it does. */
    private static final double NEW_MOST = 400;
    /** An agent answers at once: a watch without a first line for so long is broken. */
    private static final double FIRST = 1500;
    /** Discovery writes an empty line every 2 s; one silent for longer than two of them is broken. */
    static final double SILENCE = 5000;

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
    AskPause(boolean asked, int askers, double within, SplittableRandom random) {
        this.asked = asked;
        this.random = random;
        most = asked ? Math.max(MOST, within / 2) : MOST;
        least = asked ? Math.min(most, LEAST * askers) : LEAST;
        first = asked ? Math.min(SILENCE, Math.max(FIRST, within / 2)) : FIRST;
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

    /**
     * The next pause; the one after may be twice as long. All that were cut off at once come back spread over
     * the whole of it where they share one discovery.
     */
    double next(boolean newAddress) {
        double pause = asked ? random.nextDouble() * ceiling : ceiling * (0.5 + random.nextDouble() / 2);
        ceiling = Math.min(newAddress && !asked ? NEW_MOST : most, 2 * ceiling);
        return Math.max(1, pause);
    }
}
