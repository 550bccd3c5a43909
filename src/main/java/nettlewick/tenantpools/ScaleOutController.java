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
 * Carries out the scale-out decisions of a lease holder: asks the provider, one request at a time, and retries with
 * exponential backoff and jitter. Confined to the lease thread, except {@link #budgetStatus}.
 */
final class ScaleOutController {
    private static final ComponentLogger LOG = ComponentLogger.of("pools");
    private static final double INITIAL_BACKOFF_MILLIS = 100;
    private static final double MAX_BACKOFF_MILLIS = 10_000;
    /** Keeps the power of two finite. */
    private static final int MAX_DOUBLINGS = 30;

    private static final double NANOS_PER_MILLI = 1e6;

    /** No lease is held. */
    private static final long NO_FENCE = -1;

    private final String tenant;
    private final ProviderClient provider;
    private final Clock clock;
    private final SplittableRandom random;
    private LeaseTask.LeaseControl leaseControl;

    private long fence = NO_FENCE;
    /** The newest since the lease was acquired; null before the first. */
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

    /** @param provider null if there is none; {@link #evaluate} must not be called then */
    ScaleOutController(String tenant, ProviderClient provider, Clock clock, long seed) {
        this.tenant = tenant;
        this.provider = provider;
        this.clock = clock;
        random = new SplittableRandom(seed);
    }

    void attach(LeaseTask.LeaseControl control) {
        leaseControl = control;
    }

    /** Starts without any report, under the fence of a newly acquired lease. */
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

    /** Whether all endpoints that were requested run and are ready. */
    boolean isComplete() {
        return scaleOutComplete;
    }

    /** Null while the lease is not held here, or nothing was reported yet. Any thread. */
    BudgetStatus budgetStatus() {
        return budgetStatus;
    }

    /**
     * Takes one step towards the desired number of added endpoints.
     *
     * @param desired negative: as many as there are
     * @param ready   names of all ready endpoints
     * @return the state to store, or the same one
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
                    "asks the provider for " + request.size() + " endpoints for tenant " + tenant,
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

    /** Hands an answer to the lease thread; one that belongs to an earlier holding is dropped. */
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
                    "the provider did not answer for tenant " + tenant,
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

    /** Drawn from the whole interval: all holders would otherwise return at once to a provider that was down. */
    private double backoffMillis() {
        double maxDelayMillis = Math.min(
                MAX_BACKOFF_MILLIS,
                INITIAL_BACKOFF_MILLIS * Math.pow(2, Math.min(MAX_DOUBLINGS, consecutiveFailures++)));
        return maxDelayMillis * random.nextDouble();
    }

    private void yieldLease(long highestFence) {
        LOG.warning(
                "outdone",
                "the provider has seen a higher fence for tenant " + tenant,
                "member",
                tenant,
                "fence",
                fence,
                "seen",
                highestFence);
        leaseControl.yieldToHigherFence(PoolSettings.leaseName(tenant), highestFence);
    }
}
