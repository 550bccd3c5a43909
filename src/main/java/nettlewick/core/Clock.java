package nettlewick.core;

import java.util.function.DoubleSupplier;

/**
 * The one source of time: milliseconds since the Unix epoch, as a floating-point number that never goes back.
 * It is anchored to Unix time once, when it is created, and follows the monotonic clock from then on, so that a
 * corrected system clock moves no deadline. Any thread may use it.
 */
public final class Clock {
    private static final double NANOS_PER_MILLI = 1e6;

    private volatile DoubleSupplier source;

    private Clock(DoubleSupplier source) {
        this.source = source;
    }

    /** The machine's clock. */
    public static Clock system() {
        return system(0);
    }

    /** The machine's clock moved ahead by that many milliseconds, for trials of clocks that differ. */
    public static Clock system(long aheadMillis) {
        double anchorMillis = System.currentTimeMillis() + aheadMillis;
        long startNanos = System.nanoTime();
        return new Clock(() -> anchorMillis + (System.nanoTime() - startNanos) / NANOS_PER_MILLI);
    }

    /** A clock that stands at {@code nowMillis} until {@link #set} moves it. */
    public static Clock stoppedAt(double nowMillis) {
        return new Clock(() -> nowMillis);
    }

    /**
     * Milliseconds since the Unix epoch. Takes no lock: all threads read it all the time, and one that is suspended
     * inside a lock would make the others queue for it.
     */
    public double nowMillis() {
        return source.getAsDouble();
    }

    /** Stops the clock at this time, in milliseconds; at the current time where this one is in the past. */
    public synchronized void advanceTo(double nowMillis) {
        double next = Math.max(nowMillis, nowMillis());
        source = () -> next;
    }
}
