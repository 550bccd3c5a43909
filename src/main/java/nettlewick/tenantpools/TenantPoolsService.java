package nettlewick.tenantpools;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import nettlewick.contention.UsageCounters;
import nettlewick.contention.UsageReporter;
import nettlewick.core.Attempt;
import nettlewick.core.Clock;
import nettlewick.core.EndpointUpdate;
import nettlewick.core.Request;
import nettlewick.core.RequestCoordinator;
import nettlewick.core.RequestListener;
import nettlewick.decision.AttemptResult;
import nettlewick.decision.PoolAssignment;
import nettlewick.decision.SchedulerSettings;
import nettlewick.lease.LeaseTask;
import nettlewick.log.ComponentLogger;
import nettlewick.settings.Block;

/**
 * Connects the tenants' pools to the lease service, which runs their tasks, and to the core, which applies the
 * resulting assignments. Requests and endpoint updates arrive on the core's thread, all other calls on the lease
 * thread.
 */
public final class TenantPoolsService implements RequestListener, AutoCloseable {
    private static final ComponentLogger LOG = ComponentLogger.of("pools");

    private volatile PoolSettings settings;
    private final SchedulerSettings schedulerSettings;
    private final UsageCounters counters;
    private final PoolAssignments assignments;
    private final ProviderClient provider;
    private final Map<String, TenantPoolTask> tasks = new LinkedHashMap<>();
    private volatile RequestCoordinator coordinator;
    private List<PoolAssignment> lastAssignments = List.of();

    /**
     * Validates the settings and creates one lease task for each tenant named in them.
     *
     * @throws nettlewick.settings.InvalidSettingsException if the block contradicts itself or the scheduler settings
     */
    public TenantPoolsService(Block block, SchedulerSettings schedulerSettings, Clock clock, long seed) {
        this.schedulerSettings = schedulerSettings;
        settings = PoolSettings.of(block, schedulerSettings.tenants());
        counters = new UsageCounters(schedulerSettings.classes());
        assignments = new PoolAssignments(settings.staleAfterMillis());
        provider = settings.providerUrl() == null
                ? null
                : new ProviderClient(settings.providerUrl(), settings.providerTimeoutMillis());
        UsageReporter reporter = new UsageReporter(counters, settings.quotas());
        settings.tenants()
                .keySet()
                .forEach(tenant -> tasks.put(tenant, task(tenant, reporter, clock, seed ^ tenant.hashCode())));
    }

    private TenantPoolTask task(String tenant, UsageReporter reporter, Clock clock, long seed) {
        return new TenantPoolTask(
                tenant,
                () -> settings,
                assignments,
                reporter,
                new ScaleOutController(tenant, provider, clock, seed),
                this::publishAssignments);
    }

    /** The tenants' lease tasks, by lease name. */
    public Map<String, LeaseTask> leaseTasks() {
        Map<String, LeaseTask> leaseTasks = new LinkedHashMap<>();
        tasks.forEach((name, task) -> leaseTasks.put(PoolSettings.leaseName(name), task));
        return leaseTasks;
    }

    /**
     * Validates a new version of the block. Tenants cannot be added or removed without a restart, since each has a
     * lease; a block that does so is not applied, and a warning is logged.
     *
     * @return a task that applies it
     * @throws nettlewick.settings.InvalidSettingsException if it is invalid; the current settings stay in force
     */
    public Runnable prepareReload(Block block) {
        PoolSettings next = PoolSettings.of(block, schedulerSettings.tenants());
        return () -> {
            if (next.tenants().keySet().equals(tasks.keySet())) {
                settings = next;
            } else {
                LOG.warning(
                        "members-stay",
                        "tenants in block pools cannot be added or removed without a restart; keeping the old block");
            }
        };
    }

    /** Passes changed assignments to the core. Called on the lease thread. */
    private void publishAssignments(double nowMillis) {
        List<PoolAssignment> next = assignments.currentAssignments(nowMillis);
        RequestCoordinator currentCoordinator = coordinator;
        if (currentCoordinator != null && !next.equals(lastAssignments)) {
            lastAssignments = next;
            LOG.info(
                    "pools-followed",
                    "pool assignments changed; tenants with dedicated endpoints: " + next.size(),
                    "follows",
                    describe(next));
            currentCoordinator.assignPools(next);
        }
    }

    /**
     * Formats assignments as {@code red:1:0:s1,s2;blue:1:1:s3}: tenant, whether it excludes others, whether it is
     * confined to its endpoints, endpoint names. The fleet test parses this format.
     */
    private static String describe(List<PoolAssignment> assignments) {
        return assignments.stream()
                .map(assignment -> assignment.tenant() + ":" + (assignment.isExclusive() ? 1 : 0) + ":"
                        + (assignment.isConfined() ? 1 : 0)
                        + ":"
                        + assignment.endpoints().stream().sorted().collect(Collectors.joining(",")))
                .collect(Collectors.joining(";"));
    }

    @Override
    public void onAttached(RequestCoordinator coordinator) {
        this.coordinator = coordinator;
    }

    @Override
    public void onRequestAccepted(Request request) {
        counters.onRequestAccepted(request);
    }

    @Override
    public void onAttemptEnded(Attempt attempt, AttemptResult result) {
        counters.onAttemptEnded(attempt, result);
    }

    @Override
    public void onEndpointsUpdated(EndpointUpdate update) {
        assignments.onEndpointsUpdated(update);
    }

    @Override
    public Map<String, Number> metrics() {
        Map<String, Number> metrics = new TreeMap<>();
        tasks.forEach((name, task) -> {
            ScaleOutPolicy.BudgetStatus budget = task.budgetStatus();
            if (budget != null) {
                metrics.put("pools." + name + ".spent_cents", budget.spentCents());
                metrics.put("pools." + name + ".committed_cents", budget.committedCents());
                metrics.put("pools." + name + ".cap_cents", budget.capCents());
            }
        });
        return metrics;
    }

    @Override
    public void close() {
        if (provider != null) {
            provider.close();
        }
    }
}
