package nettlewick.tenantpools;

import java.time.YearMonth;
import java.time.ZoneId;
import java.util.List;
import nettlewick.tenantpools.PoolState.Budget;
import nettlewick.tenantpools.PoolState.ResizeRequest;

/**
 * Decides how many endpoints are added for a tenant within its spending cap (docs/pools.md): what to store, or to
 * request from the provider, next, given its last report. Confined to one thread.
 */
final class ScaleOutPolicy {
    private static final double MAX_REPORT_AGE_MILLIS = 5000;
    private static final double MAX_REPORT_AGE_WHILE_STARTING_MILLIS = 500;
    /** No limit on the number of endpoints; less than the largest int, so that sums do not overflow. */
    private static final int UNLIMITED = Integer.MAX_VALUE / 2;

    /**
     * The limits of scaling out for a tenant.
     *
     * @param centsPerHour    the price of one additional endpoint
     * @param minBilledMillis the minimum time that is billed for it
     * @param reactionMillis  the maximum time until an endpoint that is no longer wanted can be ended
     * @param releaseAtCap    whether all added endpoints are released when the cap itself is reached
     */
    record ScaleOutSettings(
            SpendingCap.MonthlyCap cap,
            long centsPerHour,
            long minBilledMillis,
            long reactionMillis,
            boolean releaseAtCap) {
        /** The minimum cost of one additional endpoint. */
        long minCostCents() {
            return InstanceCharge.costCents(Math.max(minBilledMillis, reactionMillis), centsPerHour);
        }
    }

    /**
     * The state of a tenant's budget, for operators.
     *
     * @param resumesInMonth the month from which endpoints can be added again after the near-cap threshold is reached
     */
    record BudgetStatus(long spentCents, long committedCents, long capCents, YearMonth resumesInMonth) {}

    /**
     * The budget at the time of a decision.
     *
     * @param providerNowMillis the provider's clock, in milliseconds of Unix time
     * @param month             the month whose budget counts
     * @param monthMismatch     whether the provider's clock shows another month
     * @param affordableCount   how many additional endpoints the budget allows
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

    /** The budget's state according to the last report; null before the first. */
    BudgetStatus budgetStatus() {
        return budgetStatus;
    }

    /**
     * Decides the next action.
     *
     * @param report         the newest report; null if none has arrived since the lease was acquired
     * @param desiredSize    how many endpoints should run; negative to keep the current number
     * @param nowMillis      the monotonic clock
     * @param wallMillis     the local wall clock, in milliseconds of Unix time; it may be wrong
     * @param idempotencyKey a new key, used if this decision starts a resize
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
        // If the months differ, nothing is added: otherwise costs of one month could be charged to another month's
        // budget.
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
     * Sends the pending resize unless it is complete or no longer affordable. An earlier request for it that is still
     * in transit takes effect within its time limit or not at all.
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
     * A month's budget opens only when both the provider's clock and the local clock have reached the month, and never
     * after a later month has opened. This prevents a clock jump from opening a month's budget early or twice.
     */
    private YearMonth budgetMonth(Budget budget, long earlierClockMillis) {
        YearMonth now = SpendingCap.monthOf(earlierClockMillis, zone);
        return budget.month().isEmpty() || now.isAfter(YearMonth.parse(budget.month()))
                ? now
                : YearMonth.parse(budget.month());
    }

    /** The number of instances whose minimum billed time is over. Ending the others would save nothing yet. */
    private static long countPastMinBilledTime(List<InstanceCharge> running, long providerNowMillis) {
        return running.stream()
                .filter(charge -> providerNowMillis >= charge.startedAtMillis() + charge.minBilledMillis())
                .count();
    }
}
