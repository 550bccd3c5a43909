package nettlewick.core;

/**
 * The way out: what the core wants done on the wire. Calls come from the core's thread and must not block;
 * what comes of them is told through {@link RequestCoordinator}.
 */
public interface Transport {
    /** Starts an attempt; it ends by {@link RequestCoordinator#attemptEnded} or by {@link #drop}. */
    void send(Attempt attempt);

    /** Nobody waits for the attempt any more: its connection is to be closed. */
    void drop(Attempt attempt);

    /** Asks a worker for its load; ends by {@link RequestCoordinator#probeAnswered} or {@link #drop(Probe)}. */
    void probe(Probe probe);

    /** Nobody waits for the probe any more. */
    void drop(Probe probe);

    /** Sends a message to the dispatcher of that rank. */
    void tell(int rank, byte[] data);
}
