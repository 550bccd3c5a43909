package nettlewick.tenantpools;

import java.time.YearMonth;
import java.time.ZoneId;
import java.util.List;
import nettlewick.tenantpools.PoolState.Budget;
import nettlewick.tenantpools.PoolState.ResizeRequest;

/**
 * Decides how many endpoints are added for a tenant within its spending cap (docs/pools.md): what to store or to ask of
 * the provider next, given its last report. Confined to one thread.
 */
final class ScaleOutPolicy {
    private static final double MAX_REPORT_AGE_MILLIS = 5000;
    private static final double MAX_REPORT_AGE_WHILE_STARTING_MILLIS = 500;
    /** As many as anyone may want, without overflow. */
    private static final int UNLIMITED = Integer.MAX_VALUE / 2;

    /**
     * The limits of scaling out for a tenant.
     *
     * @param centsPerHour    the price of one more endpoint
     * @param minBilledMillis the least time that it is billed
     * @param reactionMillis  the longest time until somebody can end an endpoint that is no longer wanted
     * @param releaseAtCap    whether all added endpoints are released once the cap itself is reached
     */
    record ScaleOutSettings(
            SpendingCap.MonthlyCap cap,
            long centsPerHour,
            long minBilledMillis,
            long reactionMillis,
            boolean releaseAtCap) {
        /** The least that one more endpoint costs. */
        long minCostCents() {
            return InstanceCharge.costCents(Math.max(minBilledMillis, reactionMillis), centsPerHour);
        }
    }

    /**
     * The state of a tenant's budget, for operators.
     *
     * @param resumesIn the month in which endpoints can be added again once the cap is near
     */
    record BudgetStatus(long spentCents, long committedCents, long capCents, YearMonth resumesIn) {}

    /**
     * The moment of a decision.
     *
     * @param providerNowMillis the provider's clock, in milliseconds of Unix time
     * @param month             the month whose budget counts
     * @param monthDisputed     whether the provider's clock shows another month
     * @param affordable        how many more endpoints the budget allows
     */
    private record Account(
            SpendingCap spending, long providerNowMillis, YearMonth month, boolean monthDisputed, int affordable) {}

    private final ZoneId zone;
    private final ScaleOutSettings settings;
    private BudgetStatus budgetStatus;

    ScaleOutPolicy(ScaleOutSettings settings) {
        this.settings = settings;
        zone = settings.cap().zone();
    }

    /** As of the last report; null before the first. */
    BudgetStatus budgetStatus() {
        return budgetStatus;
    }

    /**
     * Decides the next action.
     *
     * @param report         the newest one; null if there is none since the lease was acquired
     * @param desired        how many endpoints should run; negative: as many as do
     * @param nowMillis      on the monotonic clock
     * @param wallMillis     on the local wall clock, in milliseconds of Unix time; it may be wrong
     * @param idempotencyKey a new one, for a resize that this decision starts
     */
    ScaleOutDecision decide(
            Budget budget,
            ProviderReport report,
            int desired,
            double nowMillis,
            long wallMillis,
            String idempotencyKey) {
        if (report == null) {
            return new ScaleOutDecision.FetchReport();
        }
        if (isOutdated(report, nowMillis)) {
            boolean idle = desired <= 0 && budget.pendingResize() == null && report.desiredSize() == 0;
            return idle ? new ScaleOutDecision.Nothing() : new ScaleOutDecision.FetchReport();
        }
        long providerNowMillis = report.providerNowMillis(nowMillis);
        YearMonth month = budgetMonth(budget, Math.min(providerNowMillis, wallMillis));
        if (!month.toString().equals(budget.month())) {
            return new ScaleOutDecision.Store(budget.withMonth(month.toString()));
        }
        Account account = account(report, providerNowMillis, month);
        return budget.pendingResize() == null
                ? startResize(budget, report, account, desired, idempotencyKey)
                : continueResize(budget, report, account);
    }

