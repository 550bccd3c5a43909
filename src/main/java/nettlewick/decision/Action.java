package nettlewick.decision;

/** What the decision module wants done. */
public sealed interface Action {
    /** Send the job to a worker; attempts count from 0. {@code timeout} 0: as long as the client waits. */
    record Dispatch(String id, String endpoint, long timeout) implements Action {}

    /** Final answer: turned away, trying again is harmless. {@code retryAfter} 0 is no advice. */
    record Reject(String id, long retryAfter) implements Action {}

    /** Final answer: failed; nothing is promised. */
    record Fail(String id) implements Action {}

    /** Stop waiting for one attempt. */
    record Cancel(String id, int attempt) implements Action {}

    /** Ask a worker for its load. */
    record Probe(String endpoint) implements Action {}

    /** Send bytes to the dispatcher of that rank. */
    record SendToPeer(int rank, byte[] data) implements Action {}

    /** Ask for a {@link Timer} after {@code delay}. */
    record SetTimer(String name, long delay) implements Action {}

    /** Open a standing subscription to the list. */
    record Subscribe() implements Action {}
}
