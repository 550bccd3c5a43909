package nettlewick.decision;

/** A mean over all at first, over about the last fifty, or another number, later. */
final class RunningMean {
    private final int maxSamples;
    double value;
    double count;

    RunningMean() {
        this(50);
    }

    RunningMean(int most) {
        this.maxSamples = most;
    }

    void add(double x) {
        count = Math.min(count + 1, maxSamples);
        value += (x - value) / count;
    }
}
