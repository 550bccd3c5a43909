package nettlewick.tenantpools;

import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import nettlewick.core.Clock;
import nettlewick.lease.LeaseTask;
import nettlewick.log.ComponentLogger;
import nettlewick.tenantpools.PoolState.Budget;
import nettlewick.tenantpools.PoolState.ResizeRequest;
import nettlewick.tenantpools.ScaleOutPolicy.BudgetStatus;

/**
 * Carries out the scale-out decisions of a lease holder: sends requests to the provider, one at a time, and retries
 * with exponential backoff and jitter. Confined to the lease thread, except {@link #budgetStatus}.
 */
final class ScaleOutController {
    private static final ComponentLogger LOG = ComponentLogger.of("pools");
    private static final double INITIAL_BACKOFF_MILLIS = 100;
    private static final double MAX_BACKOFF_MILLIS = 10_000;
    /** Prevents overflow of the power of two. */
    private static final int MAX_DOUBLINGS = 30;

    private static final double NANOS_PER_MILLI = 1e6;

    /** The lease is not held. */
    private static final long NO_FENCE = -1;

    private final String tenant;
    private final ProviderClient provider;
    private final Clock clock;
    private final SplittableRandom random;
    private LeaseTask.LeaseControl leaseControl;

    private long fence = NO_FENCE;
    /** The newest report since the lease was acquired; null before the first. */
    private ProviderReport report;

    private boolean requestInFlight;
    private double nextRequestAt;
    private int consecutiveFailures;
    private boolean scaleOutComplete;
    private ScaleOutPolicy policy;
    private ScaleOutPolicy.ScaleOutSettings policySettings;
    private long nextKeyNumber;
    /** Null while the lease is not held here. */
    private volatile BudgetStatus budgetStatus;

    /** @param provider null if there is no provider; {@link #evaluate} must not be called then */
    ScaleOutController(String tenant, ProviderClient provider, Clock clock, long seed) {
        this.tenant = tenant;
        this.provider = provider;
        this.clock = clock;
        random = new SplittableRandom(seed);
    }

    void attach(LeaseTask.LeaseControl control) {
        leaseControl = control;
    }

    /** Resets all state for a newly acquired lease. */
    void startHolding(long newFence, double nowMillis) {
        fence = newFence;
        report = null;
        requestInFlight = false;
        nextRequestAt = nowMillis;
        consecutiveFailures = 0;
        scaleOutComplete = false;
    }

    void stopHolding() {
        fence = NO_FENCE;
        budgetStatus = null;
    }

    /** Whether all requested endpoints are running and ready. */
    boolean isComplete() {
        return scaleOutComplete;
    }

    /** The budget's state; null while the lease is not held here or no report has arrived. Thread-safe. */
    BudgetStatus budgetStatus() {
        return budgetStatus;
    }

    /**
     * Performs the next action towards the desired number of added endpoints.
     *
     * @param desiredSize the desired number; negative to keep the current one
     * @param readyNames  names of all ready endpoints
     * @return the state to store; the same object if it has not changed
     */
    PoolState evaluate(
            PoolState state,
            PoolSettings.TenantSettings settings,
            int desiredSize,
            Set<String> readyNames,
            double nowMillis) {
        List<String> names = runningNames(state);
        if (!names.equals(state.addedEndpoints())) {
            return state.withAddedEndpoints(names);
        }
        if (!settings.scaleOut().equals(policySettings)) {
            policySettings = settings.scaleOut();
            policy = new ScaleOutPolicy(policySettings);
        }
        String key = PoolSettings.leaseName(tenant) + "-" + Long.toHexString(fence) + "-" + nextKeyNumber;
        ScaleOutDecision decision =
                policy.decide(state.budget(), report, desiredSize, nowMillis, (long) clock.nowMillis(), key);
        budgetStatus = policy.budgetStatus();
        scaleOutComplete = decision instanceof ScaleOutDecision.NoAction && allInstancesReady(readyNames);
        if (decision instanceof ScaleOutDecision.StoreBudget store) {
            nextKeyNumber++;
            warnIfNearCap(state.budget(), store.budget());
            return state.withBudget(store.budget());
        }
        if (!requestInFlight && nowMillis >= nextRequestAt) {
            send(decision, settings.endpointKind(), nowMillis);
        }
        return state;
    }

