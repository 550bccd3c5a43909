package nettlewick.tenantpools;

/**
 * An endpoint instance that the provider runs or ran for a tenant, with its billing data. Times are on the provider's
 * clock, in milliseconds of Unix time.
 *
 * @param endedAtMillis   when it ended; 0 if it is running
 * @param centsPerHour    the price of one hour of run time, in cents
 * @param minBilledMillis the minimum time that is billed
 */
public record InstanceCharge(
        String name,
        String kind,
        String zone,
        long startedAtMillis,
        long endedAtMillis,
        long centsPerHour,
        long minBilledMillis) {
    private static final double MILLIS_PER_HOUR = 3_600_000;
    /** Prevents a floating-point error from rounding an exact amount up to the next cent. */
    private static final double ROUNDING_TOLERANCE = 1e-9;

    boolean isRunning() {
        return endedAtMillis == 0;
    }

    /** The cost of a period, rounded up to a whole cent. */
    static long costCents(double millis, long centsPerHour) {
        return millis <= 0 ? 0 : (long) Math.ceil(millis * centsPerHour / MILLIS_PER_HOUR - ROUNDING_TOLERANCE);
    }

    /** The end of the billed period. A running instance is assumed to end at {@code end}. */
    long billedUntilMillis(long end) {
        return Math.max(isRunning() ? end : endedAtMillis, startedAtMillis + minBilledMillis);
    }

    /**
     * The cost of the part of the billed period between two times. A running instance is assumed to end at {@code end}.
     */
    long costCents(long from, long to, long end) {
        return costCents(Math.min(to, billedUntilMillis(end)) - (double) Math.max(from, startedAtMillis), centsPerHour);
    }
}
