package nettlewick.core;

import java.util.HashMap;
import java.util.Map;

/** Estimates from past requests how long the next one of a class runs. Pure; durations in milliseconds. */
final class RunTimeEstimator {
    /** About how many past requests an average covers. */
    private static final int SAMPLE_WINDOW = 30;

    /** Moving averages of one class: run time against the hint, as a logarithm, and run time alone. */
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

    /** Records that a request ran that long; its hint is 0 where there was none. */
    void record(String requestClass, double hintMillis, double runMillis) {
        if (runMillis > 0) {
            runTimesByClass
                    .computeIfAbsent(requestClass, c -> new ClassRunTimes())
                    .add(hintMillis, runMillis);
        }
    }

    /** How long a request is expected to run: its hint where nothing is known of the class; 0 if unknown. */
    double expectedMillis(String requestClass, double hintMillis) {
        ClassRunTimes classRunTimes = runTimesByClass.get(requestClass);
        if (classRunTimes == null) {
            return Math.max(0, hintMillis);
        }
        return hintMillis > 0 ? hintMillis * Math.exp(classRunTimes.meanLogSlowdown) : classRunTimes.meanRunMillis;
    }
}
