package nettlewick.net.client;

/**
 * Tells, by regular ticks of the event loop, when it was held up, and so the earliest time at which something that it
 * finds may have arrived: meanwhile requests are unread in their sockets, and connections wait to be accepted or
 * registered, while their clients' time runs. Holds no timer; times are the caller's, in milliseconds. Event loop.
 */
final class EventLoopTicks {
    /** The interval of the ticks. */
    static final long INTERVAL_MILLIS = 50;
    /** From this time between two ticks on the event loop was held up. */
    static final double HELD_UP_MILLIS = INTERVAL_MILLIS + 10.0;
    /** Threads of one process go on within this time after a hold-up. */
    private static final double RESUME_MILLIS = 50;

    private double lastTickAt;
    private double heldUpFrom = Double.NaN;
    private double heldUpUntil = Double.NaN;

    EventLoopTicks(double now) {
        lastTickAt = now;
    }

    /** Nothing can have arrived before now. */
    void restart(double now) {
        lastTickAt = now;
        heldUpFrom = Double.NaN;
        heldUpUntil = Double.NaN;
    }

    /** The event loop has come round. */
    void tick(double now) {
        if (now - lastTickAt > HELD_UP_MILLIS) {
            heldUpFrom = lastTickAt;
            heldUpUntil = now;
        }
        lastTickAt = now;
    }

    /** The earliest time at which bytes that are read now, from a connection that is registered, may have arrived. */
    double earliestArrival(double now) {
        return now - lastTickAt > HELD_UP_MILLIS ? lastTickAt : now;
    }

    /**
     * The earliest time at which a connection may have been made that seems to be made then. A hold-up of the whole
     * process holds up the thread that accepts connections as well.
     */
    double earliestConnect(double madeAt) {
        boolean foundAsHoldUpEnded = Math.abs(madeAt - heldUpUntil) <= RESUME_MILLIS;
        return foundAsHoldUpEnded ? heldUpFrom : madeAt;
    }
}
