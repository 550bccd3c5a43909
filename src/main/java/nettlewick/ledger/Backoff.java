package nettlewick.ledger;

import java.util.random.RandomGenerator;

/**
 * Pauses between tries: each is drawn between half and the whole of a bound that doubles up to the longest.
 */
final class Backoff {
    private final double first;
    private final double longest;
    private final RandomGenerator random;
    private int failures;

    Backoff(double first, double longest, RandomGenerator random) {
        this.first = first;
        this.longest = longest;
        this.random = random;
    }

    /** Milliseconds to wait after one more failure. */
    double next() {
        double bound = Math.min(longest, first * Math.pow(2, Math.min(failures++, 60)));
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
