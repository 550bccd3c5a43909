package nettlewick.tenantpools;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.DoubleConsumer;
import java.util.function.Supplier;
import nettlewick.contention.ContentionEvidence;
import nettlewick.contention.MigrationState;
import nettlewick.contention.MigrationState.Step;
import nettlewick.contention.PoolMigration;
import nettlewick.contention.PoolReservation.ReadyEndpoint;
import nettlewick.contention.UsageReporter;
import nettlewick.lease.LeaseTask;
import nettlewick.log.ComponentLogger;

/**
 * The lease task of one tenant. The lease holder evaluates contention, migrates the tenant and adds endpoints; every
 * other dispatcher applies the stored state and reports usage. Confined to the lease thread, except {@link
 * #budgetStatus}.
 */
final class TenantPoolTask implements LeaseTask {
    private static final ComponentLogger LOG = ComponentLogger.of("pools");
    /** The minimum interval between evaluations by the holder, unless a new version has been stored. */
    private static final double MIN_EVALUATION_INTERVAL_MILLIS = 20;

    /** The lease is not held here. */
    private static final long NO_FENCE = -1;

    private final String tenant;
    private final Supplier<PoolSettings> settings;
    private final PoolAssignments assignments;
    private final UsageReporter reporter;
    private final ScaleOutController scaleOut;
    private final DoubleConsumer onChange;
    /** Whether the lease holder, here or elsewhere, requests reports from all dispatchers. */
    private boolean holderRequestsReports;

    // The following fields are valid while the lease is held here.
    private long fence = NO_FENCE;
    private boolean acquisitionLogged;
    private long lastVersion;
    private double nextEvaluationAt;
    private ContentionMonitor monitor;
    private PoolMigration migration;
    private boolean migrating;

    /**
     * @param onChange called with the current time in milliseconds whenever a state may have arrived or become stale
     */
    TenantPoolTask(
            String tenant,
            Supplier<PoolSettings> settings,
            PoolAssignments assignments,
            UsageReporter reporter,
            ScaleOutController scaleOut,
            DoubleConsumer onChange) {
        this.tenant = tenant;
        this.settings = settings;
        this.assignments = assignments;
        this.reporter = reporter;
        this.scaleOut = scaleOut;
        this.onChange = onChange;
    }

    private PoolSettings.TenantSettings tenantSettings() {
        return settings.get().tenants().get(tenant);
    }

    @Override
    public void start(LeaseControl control) {
        scaleOut.attach(control);
    }

    @Override
    public byte[] proposeNextState(HeldLease lease) {
        PoolState state = PoolState.decode(lease.state());
        if (fence != lease.fence()) {
            startHolding(lease);
            return state.withNextTerm().encode();
        }
        if (lease.version() == lastVersion && lease.nowMillis() < nextEvaluationAt) {
            return null;
        }
        lastVersion = lease.version();
        nextEvaluationAt = lease.nowMillis() + MIN_EVALUATION_INTERVAL_MILLIS;
        if (!acquisitionLogged) {
            acquisitionLogged = true;
            LeaseTask.logHeld(PoolSettings.leaseName(tenant), lease, state.term());
        }
        migrating = state.migration().step() != Step.SHARED;
        ContentionEvidence.Finding finding = monitor.closeWindowIfDue(
                lease.nowMillis(), settings.get().windowMillis(), () -> assignments.isolatedTenants(tenant));
        if (finding != null) {
            migration.recordFinding(finding, lease.nowMillis());
        }
        PoolState next = nextState(state, lease.nowMillis());
        return next == state ? null : next.encode();
    }

    private void startHolding(HeldLease lease) {
        fence = lease.fence();
        acquisitionLogged = false;
        lastVersion = -1;
        monitor = new ContentionMonitor(
                tenant,
                settings.get().quotas(),
                lease.nowMillis() + settings.get().windowMillis());
        migration = new PoolMigration(tenant);
        scaleOut.startHolding(fence, lease.nowMillis());
    }