    private static boolean isOutdated(ProviderReport report, double nowMillis) {
        boolean starting = report.runningCharges().size() < report.desiredSize();
        return nowMillis - report.requestedAtMillis()
                > (starting ? MAX_REPORT_AGE_WHILE_STARTING_MILLIS : MAX_REPORT_AGE_MILLIS);
    }

    private Account account(ProviderReport report, long providerNowMillis, YearMonth month) {
        SpendingCap spending = new SpendingCap(settings.cap(), month);
        budgetStatus = new BudgetStatus(
                spending.spentCents(report.charges(), providerNowMillis),
                spending.committedCents(report.charges(), providerNowMillis, settings.reactionMillis()),
                settings.cap().cents(),
                month.plusMonths(1));
        // Otherwise costs of one month could be paid from the budget of another.
        boolean monthDisputed = !SpendingCap.monthOf(providerNowMillis, zone).equals(month);
        long starting =
                Math.max(0, report.desiredSize() - report.runningCharges().size());
        int affordable = monthDisputed
                ? 0
                : spending.affordableCount(
                        report.charges(),
                        providerNowMillis,
                        settings.reactionMillis(),
                        UNLIMITED,
                        settings.minCostCents(),
                        starting * settings.minCostCents());
        return new Account(spending, providerNowMillis, month, monthDisputed, affordable);
    }

    /**
     * Sends the pending resize unless it is done or has become too expensive since. A request of it that is still in
     * transit takes effect within its time limit or not at all.
     */
    private ScaleOutDecision continueResize(Budget budget, ProviderReport report, Account account) {
        ResizeRequest pending = budget.pendingResize();
        int more = pending.size() - report.desiredSize();
        return more == 0 || more > account.affordable()
                ? new ScaleOutDecision.Store(budget.withPendingResize(null))
                : new ScaleOutDecision.Resize(pending, account.providerNowMillis() + settings.reactionMillis());
    }

    private ScaleOutDecision startResize(
            Budget budget, ProviderReport report, Account account, int desired, String idempotencyKey) {
        int size = report.desiredSize();
        int target = targetSize(report, account, desired);
        if (target <= size) {
            int fewer = (int) Math.min(
                    size - target, countPastMinBilledTime(report.runningCharges(), account.providerNowMillis()));
            return fewer <= 0
                    ? new ScaleOutDecision.Nothing()
                    : storeResize(budget, new ResizeRequest(idempotencyKey, size - fewer, 0));
        }
        int more = Math.min(target - size, account.affordable());
        String month = account.month().toString();
        if (!account.monthDisputed() && more < target - size && !month.equals(budget.nearCapMonth())) {
            return new ScaleOutDecision.Store(budget.withNearCapMonth(month));
        }
        return more <= 0
                ? new ScaleOutDecision.Nothing()
                : storeResize(budget, new ResizeRequest(idempotencyKey, size + more, more * settings.minCostCents()));
    }

    private int targetSize(ProviderReport report, Account account, int desired) {
        if (settings.releaseAtCap() && account.spending().isCapReached(report.charges(), account.providerNowMillis())) {
            return 0;
        }
        return desired < 0 ? report.desiredSize() : desired;
    }

    private static ScaleOutDecision storeResize(Budget budget, ResizeRequest resize) {
        return new ScaleOutDecision.Store(budget.withPendingResize(resize));
    }

    /**
     * A month begins only when both the provider's clock and the local one have reached it, and never again after a
     * later one: a clock that jumps must not open a month's budget early or twice.
     */
    private YearMonth budgetMonth(Budget budget, long earlierClockMillis) {
        YearMonth now = SpendingCap.monthOf(earlierClockMillis, zone);
        return budget.month().isEmpty() || now.isAfter(YearMonth.parse(budget.month()))
                ? now
                : YearMonth.parse(budget.month());
    }

    /** Instances whose minimum billed time is over: ending the others earlier saves nothing. */
    private static long countPastMinBilledTime(List<InstanceCharge> running, long providerNowMillis) {
        return running.stream()
                .filter(charge -> providerNowMillis >= charge.startedAtMillis() + charge.minBilledMillis())
                .count();
    }
}
