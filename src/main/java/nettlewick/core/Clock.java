package nettlewick.core;

import java.util.function.DoubleSupplier;

/**
 * Time source of the process: milliseconds since the Unix epoch, as a floating-point number that never decreases.
 * The clock is anchored to Unix time when it is created and follows the monotonic clock from then on, so adjustments
 * of the system clock do not move deadlines. Thread-safe.
 */
public final class Clock {
    private static final double NANOS_PER_MILLI = 1e6;

    private volatile DoubleSupplier source;

    private Clock(DoubleSupplier source) {
        this.source = source;
    }

    /** The system clock. */
    public static Clock system() {
        return system(0);
    }

    /** The system clock plus an offset, to test processes whose clocks differ. */
    public static Clock system(long aheadMillis) {
        double anchorMillis = System.currentTimeMillis() + aheadMillis;
        long startNanos = System.nanoTime();
        return new Clock(() -> anchorMillis + (System.nanoTime() - startNanos) / NANOS_PER_MILLI);
    }

    /** A manual clock that returns {@code nowMillis} until {@link #advanceTo} moves it. */
    public static Clock stoppedAt(double nowMillis) {
        return new Clock(() -> nowMillis);
    }

    /**
     * Milliseconds since the Unix epoch. Takes no lock: all threads read the clock frequently, and a thread suspended
     * while holding a lock would block the others.
     */
    public double nowMillis() {
        return source.getAsDouble();
    }

    /** Fixes the clock at {@code nowMillis}, or at the current time if that is later. */
    public synchronized void advanceTo(double nowMillis) {
        double next = Math.max(nowMillis, nowMillis());
        source = () -> next;
    }
}
