package nettlewick.core;

/**
 * A call to an endpoint, which ends exactly once. Owned by the core thread; {@link #endpoint} may be called on any
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

    /** The id of the endpoint that is called. */
    public final String endpoint() {
        return endpoint;
    }

    final double sentAtMillis() {
        return sentAtMillis;
    }

    /** Marks the call as ended; returns true for the first call only. */
    final boolean markEnded() {
        boolean first = !ended;
        ended = true;
        return first;
    }

    final boolean isEnded() {
        return ended;
    }
}
