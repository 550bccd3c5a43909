package nettlewick.decision;

/** An action that the decision module asks its host to carry out. */
public sealed interface Action {
    /**
     * Sends a request to an endpoint. The attempts of a request are numbered from 0 in the order of these actions.
     *
     * @param timeoutNanos how long to wait for the outcome; 0 for as long as the client waits
     */
    record Dispatch(String id, String endpointId, long timeoutNanos) implements Action {}

    /**
     * Rejects a request as its final answer; the client can safely send it again.
     *
     * @param retryAfterNanos when to retry, for the client; 0 for no advice
     */
    record Reject(String id, long retryAfterNanos) implements Action {}

    /** Fails a request as its final answer; it may have run. */
    record Fail(String id) implements Action {}

    /** Cancels one attempt and stops waiting for its outcome. */
    record Cancel(String id, int attempt) implements Action {}

    /** Sends a load probe to an endpoint. */
    record Probe(String endpoint) implements Action {}

    /** Sends a datagram to the dispatcher with this rank. */
    record SendToPeer(int rank, byte[] data) implements Action {}

    /** Requests an {@link Event.Timer} with this name after {@code delayNanos}. */
    record SetTimer(String name, long delayNanos) implements Action {}

    /** Opens a subscription to the endpoint list. */
    record Subscribe() implements Action {}
}
