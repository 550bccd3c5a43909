package nettlewick.core;

/** Something sent to a worker that ends once. The core thread owns it; others read what is final. */
abstract class OutboundCall {
    private final String endpoint;
    private final double sentAtMillis;
    private boolean ended;

    OutboundCall(String endpoint, double sentAt) {
        this.endpoint = endpoint;
        this.sentAtMillis = sentAt;
    }

    public final String endpoint() {
        return endpoint;
    }

    final double sentAtMillis() {
        return sentAtMillis;
    }

    /** True once only: guards the rule of one end for each that is sent. */
    final boolean markEnded() {
        boolean first = !ended;
        ended = true;
        return first;
    }

    final boolean isEnded() {
        return ended;
    }
}
