package nettlewick.decision;

/** One dispatch of a request to an endpoint, until its outcome. */
final class Attempt {
    private final ScheduledRequest request;
    private final Endpoint endpoint;
    private final int number;
    private final long sentAt;
    private boolean hasEnded;
    private boolean neverRan;
    private boolean isReplaced;
    private boolean isLost;
    private long startedAt = SchedulerClock.NEVER;
    private long lastProgressAt = SchedulerClock.NEVER;
    private boolean wasSentToFreeCapacity;
    private double predictedWaitNanos;

    Attempt(ScheduledRequest request, Endpoint endpoint, int number, long sentAt) {
        this.request = request;
        this.endpoint = endpoint;
        this.number = number;
        this.sentAt = sentAt;
    }

    ScheduledRequest request() {
        return request;
    }

    Endpoint endpoint() {
        return endpoint;
    }

    /** The index of this attempt among the attempts of its request, from 0. */
    int number() {
        return number;
    }

    long sentAt() {
        return sentAt;
    }

    /** Records that the endpoint was known to have free capacity when the attempt was sent. */
    void markSentToFreeCapacity() {
        wasSentToFreeCapacity = true;
    }

    boolean wasSentToFreeCapacity() {
        return wasSentToFreeCapacity;
    }

    /** Records the expected queueing time at the endpoint. */
    void setPredictedWait(double waitNanos) {
        predictedWaitNanos = waitNanos;
    }

    /** The queueing time expected when the attempt was sent; 0 if none. */
    double predictedWaitNanos() {
        return predictedWaitNanos;
    }

    void end(AttemptResult result) {
        hasEnded = true;
        neverRan = result.neverRan();
    }

    boolean hasEnded() {
        return hasEnded;
    }

    /** Whether this attempt ran, may have run or may still run the request. */
    boolean mayHaveRun() {
        return !hasEnded || !neverRan;
    }

    /** Records progress; {@code isStart} if it reports that the request has started to run. */
    void recordProgress(boolean isStart, long now) {
        lastProgressAt = now;
        if (isStart) {
            startedAt = now;
        }
    }

    boolean hasStarted() {
        return startedAt != SchedulerClock.NEVER;
    }

    /** When the endpoint reported the start, or {@link SchedulerClock#NEVER}. */
    long startedAt() {
        return startedAt;
    }

    long lastProgressAt() {
        return lastProgressAt;
    }

    /** Records that the attempt is lost and occupies no slot at its endpoint. */
    void markLost() {
        isLost = true;
    }

    boolean isLost() {
        return isLost;
    }

    /** Records that another attempt was sent because this one seemed stuck. */
    void markReplaced() {
        isReplaced = true;
    }

    boolean isReplaced() {
        return isReplaced;
    }
}
