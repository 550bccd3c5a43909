package nettlewick.decision;

/** An arithmetic mean that turns into an exponentially weighted one once the sample limit is reached. */
final class RunningMean {
    private static final int DEFAULT_MAX_SAMPLES = 50;

    private final int maxSamples;
    private double value;
    private double count;

    RunningMean() {
        this(DEFAULT_MAX_SAMPLES);
    }

    RunningMean(int maxSamples) {
        this(maxSamples, 0);
    }

    /** Creates a mean that starts as if {@code initialSamples} zeros had been added. */
    RunningMean(int maxSamples, int initialSamples) {
        this.maxSamples = maxSamples;
        count = initialSamples;
    }

    void add(double sample) {
        count = Math.min(count + 1, maxSamples);
        value += (sample - value) / count;
    }

    /** The mean, 0 before the first sample. */
    double value() {
        return value;
    }

    /** The number of samples that the mean represents, at most the limit. */
    double count() {
        return count;
    }

    /** Gives the previous samples no weight, so that the next one replaces the mean. */
    void forgetSamples() {
        count = 0;
    }
}
