package nettlewick.tenantpools;

/**
 * An endpoint instance that the provider runs or ran for a tenant, with what it is billed. Times are the provider's, in
 * milliseconds of Unix time.
 *
 * @param endedAtMillis   when it ended; 0 while it runs
 * @param centsPerHour    the price of a running hour, in hundredths
 * @param minBilledMillis the least time that is billed
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
    /** Keeps floating-point error from rounding an exact amount up. */
    private static final double ROUNDING_TOLERANCE = 1e-9;

    boolean isRunning() {
        return endedAtMillis == 0;
    }

    /** What a period costs, rounded up to a whole hundredth. */
    static long costCents(double millis, long centsPerHour) {
        return millis <= 0 ? 0 : (long) Math.ceil(millis * centsPerHour / MILLIS_PER_HOUR - ROUNDING_TOLERANCE);
    }

    /** Until when it is billed if, should it still run, it ends at that time. */
    long billedUntilMillis(long end) {
        return Math.max(isRunning() ? end : endedAtMillis, startedAtMillis + minBilledMillis);
    }

    /** What it costs between two times if it ends at {@code end} at the latest. */
    long costCents(long from, long to, long end) {
        return costCents(Math.min(to, billedUntilMillis(end)) - (double) Math.max(from, startedAtMillis), centsPerHour);
    }
}
