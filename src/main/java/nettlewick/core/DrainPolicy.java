package nettlewick.core;

/**
 * Decides which requests a process that will be drained still takes, by how long they are expected to run before the
 * kill; see docs/deployments.md. Pure: it reads no clock, and all times and durations are milliseconds.
 */
final class DrainPolicy {
    /** What becomes of a request: it proceeds, is held back until draining starts, or is rejected. */
    enum Decision {
        ADMIT,
        HOLD,
        REJECT
    }

    /** Applied to expected run times where a request must end in time. */
    private static final double RUN_TIME_SAFETY_FACTOR = 1.3;
    /** Applied to expected run times where waiting is worth while even if the request may end too late. */
    private static final double OPTIMISTIC_RUN_TIME_FACTOR = 0.8;
    /** Covers the writing of the answer and a difference between two processes' clocks. */
    private static final double KILL_MARGIN_MILLIS = 300;
    /** Draining that has not started that long after it was expected is not coming. */
    static final double MAX_DRAIN_DELAY_MILLIS = 1000;

    private final RunTimeEstimator runTimes = new RunTimeEstimator();
    private double expectedDrainAtMillis = Double.NaN;
    private double killAtMillis = Double.NaN;
    private boolean draining;
    private boolean admissionStopped;

    /** Records how long a request ran; without a hint, {@code hintMillis} is 0. */
    void recordRunTime(String requestClass, double hintMillis, double runMillis) {
        runTimes.record(requestClass, hintMillis, runMillis);
    }

    /** How long a request is expected to run, 0 if unknown. */
    double expectedRunMillis(String requestClass, double hintMillis) {
        return runTimes.expectedMillis(requestClass, hintMillis);
    }

    /** Draining and the kill are expected at these times; ignored once draining has started. */
    void expectDraining(double drainAtMillis, double killAtMillis) {
        if (!draining) {
            expectedDrainAtMillis = drainAtMillis;
            this.killAtMillis = killAtMillis;
        }
    }

    /** No draining is expected any more; ignored once draining has started. */
    void cancelExpectedDraining() {
        expectDraining(Double.NaN, Double.NaN);
    }

    /** Draining has started; the kill comes no sooner than at that time. */
    void startDraining(double killAtMillis) {
        draining = true;
        this.killAtMillis = killAtMillis;
    }

    /** The kill is so near that every further request is rejected. */
    void stopAdmitting() {
        admissionStopped = true;
    }

    boolean isAdmissionStopped() {
        return admissionStopped;
    }

    /** When held requests proceed if draining has not started. */
    double holdUntilMillis() {
        return expectedDrainAtMillis + MAX_DRAIN_DELAY_MILLIS;
    }

    /** Decides about a request that arrives now. One that outlived this process would be lost with it. */
    Decision decide(String requestClass, double hintMillis, double nowMillis) {
        if (admissionStopped) {
            return Decision.REJECT;
        }
        boolean noKillExpected = Double.isNaN(killAtMillis) || !draining && nowMillis >= holdUntilMillis();
        if (noKillExpected || endsInTime(nowMillis, expectedRunMillis(requestClass, hintMillis), killAtMillis)) {
            return Decision.ADMIT;
        }
        return draining ? Decision.REJECT : Decision.HOLD;
    }

    /**
     * Whether a request with that much left to run is saved if draining waits until its expected start: it may end
     * before the kill then, and would not if draining started now with the kill {@code killDelayMillis} later.
     */
    boolean isSavedByDelayingDrain(double remainingMillis, double nowMillis, double killDelayMillis) {
        boolean canWait = !draining && nowMillis < expectedDrainAtMillis;
        boolean mayEndAfterWaiting =
                nowMillis + OPTIMISTIC_RUN_TIME_FACTOR * remainingMillis <= killAtMillis - KILL_MARGIN_MILLIS;
        return canWait && mayEndAfterWaiting && !endsInTime(nowMillis, remainingMillis, nowMillis + killDelayMillis);
    }

    private static boolean endsInTime(double nowMillis, double runMillis, double killAtMillis) {
        return runMillis <= 0 || nowMillis + RUN_TIME_SAFETY_FACTOR * runMillis <= killAtMillis - KILL_MARGIN_MILLIS;
    }
}
