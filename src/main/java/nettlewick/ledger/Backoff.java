package nettlewick.ledger;

import java.util.random.RandomGenerator;

/**
 * Exponential backoff with jitter: each pause is drawn between half of a bound and the whole of it; the bound doubles
 * with each failure up to the maximum pause.
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

    /** Counts a failure and returns the milliseconds to wait before the next attempt. */
    double nextPauseMillis() {
        double bound = Math.min(maxPauseMillis, firstPauseMillis * Math.pow(2, Math.min(failures++, 60)));
        return bound * (0.5 + random.nextDouble() / 2);
    }

    /** Restarts from the first pause, after a success. */
    void reset() {
        failures = 0;
    }

    int failures() {
        return failures;
    }
}
