package nettlewick.decision;

/** How long jobs waited where a wait was foretold: the next is off by as much as the last ones were. */
final class WaitCalibration {
    /** So many foretold waits weigh as much as believing them as they are. */
    private static final double PRIOR_SAMPLES = 5;

    private static final double MAX_FACTOR = 8;
    private final RunningMean predicted = new RunningMean();
    private final RunningMean waited = new RunningMean();

    void add(double told, double was) {
        predicted.add(told);
        waited.add(was);
    }

    double factor() {
        double n = predicted.count;
        double factor = n == 0 ? 1 : waited.value / Math.max(predicted.value, 1);
        return Math.min(MAX_FACTOR, (n * factor + PRIOR_SAMPLES) / (n + PRIOR_SAMPLES));
    }
}
