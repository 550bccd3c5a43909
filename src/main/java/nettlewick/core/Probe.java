package nettlewick.core;

/** One question to a worker for its load. */
public final class Probe extends OutboundCall {
    Probe(String endpoint, double sentAt) {
        super(endpoint, sentAt);
    }
}
