package nettlewick.core;

/**
 * Decides which requests a process still accepts before it is drained and killed, based on their expected run time;
 * see docs/deployments.md. Reads no clock; all times and durations are in milliseconds.
 */
final class DrainPolicy {
    /** Whether a request is admitted, held until draining starts, or rejected. */
    enum Decision {
        ADMIT,
        HOLD,
        REJECT
    }

    /** Applied to the expected run time of requests that must end before the kill. */
    private static final double RUN_TIME_SAFETY_FACTOR = 1.3;
    /** Applied to the expected run time when deciding to delay draining, which is worthwhile for uncertain requests. */
    private static final double OPTIMISTIC_RUN_TIME_FACTOR = 0.8;
    /** Allows for writing the answer and for clock differences between the two processes. */
    private static final double KILL_MARGIN_MILLIS = 300;
    /** If draining has not started this long after the expected time, it is no longer expected. */
    static final double MAX_DRAIN_DELAY_MILLIS = 1000;

    private final RunTimeEstimator runTimes = new RunTimeEstimator();
    private double expectedDrainAtMillis = Double.NaN;
    private double killAtMillis = Double.NaN;
    private boolean draining;
    private boolean admissionStopped;

    /** Records the run time of a request; {@code hintMillis} is 0 if it had no cost hint. */
    void recordRunTime(String requestClass, double hintMillis, double runMillis) {
        runTimes.record(requestClass, hintMillis, runMillis);
    }

    /** The expected run time of a request; 0 if unknown. */
    double expectedRunMillis(String requestClass, double hintMillis) {
        return runTimes.expectedMillis(requestClass, hintMillis);
    }

    /** Sets when draining and the kill are expected; ignored after draining has started. */
    void expectDraining(double drainAtMillis, double killAtMillis) {
        if (!draining) {
            expectedDrainAtMillis = drainAtMillis;
            this.killAtMillis = killAtMillis;
        }
    }

    /** Withdraws the expectation of draining; ignored after draining has started. */
    void cancelExpectedDraining() {
        expectDraining(Double.NaN, Double.NaN);
    }

    /** Starts draining; the process is killed at {@code killAtMillis} at the earliest. */
    void startDraining(double killAtMillis) {
        draining = true;
        this.killAtMillis = killAtMillis;
    }

    /** Rejects all further requests, because the kill is imminent. */
    void stopAdmitting() {
        admissionStopped = true;
    }

    boolean isAdmissionStopped() {
        return admissionStopped;
    }

    /** When held requests are admitted if draining has not started by then. */
    double holdUntilMillis() {
        return expectedDrainAtMillis + MAX_DRAIN_DELAY_MILLIS;
    }

    /** Decides on a request that arrives now. A request still running at the kill would be lost. */
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
     * Whether a request with {@code remainingMillis} left to run is saved if draining is delayed to its expected start:
     * it may then end before the kill, but not if draining started now and the kill came {@code killDelayMillis} later.
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
