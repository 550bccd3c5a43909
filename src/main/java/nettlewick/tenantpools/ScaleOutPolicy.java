package nettlewick.tenantpools;

import java.time.YearMonth;
import java.time.ZoneId;
import java.util.List;
import nettlewick.tenantpools.PoolState.Budget;
import nettlewick.tenantpools.PoolState.ResizeRequest;

/**
 * How many runners are added for a member, within its means (docs/pools.md): what to store next, or what to
 * ask
 * of the provider, given what it has told. Time is handed in, in milliseconds. Pure.
 */
final class ScaleOutPolicy {
    /** A list older than this is asked for again, so long as anything hangs on it. */
    private static final double MAX_REPORT_AGE_MILLIS = 5000;
    /** So often while runners are still to come. */
    private static final double MAX_REPORT_AGE_WHILE_STARTING_MILLIS = 500;

    /**
     * @param cap   of the member; null: nothing is ever added
     * @param cents price of an hour of one more runner
     * @param least its least billed time
     * @param reach longest time until someone can end what is no longer wanted
     * @param back  whether all is handed back once the cap itself is reached
     */
    record ScaleOutSettings(
            SpendingCap.MonthlyCap cap,
            long centsPerHour,
            long minBilledMillis,
            long reactionMillis,
            boolean releaseAtCap) {
        long minCostCents() {
            return InstanceCharge.costCents(Math.max(minBilledMillis, reactionMillis), centsPerHour);
        }
    }

    /**
     * What to do: at most one of the three.
     *
     * @param notAfter by the provider's clock: what was reckoned for the wish holds until then
     */
    record Decision(Budget store, boolean list, ResizeRequest resize, long notAfterMillis) {
        static final Decision NOTHING = new Decision(null, false, null, 0);
        static final Decision LIST = new Decision(null, true, null, 0);

        static Decision store(Budget money) {
            return new Decision(money, false, null, 0);
        }
    }

    /** What was found on the way, for operators. */
    record BudgetStatus(long spentCents, long committedCents, long capCents, YearMonth resumesIn) {}

    private final ZoneId zone;
    private final ScaleOutSettings settings;
    private BudgetStatus budgetStatus;

    ScaleOutPolicy(ScaleOutSettings settings) {
        this.settings = settings;
        zone = settings.cap().zone();
    }

    /** As of the last list; null before the first. */
    BudgetStatus budgetStatus() {
        return budgetStatus;
    }

    /**
     * @param told   the newest list; null: none since this holding began
     * @param wanted how many should run; below 0: as many as do
     * @param wall   the own clock in milliseconds of Unix time, right or wrong
     * @param key    a new one, drawn for this question
     */
    Decision decide(
            Budget budget,
            ProviderReport report,
            int wanted,
            double nowMillis,
            long wallMillis,
            String idempotencyKey) {
        boolean idle = wanted <= 0 && budget.pendingResize() == null && (report == null || report.desiredSize() == 0);
        boolean coming = report != null && report.runningCharges().size() < report.desiredSize();
        if (report == null
                || nowMillis - report.requestedAtMillis()
                        > (coming ? MAX_REPORT_AGE_WHILE_STARTING_MILLIS : MAX_REPORT_AGE_MILLIS)) {
            return idle && report != null ? Decision.NOTHING : Decision.LIST;
        }
        long providerNowMillis = report.providerNowMillis(nowMillis);
        YearMonth month = budgetMonth(budget, Math.min(providerNowMillis, wallMillis));
        if (!month.toString().equals(budget.month())) {
            return Decision.store(budget.withMonth(month.toString()));
        }
        SpendingCap spending = new SpendingCap(settings.cap(), month);
        long spent = spending.spentCents(report.charges(), providerNowMillis);
        long committed = spending.committedCents(report.charges(), providerNowMillis, settings.reactionMillis());
        budgetStatus = new BudgetStatus(spent, committed, settings.cap().cents(), month.plusMonths(1));
        // What is to run and does not yet costs as well.
        long bound = Math.max(0, report.desiredSize() - report.runningCharges().size()) * settings.minCostCents();
        // Danger: while clocks differ on the month, one month's costs would be paid from another's means.
        boolean turning = !SpendingCap.monthOf(providerNowMillis, zone).equals(month);
        int affordable = turning
                ? 0
                : spending.affordableCount(
                        report.charges(),
                        providerNowMillis,
                        settings.reactionMillis(),
                        Integer.MAX_VALUE / 2,
                        settings.minCostCents(),
                        bound);
        ResizeRequest open = budget.pendingResize();
        if (open != null) {
            if (open.size() == report.desiredSize()) {
                return Decision.store(budget.withPendingResize(null));
            }
            // An old intent may be dearer now. What may still be under way for it comes in time or not at
            // all.
            return open.size() - report.desiredSize() <= affordable
                    ? new Decision(null, false, open, providerNowMillis + settings.reactionMillis())
                    : Decision.store(budget.withPendingResize(null));
        }
        int target = settings.releaseAtCap() && spending.isCapReached(report.charges(), providerNowMillis)
                ? 0
                : wanted < 0 ? report.desiredSize() : wanted;
        if (target > report.desiredSize()) {
            int more = Math.min(target - report.desiredSize(), affordable);
            if (!turning
                    && more < target - report.desiredSize()
                    && !month.toString().equals(budget.nearCapMonth())) {
                return Decision.store(budget.withNearCapMonth(month.toString()));
            }
            return more <= 0
                    ? Decision.NOTHING
                    : Decision.store(budget.withPendingResize(new ResizeRequest(
                            idempotencyKey, report.desiredSize() + more, more * settings.minCostCents())));
        }
        int fewer = (int) Math.min(
                report.desiredSize() - target, countPastMinBilledTime(report.runningCharges(), providerNowMillis));
        return fewer <= 0
                ? Decision.NOTHING
                : Decision.store(
                        budget.withPendingResize(new ResizeRequest(idempotencyKey, report.desiredSize() - fewer, 0)));
    }

    /**
     * Danger: a clock that jumps ahead would open a month's money early, and one that jumps back open it
     * twice.
     * It takes the provider's clock and the own one to turn a month, and it only goes forward.
     */
    private YearMonth budgetMonth(Budget budget, long providerNowMillis) {
        YearMonth nowMillis = SpendingCap.monthOf(providerNowMillis, zone);
        return budget.month().isEmpty() || nowMillis.isAfter(YearMonth.parse(budget.month()))
                ? nowMillis
                : YearMonth.parse(budget.month());
    }

    /** Those whose least billed time is over: to end them sooner saves nothing. */
    private static long countPastMinBilledTime(List<InstanceCharge> running, long providerNowMillis) {
        return running.stream()
                .filter(b -> providerNowMillis >= b.startedAtMillis() + b.minBilledMillis())
                .count();
    }
}
