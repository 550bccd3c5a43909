package nettlewick.decision;

/** Responses and failures of one endpoint, and its ejections. */
final class EndpointHealth {
    private static final int MAX_BACKOFF_DOUBLINGS = 3;
    private static final int SLOWDOWN_SAMPLES = 6;

    private long lastResponseAt = SchedulerClock.NEVER;
    private int ejections;
    private long latestStartedSentAt = SchedulerClock.NEVER;
    private final RunningMean slowdown = new RunningMean(SLOWDOWN_SAMPLES);
    private int connectionFailures;
    private long ejectedUntil = SchedulerClock.NEVER;

    /** Discards the data of the endpoint's previous incarnation. */
    void reset() {
        ejectedUntil = SchedulerClock.NEVER;
        ejections = 0;
        connectionFailures = 0;
        latestStartedSentAt = SchedulerClock.NEVER;
        slowdown.forgetSamples();
    }

    boolean isEjected(long now) {
        return now < ejectedUntil;
    }

    /** Ejects the endpoint for {@code baseNanos}, doubled per ejection since it was last healthy, up to eightfold. */
    void eject(long baseNanos, long now) {
        ejectedUntil = now + (baseNanos << Math.min(ejections, MAX_BACKOFF_DOUBLINGS));
        ejections++;
    }

    void endEjection(long now) {
        ejectedUntil = Math.min(ejectedUntil, now);
    }

    /** Whether the endpoint has been ejected and not confirmed healthy since. */
    boolean isUnconfirmed() {
        return ejections != 0;
    }

    /** Records a response of any kind, including errors. */
    void recordResponse(long now) {
        lastResponseAt = now;
    }

    /** Records a response that only a working endpoint gives, such as a served request or progress. */
    void confirmHealthy(long now) {
        lastResponseAt = now;
        ejections = 0;
        connectionFailures = 0;
    }

    long lastResponseAt() {
        return lastResponseAt;
    }

    /** Counts a failed connection and returns the number of consecutive failures. */
    int countConnectionFailure() {
        return ++connectionFailures;
    }

    /** Records that an attempt sent at this time has started running. */
    void recordStartOfAttemptSentAt(long sentAt) {
        latestStartedSentAt = Math.max(latestStartedSentAt, sentAt);
    }

    /** The latest send time among the attempts that have started. */
    long latestStartedSentAt() {
        return latestStartedSentAt;
    }

    /** Mean logarithm of the ratio of run time to cost hint over its last requests. */
    RunningMean slowdown() {
        return slowdown;
    }
}
