package nettlewick.core;

/** Converts between this package's milliseconds and the decision module's nanoseconds. */
final class ModuleTime {
    private static final double NANOS_PER_MILLI = 1e6;

    private ModuleTime() {}

    static long toNanos(double millis) {
        return Math.round(millis * NANOS_PER_MILLI);
    }

    static double toMillis(long nanos) {
        return nanos / NANOS_PER_MILLI;
    }
}
