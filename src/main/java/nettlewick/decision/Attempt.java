package nettlewick.decision;

/** One sending of a job. */
final class Attempt {
    final ScheduledRequest request;
    final Endpoint endpoint;
    final int number;
    final long sentAt;
    boolean ended;
    boolean neverRan;
    boolean replaced;
    /** It takes no slot, or no longer. */
    boolean lost;
    /** When the worker said that the job runs. */
    long startedAt = SchedulerClock.NEVER;
    /** Its last sign of life. */
    long lastSignAt = SchedulerClock.NEVER;
    /** Room was seen when it was sent. */
    boolean sawFreeCapacity;
    /** How long it was foretold to wait where none was seen, in nanoseconds. */
    double predictedWaitNanos;

    Attempt(ScheduledRequest request, Endpoint endpoint, int number, long sentAt) {
        this.request = request;
        this.endpoint = endpoint;
        this.number = number;
        this.sentAt = sentAt;
    }
}
