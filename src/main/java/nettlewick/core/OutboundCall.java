package nettlewick.core;

/** Something sent to a worker that ends once. The core thread owns it; others read what is final. */
abstract class OutboundCall {
    private final String worker;
    private final double sentAt;
    private boolean over;

    OutboundCall(String endpoint, double sentAt) {
        this.worker = endpoint;
        this.sentAt = sentAt;
    }

    public final String endpoint() {
        return worker;
    }

    final double sentAt() {
        return sentAt;
    }

    /** True once only: guards the rule of one end for each that is sent. */
    final boolean end() {
        boolean first = !over;
        over = true;
        return first;
    }

    final boolean over() {
        return over;
    }
}
