package nettlewick.stubs;

/**
 * Estimates when data that an event loop reads now may have arrived, by ticks of that loop: a loop that was stalled
 * reads late what arrived meanwhile. Has no timer; times are arguments, in milliseconds. Confined to its event loop.
 */
final class ArrivalTimeEstimator {
    /** The interval of the ticks. */
    static final long TICK_MILLIS = 20;
    /** The loop was stalled if two ticks are further apart. Data of a new connection is read after the next tick. */
    private static final double STALL_MILLIS = 40;

    private double lastTickAt;
    private double stalledFrom = Double.NaN;
    private double stalledUntil = Double.NaN;

    ArrivalTimeEstimator(double now) {
        lastTickAt = now;
    }

    /** Records a tick of the loop. */
    void tick(double now) {
        if (now - lastTickAt > STALL_MILLIS) {
            stalledFrom = lastTickAt;
            stalledUntil = now;
        }
        lastTickAt = now;
    }

    /** The earliest time at which data that is read now may have arrived. */
    double earliestArrival(double now) {
        if (now - lastTickAt > STALL_MILLIS) {
            return lastTickAt;
        }
        return now - stalledUntil <= STALL_MILLIS ? stalledFrom : now;
    }
}
