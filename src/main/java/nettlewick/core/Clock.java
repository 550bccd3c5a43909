package nettlewick.core;

import java.util.function.DoubleSupplier;

/**
 * The one source of time: milliseconds since the Unix epoch, as a floating-point number that never goes back.
 * It is anchored to Unix time once, at its making, and follows the monotonic clock from then on, so that a
 * corrected system clock moves no deadline.
 */
public final class Clock {
    private volatile DoubleSupplier source;
    private double last;

    private Clock(DoubleSupplier source) {
        this.source = source;
    }

    /** The machine's clock. */
    public static Clock system() {
        double anchor = System.currentTimeMillis();
        long start = System.nanoTime();
        return new Clock(() -> anchor + (System.nanoTime() - start) / 1e6);
    }

    /** A clock that stands at {@code now} until {@link #set} moves it. */
    public static Clock standing(double now) {
        return new Clock(() -> now);
    }

    /** Milliseconds since the Unix epoch. */
    public synchronized double now() {
        last = Math.max(last, source.getAsDouble());
        return last;
    }

    /** Lets the clock stand at this time; a time in the past leaves it where it is. */
    public void set(double now) {
        source = () -> now;
    }
}
