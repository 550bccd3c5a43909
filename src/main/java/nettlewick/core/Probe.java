package nettlewick.core;

/** A load probe of an endpoint. */
public final class Probe extends OutboundCall {
    Probe(String endpoint, double sentAtMillis) {
        super(endpoint, sentAtMillis);
    }
}
