package nettlewick.stubs;

/**
 * Tells when something that an event loop reads now may have arrived, by ticks of that loop: a loop that was held up
 * reads late what came meanwhile. Holds no timer; times are the caller's, in milliseconds. Belongs to its event loop.
 */
final class ArrivalTimeEstimator {
    /** The interval of the ticks. */
    static final long TICK_MILLIS = 20;
    /** From this time between two ticks on the loop was held up; what comes by a new connection is read after a tick. */
    private static final double STALL_MILLIS = 40;

    private double lastTickAt;
    private double stalledFrom = Double.NaN;
    private double stalledUntil = Double.NaN;

    ArrivalTimeEstimator(double now) {
        lastTickAt = now;
    }

    /** The loop has come round. */
    void tick(double now) {
        if (now - lastTickAt > STALL_MILLIS) {
            stalledFrom = lastTickAt;
            stalledUntil = now;
        }
        lastTickAt = now;
    }

    /** The earliest time at which what is read now may have arrived. */
    double earliestArrival(double now) {
        if (now - lastTickAt > STALL_MILLIS) {
            return lastTickAt;
        }
        return now - stalledUntil <= STALL_MILLIS ? stalledFrom : now;
    }
}
