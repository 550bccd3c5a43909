package nettlewick.tenantpools;

import java.util.ArrayDeque;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.DoubleConsumer;
import java.util.function.Supplier;
import nettlewick.contention.ContentionEvidence;
import nettlewick.contention.MigrationState;
import nettlewick.contention.PoolMigration;
import nettlewick.contention.PoolReservation;
import nettlewick.contention.UsageReporter;
import nettlewick.core.Clock;
import nettlewick.lease.LeaseTask;
import nettlewick.log.ComponentLogger;

/**
 * What is done with one member's duty: its holder judges, moves, and asks the provider; everyone else
 * follows,
 * and tells what it sees. Belongs to the duties' thread.
 */
final class TenantPoolTask implements LeaseTask {
    private static final ComponentLogger LOG = ComponentLogger.of("pools");
    /** What may come next is looked at once in so many milliseconds, and after each version. */
    private static final double MIN_EVALUATION_INTERVAL_MILLIS = 20;
    /** A demand is taken for gone only once this many windows show less. */
    private static final int DEMAND_WINDOWS = 10;
    /** Windows for which all are listened to after anyone has spoken of its own accord. */
    private static final int LISTENING_WINDOWS = 10;
    /** Pauses between tries at the provider: the first bound and the longest. */
    private static final double INITIAL_BACKOFF_MILLIS = 100;

    private static final double MAX_BACKOFF_MILLIS = 10_000;

    private final String tenant;
    private final Supplier<PoolSettings> settings;
    private final PoolAssignments assignments;
    private final UsageReporter reporter;
    private final ProviderClient provider;
    private final Clock clock;
    private final DoubleConsumer onChange;
    private final SplittableRandom random;
    private Desk leaseControl;
    /** Whether the holder wants words from all. */
    private boolean holderListens;

    // While it is held
    private long fence = -1;
    private boolean announced;
    private long lastVersion;
    private double nextEvaluationAt;
    private ContentionEvidence evidence;
    private PoolMigration migration;
    private double windowEndsAt;
    /**
     * For so many windows more, whatever they bring, words are wanted; and whether the member is being
     * moved.
     */
    private int listeningWindowsLeft;

    private boolean migrating;
    private final ArrayDeque<Double> recentDemand = new ArrayDeque<>();
    private ProviderReport report;
    private boolean requestInFlight;
    private double nextRequestAt;
    private int failures;
    private boolean scaleOutComplete;
    private ScaleOutPolicy policy;
    private ScaleOutPolicy.ScaleOutSettings policySettings;
    /** Read by whoever asks for figures; null while it is not held here. */
    private volatile ScaleOutPolicy.BudgetStatus budgetStatus;

    private long nextKey;

    /** @param changed told at each word and each beat, with the time */
    TenantPoolTask(
            String tenant,
            Supplier<PoolSettings> settings,
            PoolAssignments board,
            UsageReporter speaker,
            ProviderClient provider,
            Clock clock,
            long seed,
            DoubleConsumer changed) {
        this.tenant = tenant;
        this.settings = settings;
        this.assignments = board;
        this.reporter = speaker;
        this.provider = provider;
        this.clock = clock;
        this.onChange = changed;
        random = new SplittableRandom(seed);
    }

    @Override
    public void joins(Desk one) {
        leaseControl = one;
    }

    private PoolSettings.TenantSettings tenantSettings() {
        return settings.get().tenants().get(tenant);
    }

    @Override
    public byte[] turn(HeldLease hold) {
        PoolState s = PoolState.decode(hold.state());
        if (fence != hold.fence()) {
            startHolding(hold);
            return s.withNextTerm().encode();
        }
        if (hold.version() == lastVersion && hold.now() < nextEvaluationAt) {
            return null;
        }
        lastVersion = hold.version();
        nextEvaluationAt = hold.now() + MIN_EVALUATION_INTERVAL_MILLIS;
        if (!announced) {
            announced = true;
            LeaseTask.held(PoolSettings.leaseName(tenant), hold, s.term());
        }
        migrating = s.migration().step() != MigrationState.Step.SHARED;
        closeWindowIfDue(hold.now());
        PoolState next = nextState(s, hold.now());
        return next == s ? null : next.encode();
    }

