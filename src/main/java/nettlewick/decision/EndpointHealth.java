package nettlewick.decision;

/** Signs of life and of faults of one endpoint, and how long it is ejected for them. */
final class EndpointHealth {
    private static final int MAX_BACKOFF_DOUBLINGS = 3;
    private static final int SLOWDOWN_SAMPLES = 6;

    private long lastResponseAt = SchedulerClock.NEVER;
    private int ejections;
    private long latestStartedSentAt = SchedulerClock.NEVER;
    private final RunningMean slowdown = new RunningMean(SLOWDOWN_SAMPLES);
    private int connectionFailures;
    private long ejectedUntil = SchedulerClock.NEVER;

    /** Forgets what belongs to the endpoint's last incarnation. */
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

    /** Ejects the endpoint for {@code baseNanos}, doubled for each ejection since it last served, up to eightfold. */
    void eject(long baseNanos, long now) {
        ejectedUntil = now + (baseNanos << Math.min(ejections, MAX_BACKOFF_DOUBLINGS));
        ejections++;
    }

    void endEjection(long now) {
        ejectedUntil = Math.min(ejectedUntil, now);
    }

    /** Whether the endpoint was ejected and has shown no sign of work since. */
    boolean isUnconfirmed() {
        return ejections != 0;
    }

    /** A response of any kind. */
    void recordResponse(long now) {
        lastResponseAt = now;
    }

    /** A sign that only a working endpoint gives. */
    void confirmHealthy(long now) {
        lastResponseAt = now;
        ejections = 0;
        connectionFailures = 0;
    }

    long lastResponseAt() {
        return lastResponseAt;
    }

    /** Counts a failed connection and returns how many failed in a row. */
    int countConnectionFailure() {
        return ++connectionFailures;
    }

    /** Records that an attempt sent at this time has started. */
    void recordStartOfAttemptSentAt(long sentAt) {
        latestStartedSentAt = Math.max(latestStartedSentAt, sentAt);
    }

    /** When the latest of the attempts that have started was sent. */
    long latestStartedSentAt() {
        return latestStartedSentAt;
    }

    /** Logarithms of how much longer than hinted its last requests ran. */
    RunningMean slowdown() {
        return slowdown;
    }
}
