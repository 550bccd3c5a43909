package nettlewick.net.client;

/**
 * Detects stalls of an event loop by regular ticks, and so tells the earliest time at which data that is read now may
 * have arrived: during a stall, requests are unread in their sockets and connections wait in the kernel's queue, while
 * the deadlines of their clients run. An event loop reads its sockets before it ticks, so nothing waited in them at the
 * last tick. Holds no timer; the caller passes times in milliseconds. Used on its event loop only.
 */
final class EventLoopTicks {
    /** The interval of the ticks. */
    static final long INTERVAL_MILLIS = 50;
    /** The event loop counts as stalled when the last tick is longer ago than this. */
    static final double STALL_THRESHOLD_MILLIS = INTERVAL_MILLIS + 10.0;

    private double lastTickAt;

    EventLoopTicks(double now) {
        lastTickAt = now;
    }

    /** Records that the event loop has read its sockets, or that nothing can have arrived before now. */
    void tick(double now) {
        lastTickAt = now;
    }

    /** The earliest time at which data that is read now may have arrived. */
    double earliestArrival(double now) {
        return now - lastTickAt > STALL_THRESHOLD_MILLIS ? lastTickAt : now;
    }
}