    private void startHolding(HeldLease hold) {
        fence = hold.fence();
        announced = false;
        lastVersion = -1;
        evidence = new ContentionEvidence(tenant, settings.get().quotas());
        migration = new PoolMigration(tenant);
        windowEndsAt = hold.now() + settings.get().windowMillis();
        recentDemand.clear();
        listeningWindowsLeft = 0;
        report = null;
        requestInFlight = false;
        nextRequestAt = hold.now();
        failures = 0;
        scaleOutComplete = false;
    }

    private void closeWindowIfDue(double now) {
        if (now >= windowEndsAt) {
            windowEndsAt = now + settings.get().windowMillis();
            ContentionEvidence.Finding finding = evidence.closeWindow(assignments.isolatedTenants(tenant));
            listeningWindowsLeft = Math.max(0, listeningWindowsLeft - 1);
            migration.recordFinding(finding, now);
            recentDemand.add(finding.demandFraction());
            if (recentDemand.size() > DEMAND_WINDOWS) {
                recentDemand.remove();
            }
        }
    }

    /** The next state, or the same one. */
    private PoolState nextState(PoolState s, double now) {
        Map<String, PoolReservation.ReadyEndpoint> ready = assignments.readyEndpoints();
        boolean whole = tenantSettings().scaleOut() == null || scaleOutComplete;
        PoolMigration.FleetView view = new PoolMigration.FleetView(
                ready,
                assignments.endpointsReservedByOthers(tenant, s.migration().endpoints()),
                whole);
        MigrationState next = migration.nextState(
                s.migration(), tenantSettings().policy(), settings.get().migrationSettings(tenant), view, now);
        if (!next.equals(s.migration())) {
            LOG.info(
                    "pool-" + next.step().wireName().toLowerCase(Locale.ROOT),
                    "member " + tenant + ": " + next.step().wireName() + " with runners " + next.endpoints(),
                    "member",
                    tenant,
                    "step",
                    next.step().wireName(),
                    "fence",
                    fence);
            return s.withMigration(next);
        }
        if (tenantSettings().scaleOut() == null) {
            return s;
        }
        List<String> names = report == null
                ? s.addedEndpoints()
                : report.runningCharges().stream()
                        .map(InstanceCharge::name)
                        .sorted()
                        .toList();
        return names.equals(s.addedEndpoints()) ? scaleOut(s, ready, now) : s.withAddedEndpoints(names);
    }

    private PoolState scaleOut(PoolState s, Map<String, PoolReservation.ReadyEndpoint> ready, double now) {
        if (!tenantSettings().scaleOut().equals(policySettings)) {
            policySettings = tenantSettings().scaleOut();
            policy = new ScaleOutPolicy(policySettings);
        }
        String key = PoolSettings.leaseName(tenant) + "-" + Long.toHexString(fence) + "-" + nextKey;
        ScaleOutPolicy.Decision next =
                policy.decide(s.budget(), report, desiredEndpoints(s.migration(), ready), now, (long) clock.now(), key);
        budgetStatus = policy.budgetStatus();
        scaleOutComplete = next == ScaleOutPolicy.Decision.NOTHING
                && report != null
                && report.runningCharges().size() >= report.desiredSize()
                && report.runningCharges().stream().allMatch(b -> ready.containsKey(b.name()));
        if (next.store() != null) {
            nextKey++;
            if (!next.store().nearCapMonth().equals(s.budget().nearCapMonth())) {
                ScaleOutPolicy.BudgetStatus m = policy.budgetStatus();
                LOG.warning(
                        "near-cap",
                        "member " + tenant + " is near its cap: spent " + m.spentCents()
                                + ", bound to spend " + m.committedCents() + " of " + m.capCents()
                                + "; nothing is added before " + m.resumesIn(),
                        "member",
                        tenant,
                        "spent",
                        m.spentCents(),
                        "cap",
                        m.capCents());
            }
            return s.withBudget(next.store());
        }
        if (requestInFlight || now < nextRequestAt) {
            return s;
        }
        if (next.list()) {
            requestInFlight = true;
            provider.list(tenant, now, answerHandler(fence));
        } else if (next.resize() != null) {
            requestInFlight = true;
            LOG.info(
                    "asks-provider",
                    "asks the provider for " + next.resize().size() + " runners for " + tenant,
                    "member",
                    tenant,
                    "size",
                    next.resize().size(),
                    "key",
                    next.resize().idempotencyKey(),
                    "fence",
                    fence);
            provider.resize(
                    tenant, next, report.etag(), fence, tenantSettings().endpointKind(), now, answerHandler(fence));
        }
        return s;
    }

