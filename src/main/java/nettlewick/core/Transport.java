package nettlewick.core;

/**
 * Sends attempts, probes and peer messages over the network. Called on the core thread and must not block. Results are
 * reported to {@link RequestCoordinator}.
 */
public interface Transport {
    /** Starts an attempt; it ends with {@link RequestCoordinator#attemptEnded} or {@link #cancel(Attempt)}. */
    void send(Attempt attempt);

    /** Cancels an attempt, whose connection is to be closed. */
    void cancel(Attempt attempt);

    /** Starts a load probe; it ends with {@link RequestCoordinator#probeAnswered} or {@link #cancel(Probe)}. */
    void probe(Probe probe);

    /** Cancels a probe. */
    void cancel(Probe probe);

    /** Sends a message to the peer of that rank; it may be lost. */
    void sendToPeer(int rank, byte[] data);
}
