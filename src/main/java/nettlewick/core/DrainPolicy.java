package nettlewick.core;

import java.util.HashMap;
import java.util.Map;

/**
 * What a process that is to end still takes, by how long jobs run: docs/deployments.md, "Leaving with work in
 * hand". Pure: times are the caller's, in milliseconds; all it knows is what it is told.
 */
final class DrainPolicy {
    /** Take it; hold it back until the planned end begins; refuse it. */
    enum Decision {
        ADMIT,
        HOLD,
        REJECT
    }

    /** Running times are rough: so many times what is expected is counted. */
    private static final double RUN_TIME_SAFETY_FACTOR = 1.3;
    /** And a wait is worth while where this part of what is expected ends in time: it costs little. */
    private static final double OPTIMISTIC_RUN_TIME_FACTOR = 0.8;
    /** Time from a job's end to its answer's last byte, and for clocks of two processes to differ. */
    private static final double KILL_MARGIN_MILLIS = 300;
    /** A planned end that has not come so long after it was foreseen does not come. */
    static final double MAX_DRAIN_DELAY_MILLIS = 1000;
    /** Jobs over which running times are learned. */
    private static final double SAMPLE_WINDOW = 30;

    /** How long a class's jobs run: against their hints (the logarithm's mean), and where they have none. */
    private static final class ClassRunTimes {
        double sampleCount;
        double meanLogSlowdown;
        double meanRunMillis;
    }

    private final Map<String, ClassRunTimes> runTimesByClass = new HashMap<>();
    private double expectedDrainAtMillis = Double.NaN;
    private double killAtMillis = Double.NaN;
    private boolean draining;
    private boolean stopped;

    /** A job of that class ran for so long. */
    void recordRunTime(String requestClass, double hint, double span) {
        if (span <= 0) {
            return;
        }
        ClassRunTimes p = runTimesByClass.computeIfAbsent(requestClass, c -> new ClassRunTimes());
        p.sampleCount = Math.min(p.sampleCount + 1, SAMPLE_WINDOW);
        p.meanRunMillis += (span - p.meanRunMillis) / p.sampleCount;
        p.meanLogSlowdown += hint > 0 ? (Math.log(span / hint) - p.meanLogSlowdown) / p.sampleCount : 0;
    }

    /** How long a job is expected to run; by its hint alone where none of its class has run, else 0. */
    double expectedRunMillis(String requestClass, double hint) {
        ClassRunTimes p = runTimesByClass.get(requestClass);
        return hint > 0 ? hint * Math.exp(p == null ? 0 : p.meanLogSlowdown) : p == null ? 0 : p.meanRunMillis;
    }

    /** The planned end is expected to begin and the kill to come at these times. */
    void expectDraining(double termAt, double killAt) {
        if (!draining) {
            expectedDrainAtMillis = termAt;
            killAtMillis = killAt;
        }
    }

    /** It is not to end after all. */
    void cancelExpectedDraining() {
        expectDraining(Double.NaN, Double.NaN);
    }

    /** The planned end has begun; the kill comes no sooner than at that time. */
    void startDraining(double killAt) {
        draining = true;
        killAtMillis = killAt;
    }

    /** The kill is so near that nothing more is begun. */
    void stopAdmitting() {
        stopped = true;
    }

    boolean hasStoppedAdmitting() {
        return stopped;
    }

    /** When a held job is let go if the planned end has not begun. */
    double holdUntilMillis() {
        return expectedDrainAtMillis + MAX_DRAIN_DELAY_MILLIS;
    }

    /** What becomes of a job that comes now. Danger: one that outlives this process is lost with it. */
    Decision decide(String requestClass, double hint, double now) {
        if (stopped) {
            return Decision.REJECT;
        }
        if (Double.isNaN(killAtMillis)
                || !draining && now >= holdUntilMillis()
                || endsInTime(now, expectedRunMillis(requestClass, hint), killAtMillis)) {
            return Decision.ADMIT;
        }
        return draining ? Decision.REJECT : Decision.HOLD;
    }

    /**
     * Whether waiting until the foreseen end saves a job with that much left to run: it ends before the kill
     * then, and would not if the planned end began now, the kill {@code span} later.
     */
    boolean isSavedByWaiting(double left, double now, double span) {
        return !draining
                && now < expectedDrainAtMillis
                && now + OPTIMISTIC_RUN_TIME_FACTOR * left <= killAtMillis - KILL_MARGIN_MILLIS
                && !endsInTime(now, left, now + span);
    }

    private static boolean endsInTime(double now, double run, double killAt) {
        return run <= 0 || now + RUN_TIME_SAFETY_FACTOR * run <= killAt - KILL_MARGIN_MILLIS;
    }
}
