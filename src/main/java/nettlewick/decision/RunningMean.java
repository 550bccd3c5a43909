package nettlewick.decision;

/** A mean over all samples at first, and an exponentially weighted one once the sample limit is reached. */
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

    /** A mean that starts as if {@code initialSamples} zeros had been seen. */
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

    /** The samples that the mean stands for, at most the limit. */
    double count() {
        return count;
    }

    /** Gives the samples so far no weight against the next one. */
    void forgetSamples() {
        count = 0;
    }
}
