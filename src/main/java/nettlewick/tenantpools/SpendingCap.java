package nettlewick.tenantpools;

import java.time.Instant;
import java.time.YearMonth;
import java.time.ZoneId;
import java.util.List;

/**
 * What a member has spent in a month and is bound to spend, and whether one runner more is within its means.
 * All by the provider's clock, in whole hundredths. Pure.
 */
public final class SpendingCap {
    /**
     * @param cap  of a month; 0: nothing may be added
     * @param near the part of the cap past which nothing is added
     * @param zone whose months count
     */
    public record MonthlyCap(long cents, double nearFraction, ZoneId zone) {
        long nearMarkCents() {
            return (long) Math.floor(cents * nearFraction);
        }
    }

    private final MonthlyCap cap;
    private final YearMonth month;
    private final long startMillis;
    private final long endMillis;

    /** @param month the month that counts; it never goes back, whatever a clock says */
    public SpendingCap(MonthlyCap cap, YearMonth month) {
        this.cap = cap;
        this.month = month;
        startMillis = month.atDay(1).atStartOfDay(cap.zone()).toInstant().toEpochMilli();
        endMillis = month.plusMonths(1)
                .atDay(1)
                .atStartOfDay(cap.zone())
                .toInstant()
                .toEpochMilli();
    }

    static YearMonth monthOf(long millis, ZoneId zone) {
        return YearMonth.from(Instant.ofEpochMilli(millis).atZone(zone));
    }

    YearMonth month() {
        return month;
    }

    /** Billed of this month by now. */
    long spentCents(List<InstanceCharge> charges, long nowMillis) {
        return charges.stream()
                .mapToLong(b -> Math.max(0, b.costCents(startMillis, Math.min(nowMillis, endMillis), nowMillis)))
                .sum();
    }

    /**
     * What those that run, or were ended before their least time, cost from now on until nobody can be late
     * in
     * ending them. Danger: what falls into the next month counts here too, lest its last hour buys anything.
     */
    long committedCents(List<InstanceCharge> charges, long nowMillis, long reactionMillis) {
        return charges.stream()
                .mapToLong(b -> Math.max(
                        0, b.costCents(Math.max(nowMillis, startMillis), Long.MAX_VALUE, nowMillis + reactionMillis)))
                .sum();
    }

    /** How many more of these the member may have, of so many wanted. */
    int affordableCount(
            List<InstanceCharge> charges,
            long nowMillis,
            long reactionMillis,
            int wanted,
            long minCostCents,
            long pendingCents) {
        long availableCents = cap.nearMarkCents()
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
