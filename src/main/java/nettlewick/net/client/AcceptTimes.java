package nettlewick.net.client;

/**
 * Estimates when the connections that a listener accepts were made. A listener that is busy, or paused at its limit,
 * leaves them in the kernel's queue while their clients' time runs; one that waits for them accepts them at once. Holds
 * no socket; times are the caller's, in milliseconds. Belongs to the accepting thread.
 */
final class AcceptTimes {
    /** A listener that has waited for longer than this since it was ready found the queue empty. */
    private static final double WAITED_MILLIS = 10;

    /** Since when connections may have come unseen: the queue was empty then, or the listener was waiting for them. */
    private double unseenSince = Double.POSITIVE_INFINITY;

    private double readyAt = Double.NEGATIVE_INFINITY;
    private boolean accepting;

    /** The listener is about to accept; returns the earliest time at which the next connection may have been made. */
    double beginAccept(double now) {
        if (!accepting) {
            accepting = true;
            boolean hasWaited = now - readyAt > WAITED_MILLIS;
            unseenSince = hasWaited ? now : Math.min(unseenSince, now);
        }
        return unseenSince;
    }

    /** The kernel's queue was found empty. */
    void queueWasEmpty(double now) {
        unseenSince = now;
    }

    /** The listener has handed on what it accepted, or was paused and is resumed, and waits for connections again. */
    void waitAgain(double now) {
        accepting = false;
        readyAt = now;
    }
}
