package nettlewick.decision;

/** Corrects predicted waits by how long requests waited where a wait had been predicted. */
final class WaitCalibration {
    /** The weight, in samples, of taking predictions as they are. */
    private static final double PRIOR_SAMPLES = 5;

    private static final double MAX_FACTOR = 8;

    private final RunningMean predicted = new RunningMean();
    private final RunningMean waited = new RunningMean();

    void add(double predictedNanos, double waitedNanos) {
        predicted.add(predictedNanos);
        waited.add(waitedNanos);
    }

    /** What a prediction is to be multiplied by. */
    double factor() {
        double samples = predicted.count();
        double factor = samples == 0 ? 1 : waited.value() / Math.max(predicted.value(), 1);
        return Math.min(MAX_FACTOR, (samples * factor + PRIOR_SAMPLES) / (samples + PRIOR_SAMPLES));
    }
}
