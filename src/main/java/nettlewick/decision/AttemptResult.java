package nettlewick.decision;

/** How an attempt ended. */
public enum AttemptResult {
    /** The worker answered. */
    SERVED(false),
    /** The worker answered with an error; the job may have run. */
    ERROR(false),
    /** Turned away unseen. */
    OVERLOADED(true),
    /** No answer in time; the job may have run or run still. */
    TIMEOUT(false),
    /** No connection could be made. */
    UNREACHABLE(true),
    /** The connection broke while the attempt was out. */
    BROKEN(false),
    /** Called off; the job may have run. */
    CANCELLED(false),
    /** Never sent. */
    NOT_SENT(true);

    /** True if this result proves that the job never ran. */
    public final boolean neverRan;

    AttemptResult(boolean neverRan) {
        this.neverRan = neverRan;
    }
}
