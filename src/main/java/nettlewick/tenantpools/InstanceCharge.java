package nettlewick.tenantpools;

/**
 * A runner that the provider runs or ran for a member, by the provider's clock in milliseconds of Unix time.
 *
 * @param until when it ended; 0: it runs
 * @param cents a running hour's price, in hundredths
 * @param least the least time that is billed
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

    boolean isRunning() {
        return endedAtMillis == 0;
    }

    /** What the time from then to then costs, rounded up to a whole hundredth. */
    static long costCents(double millis, long centsPerHour) {
        return millis <= 0 ? 0 : (long) Math.ceil(millis * centsPerHour / MILLIS_PER_HOUR - 1e-9);
    }

    /** Until when it is billed, if it were to end at that time. */
    long billedUntilMillis(long end) {
        return Math.max(isRunning() ? end : endedAtMillis, startedAtMillis + minBilledMillis);
    }

    /** What it costs between two moments if it ends at {@code end} at the latest. */
    long costCents(long from, long to, long end) {
        return costCents(Math.min(to, billedUntilMillis(end)) - (double) Math.max(from, startedAtMillis), centsPerHour);
    }
}
