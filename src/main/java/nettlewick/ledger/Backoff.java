package nettlewick.ledger;

import java.util.random.RandomGenerator;

/**
 * Pauses between tries: each is drawn between half and the whole of a bound that doubles up to the longest.
 */
final class Backoff {
    private final double firstPauseMillis;
    private final double maxPauseMillis;
    private final RandomGenerator random;
    private int failures;

    Backoff(double firstPauseMillis, double maxPauseMillis, RandomGenerator random) {
        this.firstPauseMillis = firstPauseMillis;
        this.maxPauseMillis = maxPauseMillis;
        this.random = random;
    }

    /** Milliseconds to wait after one more failure. */
    double nextPauseMillis() {
        double bound = Math.min(maxPauseMillis, firstPauseMillis * Math.pow(2, Math.min(failures++, 60)));
        return bound * (0.5 + random.nextDouble() / 2);
    }

    /** It has worked: pauses begin anew. */
    void reset() {
        failures = 0;
    }

    int failures() {
        return failures;
    }
}
