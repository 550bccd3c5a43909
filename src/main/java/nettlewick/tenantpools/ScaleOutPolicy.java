package nettlewick.tenantpools;

import java.time.YearMonth;
import java.time.ZoneId;
import java.util.List;
import nettlewick.tenantpools.PoolState.Intent;
import nettlewick.tenantpools.PoolState.Money;

/**
 * How many runners are added for a member, within its means (docs/pools.md): what to store next, or what to
 * ask
 * of the provider, given what it has told. Time is handed in, in milliseconds. Pure.
 */
final class ScaleOutPolicy {
    /** A list older than this is asked for again, so long as anything hangs on it. */
    private static final double OLD = 5000;
    /** So often while runners are still to come. */
    private static final double SOON = 500;

    /**
     * @param cap   of the member; null: nothing is ever added
     * @param cents price of an hour of one more runner
     * @param least its least billed time
     * @param reach longest time until someone can end what is no longer wanted
     * @param back  whether all is handed back once the cap itself is reached
     */
    record Terms(SpendingCap.Cap cap, long cents, long least, long reach, boolean back) {
        long leastCost() {
            return InstanceCharge.cost(Math.max(least, reach), cents);
        }
    }

    /**
     * What to do: at most one of the three.
     *
     * @param notAfter by the provider's clock: what was reckoned for the wish holds until then
     */
    record Next(Money store, boolean list, Intent put, long notAfter) {
        static final Next NOTHING = new Next(null, false, null, 0);
        static final Next LIST = new Next(null, true, null, 0);

        static Next store(Money money) {
            return new Next(money, false, null, 0);
        }
    }

    /** What was found on the way, for operators. */
    record Means(long spent, long committed, long cap, YearMonth resumes) {}

    private final ZoneId zone;
    private final Terms terms;
    private Means means;

    ScaleOutPolicy(Terms terms) {
        this.terms = terms;
        zone = terms.cap().zone();
    }

    /** As of the last list; null before the first. */
    Means means() {
        return means;
    }

    /**
     * @param told   the newest list; null: none since this holding began
     * @param wanted how many should run; below 0: as many as do
     * @param wall   the own clock in milliseconds of Unix time, right or wrong
     * @param key    a new one, drawn for this question
     */
    Next next(Money m, ProviderReport told, int wanted, double now, long wall, String key) {
        boolean idle = wanted <= 0 && m.intent() == null && (told == null || told.size() == 0);
        boolean coming = told != null && told.running().size() < told.size();
        if (told == null || now - told.at() > (coming ? SOON : OLD)) {
            return idle && told != null ? Next.NOTHING : Next.LIST;
        }
        long date = told.now(now);
        YearMonth month = month(m, Math.min(date, wall));
        if (!month.toString().equals(m.month())) {
            return Next.store(m.in(month.toString()));
        }
        SpendingCap spending = new SpendingCap(terms.cap(), month);
        long spent = spending.spent(told.bills(), date);
        long committed = spending.committed(told.bills(), date, terms.reach());
        means = new Means(spent, committed, terms.cap().cap(), month.plusMonths(1));
        // What is to run and does not yet costs as well.
        long bound = Math.max(0, told.size() - told.running().size()) * terms.leastCost();
        // Danger: while clocks differ on the month, one month's costs would be paid from another's means.
        boolean turning = !SpendingCap.monthOf(date, zone).equals(month);
        int affordable = turning
                ? 0
                : spending.affords(told.bills(), date, terms.reach(), Integer.MAX_VALUE / 2, terms.leastCost(), bound);
        Intent open = m.intent();
        if (open != null) {
            if (open.size() == told.size()) {
                return Next.store(m.asking(null));
            }
            // An old intent may be dearer now. What may still be under way for it comes in time or not at
            // all.
            return open.size() - told.size() <= affordable
                    ? new Next(null, false, open, date + terms.reach())
                    : Next.store(m.asking(null));
        }
        int target = terms.back() && spending.atCap(told.bills(), date) ? 0 : wanted < 0 ? told.size() : wanted;
        if (target > told.size()) {
            int more = Math.min(target - told.size(), affordable);
            if (!turning && more < target - told.size() && !month.toString().equals(m.near())) {
                return Next.store(m.nearIn(month.toString()));
            }
            return more <= 0
                    ? Next.NOTHING
                    : Next.store(m.asking(new Intent(key, told.size() + more, more * terms.leastCost())));
        }
        int fewer = (int) Math.min(told.size() - target, over(told.running(), date));
        return fewer <= 0 ? Next.NOTHING : Next.store(m.asking(new Intent(key, told.size() - fewer, 0)));
    }

    /**
     * Danger: a clock that jumps ahead would open a month's money early, and one that jumps back open it
     * twice.
     * It takes the provider's clock and the own one to turn a month, and it only goes forward.
     */
    private YearMonth month(Money m, long date) {
        YearMonth now = SpendingCap.monthOf(date, zone);
        return m.month().isEmpty() || now.isAfter(YearMonth.parse(m.month())) ? now : YearMonth.parse(m.month());
    }

    /** Those whose least billed time is over: to end them sooner saves nothing. */
    private static long over(List<InstanceCharge> running, long date) {
        return running.stream().filter(b -> date >= b.since() + b.least()).count();
    }
}