    /** Returns the next state, or the same object if nothing changes. */
    private PoolState nextState(PoolState state, double nowMillis) {
        PoolSettings.TenantSettings tenantSettings = tenantSettings();
        Map<String, ReadyEndpoint> readyEndpoints = assignments.readyEndpoints();
        PoolMigration.FleetView fleet = new PoolMigration.FleetView(
                readyEndpoints,
                assignments.endpointsReservedByOthers(tenant, state.migration().endpoints()),
                tenantSettings.scaleOut() == null || scaleOut.isComplete());
        MigrationState next = migration.nextState(
                state.migration(), tenantSettings.policy(), settings.get().migrationSettings(tenant), fleet, nowMillis);
        if (!next.equals(state.migration())) {
            logStep(next);
            return state.withMigration(next);
        }
        return tenantSettings.scaleOut() == null
                ? state
                : scaleOut.evaluate(
                        state,
                        tenantSettings,
                        desiredAddedCount(state.migration(), readyEndpoints),
                        readyEndpoints.keySet(),
                        nowMillis);
    }

    private void logStep(MigrationState next) {
        String step = next.step().wireName();
        LOG.info(
                "pool-" + step.toLowerCase(Locale.ROOT),
                "tenant " + tenant + ": migration step " + step + " with endpoints " + next.endpoints(),
                "member",
                tenant,
                "step",
                step,
                "fence",
                fence);
    }

    /**
     * The number of added endpoints that covers the demand beyond the tenant's quota; negative while the demand is
     * unknown.
     */
    private int desiredAddedCount(MigrationState state, Map<String, ReadyEndpoint> readyEndpoints) {
        if (state.step() == Step.SHARED || state.step() == Step.RETURNING) {
            return 0;
        }
        double demandFraction = monitor.peakDemandFraction();
        if (demandFraction < 0) {
            return -1;
        }
        long sharedCount = readyEndpoints.values().stream()
                .filter(endpoint -> endpoint.addedForTenant() == null)
                .count();
        double excessFraction = demandFraction - settings.get().quotas().get(tenant);
        return (int)
                Math.max(0, Math.min(tenantSettings().maxAddedEndpoints(), Math.round(excessFraction * sharedCount)));
    }

    @Override
    public void onLost() {
        fence = NO_FENCE;
        scaleOut.stopHolding();
    }

    @Override
    public void onStoredState(long holderFence, long version, byte[] state, boolean requestsReports, double nowMillis) {
        holderRequestsReports = requestsReports;
        assignments.recordState(tenant, PoolState.decode(state), nowMillis);
        onChange.accept(nowMillis);
    }

    @Override
    public void onReport(int dispatcher, long incarnation, byte[] report, double nowMillis) {
        if (fence < 0) {
            return;
        }
        if (!monitor.recordReport(dispatcher, incarnation, report)) {
            LOG.warning(
                    "word-passed-over",
                    "ignoring a usage report on tenant " + tenant + " that cannot be decoded",
                    "from",
                    dispatcher);
        }
        if (monitor.requestReportsIfUnsolicited()) {
            LOG.info(
                    "hears-all",
                    "requesting usage reports on tenant " + tenant + " from all dispatchers",
                    "member",
                    tenant,
                    "from",
                    dispatcher);
        }
    }

    @Override
    public List<byte[]> collectReports(long holderFence, double nowMillis) {
        onChange.accept(nowMillis);
        return reporter.reportsToSend(
                tenant,
                holderFence,
                holderRequestsReports,
                settings.get().windowMillis(),
                nowMillis,
                () -> assignments.isolatedTenants(tenant).keySet());
    }

    @Override
    public boolean requestsReports() {
        return fence >= 0 && (migrating || monitor.requestsReports());
    }

    @Override
    public boolean isIdle() {
        return !requestsReports();
    }

    /** The budget's state; null while the lease is not held here or no report has arrived. Thread-safe. */
    ScaleOutPolicy.BudgetStatus budgetStatus() {
        return scaleOut.budgetStatus();
    }
}
