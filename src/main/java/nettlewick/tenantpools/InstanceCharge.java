package nettlewick.tenantpools;

/**
 * A runner that the provider runs or ran for a member, by the provider's clock in milliseconds of Unix time.
 *
 * @param until when it ended; 0: it runs
 * @param cents a running hour's price, in hundredths
 * @param least the least time that is billed
 */
public record InstanceCharge(String name, String kind, String zone, long since, long until, long cents, long least) {
    private static final double HOUR = 3_600_000;

    boolean runs() {
        return until == 0;
    }

    /** What the time from then to then costs, rounded up to a whole hundredth. */
    static long cost(double millis, long cents) {
        return millis <= 0 ? 0 : (long) Math.ceil(millis * cents / HOUR - 1e-9);
    }

    /** Until when it is billed, if it were to end at that time. */
    long billedUntil(long end) {
        return Math.max(runs() ? end : until, since + least);
    }

    /** What it costs between two moments if it ends at {@code end} at the latest. */
    long cost(long from, long to, long end) {
        return cost(Math.min(to, billedUntil(end)) - (double) Math.max(from, since), cents);
    }
}
