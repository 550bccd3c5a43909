package nettlewick.decision;

/** One dispatch of a request to an endpoint, from its sending to its outcome. */
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

    /** Its place among the attempts of the request, from 0. */
    int number() {
        return number;
    }

    long sentAt() {
        return sentAt;
    }

    /** Records that free capacity was seen at the endpoint when the attempt was sent. */
    void markSentToFreeCapacity() {
        wasSentToFreeCapacity = true;
    }

    boolean wasSentToFreeCapacity() {
        return wasSentToFreeCapacity;
    }

    /** Records how long the request was expected to wait at the endpoint. */
    void setPredictedWait(double waitNanos) {
        predictedWaitNanos = waitNanos;
    }

    /** The wait expected when it was sent; 0 where none was. */
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

    /** Whether the request ran, may have run or may yet run by this attempt. */
    boolean mayHaveRun() {
        return !hasEnded || !neverRan;
    }

    /** Records a sign of progress; {@code isStart} if it is the first, which says that the request runs. */
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

    /** Records that the attempt takes no slot, or no longer. */
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