    private List<String> runningNames(PoolState state) {
        return report == null
                ? state.addedEndpoints()
                : report.runningCharges().stream()
                        .map(InstanceCharge::name)
                        .sorted()
                        .toList();
    }

    private boolean allInstancesReady(Set<String> readyNames) {
        return report != null
                && report.runningCharges().size() >= report.desiredSize()
                && report.runningCharges().stream().allMatch(charge -> readyNames.contains(charge.name()));
    }

    private void warnIfNearCap(Budget before, Budget after) {
        if (after.nearCapMonth().equals(before.nearCapMonth())) {
            return;
        }
        BudgetStatus status = budgetStatus;
        LOG.warning(
                "near-cap",
                "tenant " + tenant + " is near its spending cap: spent " + status.spentCents() + ", committed "
                        + status.committedCents() + " of " + status.capCents() + "; nothing is added before "
                        + status.resumesInMonth(),
                "member",
                tenant,
                "spent",
                status.spentCents(),
                "cap",
                status.capCents());
    }

    private void send(ScaleOutDecision decision, String kind, double nowMillis) {
        if (decision instanceof ScaleOutDecision.FetchReport) {
            requestInFlight = true;
            provider.fetchReport(tenant, nowMillis, answerHandler(fence));
        } else if (decision instanceof ScaleOutDecision.Resize resize) {
            requestInFlight = true;
            ResizeRequest request = resize.request();
            LOG.info(
                    "asks-provider",
                    "requesting " + request.size() + " endpoints from the provider for tenant " + tenant,
                    "member",
                    tenant,
                    "size",
                    request.size(),
                    "key",
                    request.idempotencyKey(),
                    "fence",
                    fence);
            provider.resize(
                    tenant,
                    request,
                    new ProviderClient.ResizeCondition(report.etag(), fence, resize.notAfterMillis()),
                    kind,
                    nowMillis,
                    answerHandler(fence));
        }
    }

    /**
     * Returns a handler that passes an answer to the lease thread and drops it if the lease was lost or reacquired
     * since the request.
     */
    private Consumer<ProviderAnswer> answerHandler(long requestFence) {
        return answer -> leaseControl.execute(() -> {
            if (requestFence == fence) {
                handleAnswer(answer, System.nanoTime() / NANOS_PER_MILLI);
            }
        });
    }

    private void handleAnswer(ProviderAnswer answer, double nowMillis) {
        requestInFlight = false;
        if (answer instanceof ProviderAnswer.Reported reported) {
            acceptReport(reported.report(), nowMillis);
            return;
        }
        double delayMillis = answer instanceof ProviderAnswer.RetryLater later ? later.delayMillis() : 0;
        nextRequestAt = nowMillis + delayMillis + backoffMillis();
        if (answer instanceof ProviderAnswer.VersionConflict) {
            report = null;
        } else if (answer instanceof ProviderAnswer.Fenced fenced) {
            yieldLease(fenced.highestFence());
        } else {
            LOG.info(
                    "provider-fails",
                    "request to the provider for tenant " + tenant + " failed",
                    "member",
                    tenant,
                    "answer",
                    answer.getClass().getSimpleName());
        }
    }

    private void acceptReport(ProviderReport newReport, double nowMillis) {
        consecutiveFailures = 0;
        nextRequestAt = nowMillis;
        if (report == null || newReport.requestedAtMillis() >= report.requestedAtMillis()) {
            report = newReport;
        }
    }

    /**
     * A random delay between zero and the exponential bound (full jitter), so that the lease holders do not all retry
     * at the same time after an outage of the provider.
     */
    private double backoffMillis() {
        double maxDelayMillis = Math.min(
                MAX_BACKOFF_MILLIS,
                INITIAL_BACKOFF_MILLIS * Math.pow(2, Math.min(MAX_DOUBLINGS, consecutiveFailures++)));
        return maxDelayMillis * random.nextDouble();
    }

    private void yieldLease(long highestFence) {
        LOG.warning(
                "outdone",
                "the provider rejected a request for tenant " + tenant + " because it has seen a higher fence",
                "member",
                tenant,
                "fence",
                fence,
                "seen",
                highestFence);
        leaseControl.yieldToHigherFence(PoolSettings.leaseName(tenant), highestFence);
    }
}
