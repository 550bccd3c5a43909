package nettlewick.core;

/**
 * Carries out on the wire what was decided. Called on the core thread: must not block. Results come back through
 * {@link RequestCoordinator}.
 */
public interface Transport {
    /** Starts an attempt; it ends by {@link RequestCoordinator#attemptEnded} or by {@link #drop}. */
    void send(Attempt attempt);

    /** Nobody waits for the attempt any more: its connection is to be closed. */
    void cancel(Attempt attempt);

    /** Asks an endpoint for its load; ends by {@link RequestCoordinator#probeAnswered} or {@link #drop(Probe)}. */
    void probe(Probe probe);

    /** Nobody waits for the probe any more. */
    void cancel(Probe probe);

    /** Sends a message to the dispatcher of that rank; it may be lost. */
    void sendToPeer(int rank, byte[] data);
}
