package nettlewick.tenantpools;

import java.time.Instant;
import java.time.YearMonth;
import java.time.ZoneId;
import java.util.List;

/**
 * Computes what a tenant has spent and is committed to spend in a month, and what its monthly cap still allows. All
 * times are on the provider's clock, in milliseconds of Unix time; all amounts are whole cents. Immutable.
 */
public final class SpendingCap {
    /**
     * The limit on a month's spending.
     *
     * @param cents           the cap; 0 if no endpoints may be added
     * @param nearCapFraction the fraction of the cap beyond which no endpoints are added (the near-cap threshold)
     * @param zone            the time zone in which months begin and end
     */
    public record MonthlyCap(long cents, double nearCapFraction, ZoneId zone) {
        long nearCapCents() {
            return (long) Math.floor(cents * nearCapFraction);
        }
    }

    private final MonthlyCap cap;
    private final long startMillis;
    private final long endMillis;

    /** Creates an instance for one month. */
    public SpendingCap(MonthlyCap cap, YearMonth month) {
        this.cap = cap;
        startMillis = firstInstant(month, cap.zone());
        endMillis = firstInstant(month.plusMonths(1), cap.zone());
    }

    private static long firstInstant(YearMonth month, ZoneId zone) {
        return month.atDay(1).atStartOfDay(zone).toInstant().toEpochMilli();
    }

    static YearMonth monthOf(long millis, ZoneId zone) {
        return YearMonth.from(Instant.ofEpochMilli(millis).atZone(zone));
    }

    /** The cost of this month until now. */
    long spentCents(List<InstanceCharge> charges, long nowMillis) {
        return charges.stream()
                .mapToLong(
                        charge -> Math.max(0, charge.costCents(startMillis, Math.min(nowMillis, endMillis), nowMillis)))
                .sum();
    }

    /**
     * The future cost of running instances, and of those that ended before their minimum billed time. Costs past the
     * end of the month are included; otherwise any number of instances could be added in its last hour.
     *
     * @param reactionMillis the maximum time until running instances can be ended
     */
    long committedCents(List<InstanceCharge> charges, long nowMillis, long reactionMillis) {
        return charges.stream()
                .mapToLong(charge -> Math.max(
                        0,
                        charge.costCents(Math.max(nowMillis, startMillis), Long.MAX_VALUE, nowMillis + reactionMillis)))
                .sum();
    }

    /**
     * How many of the wanted instances can be added while spending stays below the near-cap threshold.
     *
     * @param minCostCents the minimum cost of one additional instance
     * @param pendingCents the cost of instances that are requested but not running yet
     */
    int affordableCount(
            List<InstanceCharge> charges,
            long nowMillis,
            long reactionMillis,
            int wanted,
            long minCostCents,
            long pendingCents) {
        long availableCents = cap.nearCapCents()
                - spentCents(charges, nowMillis)
                - committedCents(charges, nowMillis, reactionMillis)
                - pendingCents;
        return minCostCents <= 0 || availableCents <= 0
                ? 0
                : (int) Math.min(wanted, Math.max(0, (availableCents - 1) / minCostCents));
    }

    boolean isCapReached(List<InstanceCharge> charges, long nowMillis) {
        return spentCents(charges, nowMillis) >= cap.cents();
    }
}
