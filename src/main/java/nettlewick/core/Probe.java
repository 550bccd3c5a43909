package nettlewick.core;

/** One question to a worker for its load. */
public final class Probe {
    private final String worker;
    private final double sentAt;
    private boolean over;

    Probe(String worker, double sentAt) {
        this.worker = worker;
        this.sentAt = sentAt;
    }

    public String worker() {
        return worker;
    }

    double sentAt() {
        return sentAt;
    }

    /** True once only: one answer for each probe. */
    boolean end() {
        boolean first = !over;
        over = true;
        return first;
    }
}
