package nettlewick.core;

/**
 * Something sent to an endpoint that ends once. The core thread owns its state; the endpoint's id may be read by any
 * thread.
 */
abstract class OutboundCall {
    private final String endpoint;
    private final double sentAtMillis;
    private boolean ended;

    OutboundCall(String endpoint, double sentAtMillis) {
        this.endpoint = endpoint;
        this.sentAtMillis = sentAtMillis;
    }

    /** The id of the endpoint that it goes to. */
    public final String endpoint() {
        return endpoint;
    }

    final double sentAtMillis() {
        return sentAtMillis;
    }

    /** Marks it as ended; true for the first call only. */
    final boolean markEnded() {
        boolean first = !ended;
        ended = true;
        return first;
    }

    final boolean isEnded() {
        return ended;
    }
}
