package nettlewick.tenantpools;

import java.time.Instant;
import java.time.YearMonth;
import java.time.ZoneId;
import java.util.List;

/**
 * What a tenant has spent in a month and is committed to spend, compared with its monthly cap. All times are the
 * provider's, all amounts whole hundredths. Immutable.
 */
public final class SpendingCap {
    /**
     * What may be spent in a month.
     *
     * @param cents        the cap; 0 if nothing may be added
     * @param nearFraction the fraction of the cap past which nothing is added
     * @param zone         the time zone whose months count
     */
    public record MonthlyCap(long cents, double nearCapFraction, ZoneId zone) {
        long nearCapCents() {
            return (long) Math.floor(cents * nearCapFraction);
        }
    }

    private final MonthlyCap cap;
    private final long startMillis;
    private final long endMillis;

    /** Creates the account of a month. */
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

    /** What has been billed for this month until now. */
    long spentCents(List<InstanceCharge> charges, long nowMillis) {
        return charges.stream()
                .mapToLong(
                        charge -> Math.max(0, charge.costCents(startMillis, Math.min(nowMillis, endMillis), nowMillis)))
                .sum();
    }

    /**
     * What is still to be billed for instances that run, or ended before their minimum billed time. Costs past the end
     * of the month count too: otherwise its last hour would allow any number of instances.
     *
     * @param reactionMillis the longest time until running instances can be ended
     */
    long committedCents(List<InstanceCharge> charges, long nowMillis, long reactionMillis) {
        return charges.stream()
                .mapToLong(charge -> Math.max(
                        0,
                        charge.costCents(Math.max(nowMillis, startMillis), Long.MAX_VALUE, nowMillis + reactionMillis)))
                .sum();
    }

    /**
     * How many of the wanted instances can be added so that spending stays below the near mark.
     *
     * @param minCostCents the least that one more instance costs
     * @param pendingCents what instances cost that are requested but do not run yet
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
