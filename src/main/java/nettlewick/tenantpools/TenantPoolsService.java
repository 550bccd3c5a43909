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

/** Joins members' pools to the duties on one side and to the core on the other. */
public final class TenantPoolsService implements RequestListener, AutoCloseable {
    private static final ComponentLogger LOG = ComponentLogger.of("pools");

    private volatile PoolSettings settings;
    private final SchedulerSettings platform;
    private final UsageCounters counters;
    private final PoolAssignments assignments;
    private final ProviderClient provider;
    private final Map<String, TenantPoolTask> tasks = new LinkedHashMap<>();
    private volatile RequestCoordinator coordinator;
    private List<PoolAssignment> lastAssigned = List.of();

    /** @throws nettlewick.settings.BadSettings where the block does not fit the platform's settings */
    public TenantPoolsService(Block block, SchedulerSettings platform, Clock clock, long seed) {
        this.platform = platform;
        settings = PoolSettings.of(block, platform.tenants());
        counters = new UsageCounters(platform.classes());
        assignments = new PoolAssignments(settings.staleAfterMillis());
        provider = settings.providerUrl() == null
                ? null
                : new ProviderClient(settings.providerUrl(), settings.providerTimeoutMillis());
        UsageReporter reporter = new UsageReporter(counters, settings.quotas());
        settings.tenants()
                .keySet()
                .forEach(name -> tasks.put(
                        name,
                        new TenantPoolTask(
                                name,
                                () -> settings,
                                assignments,
                                reporter,
                                provider,
                                clock,
                                seed ^ name.hashCode(),
                                this::publishAssignments)));
    }

    /** What is done with each member's duty, by the duty's name. */
    public Map<String, LeaseTask> leaseTasks() {
        Map<String, LeaseTask> leaseTasks = new LinkedHashMap<>();
        tasks.forEach((name, task) -> leaseTasks.put(PoolSettings.leaseName(name), task));
        return leaseTasks;
    }

    /**
     * Checks the block read anew; the step that takes it over comes back. Members that come or go would
     * change
     * which duties there are, which only a restart does.
     *
     * @throws nettlewick.settings.BadSettings where it does not fit; the old one stays
     */
    public Runnable prepareReload(Block block) {
        PoolSettings next = PoolSettings.of(block, platform.tenants());
        return () -> {
            if (next.tenants().keySet().equals(tasks.keySet())) {
                settings = next;
            } else {
                LOG.warning("members-stay", "members of `pools` that come or go want a restart; the old block stays");
            }
        };
    }

    /** On the duties' thread: what has changed for the module goes to it. */
    private void publishAssignments(double nowMillis) {
        List<PoolAssignment> next = assignments.currentAssignments(nowMillis);
        RequestCoordinator to = coordinator;
        if (to != null && !next.equals(lastAssigned)) {
            lastAssigned = next;
            LOG.info("pools-followed", "members with runners of their own: " + next.size(), "follows", describe(next));
            to.assignPools(next);
        }
    }

    /**
     * {@code red:1:0:s1,s2;blue:1:1:s3}: member, whether others keep away, whether it stays there, runners.
     */
    private static String describe(List<PoolAssignment> all) {
        return all.stream()
                .map(a -> a.tenant() + ":" + (a.exclusive() ? 1 : 0) + ":" + (a.confined() ? 1 : 0)
                        + ":"
                        + a.endpoints().stream().sorted().collect(Collectors.joining(",")))
                .collect(Collectors.joining(";"));
    }

    @Override
    public void joins(RequestCoordinator coordinator) {
        this.coordinator = coordinator;
    }

    @Override
    public void asked(Request request) {
        counters.asked(request);
    }

    @Override
    public void ended(Attempt attempt, AttemptResult result) {
        counters.ended(attempt, result);
    }

    @Override
    public void listed(EndpointUpdate update) {
        assignments.listed(update);
    }

    @Override
    public Map<String, Number> figures() {
        Map<String, Number> figures = new TreeMap<>();
        tasks.forEach((name, task) -> {
            ScaleOutPolicy.BudgetStatus budget = task.budgetStatus();
            if (budget != null) {
                figures.put("pools." + name + ".spent_cents", budget.spentCents());
                figures.put("pools." + name + ".committed_cents", budget.committedCents());
                figures.put("pools." + name + ".cap_cents", budget.capCents());
            }
        });
        return figures;
    }

    @Override
    public void close() {
        if (provider != null) {
            provider.close();
        }
    }
}
