package nettlewick.net.client;

/**
 * Tells, by regular ticks of an event loop, when it was held up, and so the earliest time at which something that it
 * finds may have arrived: meanwhile requests are unread in their sockets and connections wait in the kernel's queue,
 * while their clients' time runs. An event loop looks at its sockets before it ticks, so nothing waited in them at the
 * last tick. Holds no timer; times are the caller's, in milliseconds. Belongs to its event loop.
 */
final class EventLoopTicks {
    /** The interval of the ticks. */
    static final long INTERVAL_MILLIS = 50;
    /** From this time since the last tick on the event loop is held up. */
    static final double STALL_THRESHOLD_MILLIS = INTERVAL_MILLIS + 10.0;

    private double lastTickAt;

    EventLoopTicks(double now) {
        lastTickAt = now;
    }

    /** The event loop has come round and has looked at its sockets; or nothing can have arrived before now. */
    void tick(double now) {
        lastTickAt = now;
    }

    /** The earliest time at which what is found now may have arrived. */
    double earliestArrival(double now) {
        return now - lastTickAt > STALL_THRESHOLD_MILLIS ? lastTickAt : now;
    }
}
