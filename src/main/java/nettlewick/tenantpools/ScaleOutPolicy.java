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
    record BudgetStatus(long spentCents, long committedCents, long capCents, YearMonth resumesInMonth) {}

    /**
     * The moment of a decision.
     *
     * @param providerNowMillis the provider's clock, in milliseconds of Unix time
     * @param month             the month whose budget counts
     * @param monthDisputed     whether the provider's clock shows another month
     * @param affordable        how many more endpoints the budget allows
     */
    private record BudgetSnapshot(
            SpendingCap spending,
            long providerNowMillis,
            YearMonth month,
            boolean monthMismatch,
            int affordableCount) {}

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
            int desiredSize,
            double nowMillis,
            long wallMillis,
            String idempotencyKey) {
        if (report == null) {
            return new ScaleOutDecision.FetchReport();
        }
        if (isOutdated(report, nowMillis)) {
            boolean idle = desiredSize <= 0 && budget.pendingResize() == null && report.desiredSize() == 0;
            return idle ? new ScaleOutDecision.NoAction() : new ScaleOutDecision.FetchReport();
        }
        long providerNowMillis = report.providerNowMillis(nowMillis);
        YearMonth month = budgetMonth(budget, Math.min(providerNowMillis, wallMillis));
        if (!month.toString().equals(budget.month())) {
            return new ScaleOutDecision.StoreBudget(budget.withMonth(month.toString()));
        }
        BudgetSnapshot snapshot = budgetSnapshot(report, providerNowMillis, month);
        return budget.pendingResize() == null
                ? startResize(budget, report, snapshot, desiredSize, idempotencyKey)
                : continueResize(budget, report, snapshot);
    }

    private static boolean isOutdated(ProviderReport report, double nowMillis) {
        boolean starting = report.runningCharges().size() < report.desiredSize();
        return nowMillis - report.requestedAtMillis()
                > (starting ? MAX_REPORT_AGE_WHILE_STARTING_MILLIS : MAX_REPORT_AGE_MILLIS);
    }

    private BudgetSnapshot budgetSnapshot(ProviderReport report, long providerNowMillis, YearMonth month) {
        SpendingCap spending = new SpendingCap(settings.cap(), month);
        budgetStatus = new BudgetStatus(
                spending.spentCents(report.charges(), providerNowMillis),
                spending.committedCents(report.charges(), providerNowMillis, settings.reactionMillis()),
                settings.cap().cents(),
                month.plusMonths(1));
        // Otherwise costs of one month could be paid from the budget of another.
        boolean monthMismatch = !SpendingCap.monthOf(providerNowMillis, zone).equals(month);
        long startingCount =
                Math.max(0, report.desiredSize() - report.runningCharges().size());
        int affordableCount = monthMismatch
                ? 0
                : spending.affordableCount(
                        report.charges(),
                        providerNowMillis,
                        settings.reactionMillis(),
                        UNLIMITED,
                        settings.minCostCents(),
                        startingCount * settings.minCostCents());
        return new BudgetSnapshot(spending, providerNowMillis, month, monthMismatch, affordableCount);
    }

    /**
     * Sends the pending resize unless it is done or has become too expensive since. A request of it that is still in
     * transit takes effect within its time limit or not at all.
     */
    private ScaleOutDecision continueResize(Budget budget, ProviderReport report, BudgetSnapshot snapshot) {
        ResizeRequest pending = budget.pendingResize();
        int sizeChange = pending.size() - report.desiredSize();
        return sizeChange == 0 || sizeChange > snapshot.affordableCount()
                ? new ScaleOutDecision.StoreBudget(budget.withPendingResize(null))
                : new ScaleOutDecision.Resize(pending, snapshot.providerNowMillis() + settings.reactionMillis());
    }

    private ScaleOutDecision startResize(
            Budget budget, ProviderReport report, BudgetSnapshot snapshot, int desiredSize, String idempotencyKey) {
        int currentSize = report.desiredSize();
        int targetSize = targetSize(report, snapshot, desiredSize);
        if (targetSize <= currentSize) {
            int releaseCount = (int) Math.min(
                    currentSize - targetSize,
                    countPastMinBilledTime(report.runningCharges(), snapshot.providerNowMillis()));
            return releaseCount <= 0
                    ? new ScaleOutDecision.NoAction()
                    : storeResize(budget, new ResizeRequest(idempotencyKey, currentSize - releaseCount, 0));
        }
        int addCount = Math.min(targetSize - currentSize, snapshot.affordableCount());
        String month = snapshot.month().toString();
        if (!snapshot.monthMismatch() && addCount < targetSize - currentSize && !month.equals(budget.nearCapMonth())) {
            return new ScaleOutDecision.StoreBudget(budget.withNearCapMonth(month));
        }
        return addCount <= 0
                ? new ScaleOutDecision.NoAction()
                : storeResize(
                        budget,
                        new ResizeRequest(idempotencyKey, currentSize + addCount, addCount * settings.minCostCents()));
    }

    private int targetSize(ProviderReport report, BudgetSnapshot snapshot, int desiredSize) {
        if (settings.releaseAtCap()
                && snapshot.spending().isCapReached(report.charges(), snapshot.providerNowMillis())) {
            return 0;
        }
        return desiredSize < 0 ? report.desiredSize() : desiredSize;
    }

    private static ScaleOutDecision storeResize(Budget budget, ResizeRequest resize) {
        return new ScaleOutDecision.StoreBudget(budget.withPendingResize(resize));
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
