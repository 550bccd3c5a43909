package nettlewick.core;

import java.util.HashMap;
import java.util.Map;

/** Estimates the run time of requests from past requests of their class. Durations are in milliseconds. */
final class RunTimeEstimator {
    /** The approximate number of past requests that an average covers. */
    private static final int SAMPLE_WINDOW = 30;

    /** Moving averages of one request class: the logarithm of run time over cost hint, and the run time. */
    private static final class ClassRunTimes {
        private double sampleCount;
        private double meanLogSlowdown;
        private double meanRunMillis;

        void add(double hintMillis, double runMillis) {
            sampleCount = Math.min(sampleCount + 1, SAMPLE_WINDOW);
            meanRunMillis += (runMillis - meanRunMillis) / sampleCount;
            meanLogSlowdown += hintMillis > 0 ? (Math.log(runMillis / hintMillis) - meanLogSlowdown) / sampleCount : 0;
        }
    }

    private final Map<String, ClassRunTimes> runTimesByClass = new HashMap<>();

    /** Records the run time of a request; {@code hintMillis} is 0 if it had no cost hint. */
    void record(String requestClass, double hintMillis, double runMillis) {
        if (runMillis > 0) {
            runTimesByClass
                    .computeIfAbsent(requestClass, c -> new ClassRunTimes())
                    .add(hintMillis, runMillis);
        }
    }

    /** The expected run time of a request: its cost hint if the class has no samples; 0 if unknown. */
    double expectedMillis(String requestClass, double hintMillis) {
        ClassRunTimes classRunTimes = runTimesByClass.get(requestClass);
        if (classRunTimes == null) {
            return Math.max(0, hintMillis);
        }
        return hintMillis > 0 ? hintMillis * Math.exp(classRunTimes.meanLogSlowdown) : classRunTimes.meanRunMillis;
    }
}
