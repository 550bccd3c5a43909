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
    public record Cap(long cap, double near, ZoneId zone) {
        long mark() {
            return (long) Math.floor(cap * near);
        }
    }

    private final Cap cap;
    private final YearMonth month;
    private final long from;
    private final long to;

    /** @param month the month that counts; it never goes back, whatever a clock says */
    public SpendingCap(Cap cap, YearMonth month) {
        this.cap = cap;
        this.month = month;
        from = month.atDay(1).atStartOfDay(cap.zone()).toInstant().toEpochMilli();
        to = month.plusMonths(1).atDay(1).atStartOfDay(cap.zone()).toInstant().toEpochMilli();
    }

    static YearMonth monthOf(long millis, ZoneId zone) {
        return YearMonth.from(Instant.ofEpochMilli(millis).atZone(zone));
    }

    YearMonth month() {
        return month;
    }

    /** Billed of this month by now. */
    long spent(List<InstanceCharge> bills, long now) {
        return bills.stream()
                .mapToLong(b -> Math.max(0, b.cost(from, Math.min(now, to), now)))
                .sum();
    }

    /**
     * What those that run, or were ended before their least time, cost from now on until nobody can be late
     * in
     * ending them. Danger: what falls into the next month counts here too, lest its last hour buys anything.
     */
    long committed(List<InstanceCharge> bills, long now, long reach) {
        return bills.stream()
                .mapToLong(b -> Math.max(0, b.cost(Math.max(now, from), Long.MAX_VALUE, now + reach)))
                .sum();
    }

    /** How many more of these the member may have, of so many wanted. */
    int affords(List<InstanceCharge> bills, long now, long reach, int wanted, long leastCost, long open) {
        long left = cap.mark() - spent(bills, now) - committed(bills, now, reach) - open;
        return leastCost <= 0 || left <= 0 ? 0 : (int) Math.min(wanted, Math.max(0, (left - 1) / leastCost));
    }

    boolean atCap(List<InstanceCharge> bills, long now) {
        return spent(bills, now) >= cap.cap();
    }
}