    private Consumer<ProviderClient.Answer> answerHandler(long under) {
        return answer -> leaseControl.run(() -> {
            if (under == fence) {
                handleAnswer(answer, System.nanoTime() / 1e6);
            }
        });
    }

    private void handleAnswer(ProviderClient.Answer answer, double now) {
        requestInFlight = false;
        if (answer.outcome() == ProviderClient.Outcome.REPORTED) {
            failures = 0;
            nextRequestAt = now;
            if (report == null || answer.report().requestedAtMillis() >= report.requestedAtMillis()) {
                report = answer.report();
            }
            return;
        }
        // Danger: all holders come back at once to a provider that was down. The pause is drawn from the
        // whole.
        double bound = Math.min(MAX_BACKOFF_MILLIS, INITIAL_BACKOFF_MILLIS * Math.pow(2, Math.min(30, failures++)));
        nextRequestAt = now + answer.retryAfterMillis() + bound * random.nextDouble();
        switch (answer.outcome()) {
            case VERSION_CONFLICT -> report = null;
            case FENCED -> {
                LOG.warning(
                        "outdone",
                        "the provider has seen a higher fence for " + tenant,
                        "member",
                        tenant,
                        "fence",
                        fence,
                        "seen",
                        answer.highestFence());
                leaseControl.outdo(PoolSettings.leaseName(tenant), answer.highestFence());
            }
            default ->
                LOG.info(
                        "provider-fails",
                        "the provider did not answer for " + tenant,
                        "member",
                        tenant,
                        "way",
                        answer.outcome());
        }
    }

    /** How many runners its demand is worth beyond its share; below 0: not known yet. */
    private int desiredEndpoints(MigrationState move, Map<String, PoolReservation.ReadyEndpoint> ready) {
        if (move.step() == MigrationState.Step.SHARED || move.step() == MigrationState.Step.RETURNING) {
            return 0;
        }
        double part = recentDemand.stream().mapToDouble(p -> p).max().orElse(-1);
        long common =
                ready.values().stream().filter(r -> r.addedForTenant() == null).count();
        double beyond = part - settings.get().quotas().get(tenant);
        return part < 0
                ? -1
                : (int) Math.max(0, Math.min(tenantSettings().maxAddedEndpoints(), Math.round(beyond * common)));
    }

    @Override
    public void lost() {
        fence = -1;
        budgetStatus = null;
    }

    @Override
    public void news(long under, long version, byte[] state, boolean wanted, double now) {
        holderListens = wanted;
        assignments.recordState(tenant, PoolState.decode(state), now);
        onChange.accept(now);
    }

    @Override
    public void word(int from, long life, byte[] word, double now) {
        if (fence >= 0 && !evidence.recordReport(from, life, word)) {
            LOG.warning("word-passed-over", "a word on " + tenant + " cannot be read", "from", from);
        }
        // At once: the others' words of the last windows are in before this one ends.
        if (fence >= 0 && evidence.takeUnsolicited()) {
            if (listeningWindowsLeft == 0) {
                LOG.info("hears-all", "hears all on member " + tenant, "member", tenant, "from", from);
            }
            listeningWindowsLeft = LISTENING_WINDOWS;
        }
    }

    @Override
    public List<byte[]> tell(long under, double now) {
        onChange.accept(now);
        return reporter.reportsToSend(
                tenant,
                under,
                holderListens,
                settings.get().windowMillis(),
                now,
                () -> assignments.isolatedTenants(tenant).keySet());
    }

    @Override
    public boolean listens() {
        return fence >= 0 && (migrating || listeningWindowsLeft > 0);
    }

    @Override
    public boolean idle() {
        return !listens();
    }

    /** Figures for operators while it is held here. */
    ScaleOutPolicy.BudgetStatus budgetStatus() {
        return budgetStatus;
    }
}
