package nettlewick.core;

/** One question to a worker for its load. */
public final class Probe extends Outgoing {
    Probe(String worker, double sentAt) {
        super(worker, sentAt);
    }
}
