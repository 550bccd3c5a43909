package nettlewick.decision;

/** An action that the host carries out for the decision module. */
public sealed interface Action {
    /**
     * Send the request to an endpoint; its attempts are numbered from 0 in the order of these actions.
     *
     * @param timeout nanoseconds to wait for the outcome; 0 for as long as the client waits
     */
    record Dispatch(String id, String endpointId, long timeoutNanos) implements Action {}

    /**
     * Final answer: the request is rejected, and sending it again is harmless.
     *
     * @param retryAfter nanoseconds after which to try again; 0 for no advice
     */
    record Reject(String id, long retryAfterNanos) implements Action {}

    /** Final answer: the request failed and may have run. */
    record Fail(String id) implements Action {}

    /** Stop waiting for one attempt and cancel it. */
    record Cancel(String id, int attempt) implements Action {}

    /** Ask an endpoint for its load. */
    record Probe(String endpoint) implements Action {}

    /** Send a datagram to the dispatcher of that rank. */
    record SendToPeer(int rank, byte[] data) implements Action {}

    /** Deliver an {@link Event.Timer} of this name after {@code delay} nanoseconds. */
    record SetTimer(String name, long delayNanos) implements Action {}

    /** Open a subscription to the endpoint list. */
    record Subscribe() implements Action {}
}
