package nettlewick.core;

import nettlewick.core.TimerQueue.ScheduledTask;

/**
 * A call to an endpoint, which ends exactly once. Owned by the core thread; {@link #endpoint} may be called on any
 * thread.
 */
abstract class OutboundCall {
    private final String endpoint;
    private final double sentAtMillis;
    /** Ends the call when its time is up; null if there is no time limit, and once the call has ended. */
    private ScheduledTask timeout;

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

    /** Sets the timer that ends the call when its time is up; it is cancelled if the call ends earlier. */
    final void setTimeout(ScheduledTask timer) {
        timeout = timer;
    }

    /** Marks the call as ended and cancels its timeout; returns true for the first call only. */
    final boolean markEnded() {
        boolean first = !ended;
        ended = true;
        if (timeout != null) {
            timeout.cancel();
            timeout = null;
        }
        return first;
    }

    final boolean isEnded() {
        return ended;
    }
}
