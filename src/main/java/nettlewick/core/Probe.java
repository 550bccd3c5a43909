package nettlewick.core;

/** One request to an endpoint for its load. */
public final class Probe extends OutboundCall {
    Probe(String endpoint, double sentAtMillis) {
        super(endpoint, sentAtMillis);
    }
}
