package nettlewick.decision;

/** Corrects predicted waits by the ratio of observed to predicted waits. */
final class WaitCalibration {
    /** The weight of an uncorrected prediction, in samples. */
    private static final double PRIOR_SAMPLES = 5;

    private static final double MAX_FACTOR = 8;

    private final RunningMean predicted = new RunningMean();
    private final RunningMean waited = new RunningMean();

    void add(double predictedNanos, double waitedNanos) {
        predicted.add(predictedNanos);
        waited.add(waitedNanos);
    }

    /** The factor by which to multiply a prediction. */
    double factor() {
        double samples = predicted.count();
        double factor = samples == 0 ? 1 : waited.value() / Math.max(predicted.value(), 1);
        return Math.min(MAX_FACTOR, (samples * factor + PRIOR_SAMPLES) / (samples + PRIOR_SAMPLES));
    }
}
