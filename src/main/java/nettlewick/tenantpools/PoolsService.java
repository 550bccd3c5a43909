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
public final class PoolsService implements RequestListener, AutoCloseable {
    private static final ComponentLogger LOG = ComponentLogger.of("pools");

    private volatile PoolSettings settings;
    private final SchedulerSettings platform;
    private final UsageCounters counters;
    private final PoolAssignments board;
    private final Provider provider;
    private final Map<String, TenantPoolTask> members = new LinkedHashMap<>();
    private volatile RequestCoordinator core;
    private List<PoolAssignment> last = List.of();

    /** @throws nettlewick.settings.BadSettings where the block does not fit the platform's settings */
    public PoolsService(Block block, SchedulerSettings platform, Clock clock, long seed) {
        this.platform = platform;
        settings = PoolSettings.of(block, platform.tenants());
        counters = new UsageCounters(platform.classes());
        board = new PoolAssignments(settings.forget());
        provider = settings.url() == null ? null : new Provider(settings.url(), settings.timeout());
        UsageReporter speaker = new UsageReporter(counters, settings.shares());
        settings.members()
                .keySet()
                .forEach(name -> members.put(
                        name,
                        new TenantPoolTask(
                                name,
                                () -> settings,
                                board,
                                speaker,
                                provider,
                                clock,
                                seed ^ name.hashCode(),
                                this::follow)));
    }

    /** What is done with each member's duty, by the duty's name. */
    public Map<String, LeaseTask> charges() {
        Map<String, LeaseTask> charges = new LinkedHashMap<>();
        members.forEach((name, charge) -> charges.put(PoolSettings.duty(name), charge));
        return charges;
    }

    /**
     * Checks the block read anew; the step that takes it over comes back. Members that come or go would
     * change
     * which duties there are, which only a restart does.
     *
     * @throws nettlewick.settings.BadSettings where it does not fit; the old one stays
     */
    public Runnable reread(Block block) {
        PoolSettings next = PoolSettings.of(block, platform.tenants());
        return () -> {
            if (next.members().keySet().equals(members.keySet())) {
                settings = next;
            } else {
                LOG.warning("members-stay", "members of `pools` that come or go want a restart; the old block stays");
            }
        };
    }

    /** On the duties' thread: what has changed for the module goes to it. */
    private void follow(double now) {
        List<PoolAssignment> next = board.assignments(now);
        RequestCoordinator to = core;
        if (to != null && !next.equals(last)) {
            last = next;
            LOG.info("pools-followed", "members with runners of their own: " + next.size(), "follows", text(next));
            to.assignPools(next);
        }
    }

    /**
     * {@code red:1:0:s1,s2;blue:1:1:s3}: member, whether others keep away, whether it stays there, runners.
     */
    private static String text(List<PoolAssignment> all) {
        return all.stream()
                .map(a -> a.tenant() + ":" + (a.exclusive() ? 1 : 0) + ":" + (a.confined() ? 1 : 0)
                        + ":"
                        + a.endpoints().stream().sorted().collect(Collectors.joining(",")))
                .collect(Collectors.joining(";"));
    }

    @Override
    public void joins(RequestCoordinator one) {
        core = one;
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
    public void listed(EndpointUpdate roster) {
        board.listed(roster);
    }

    @Override
    public Map<String, Number> figures() {
        Map<String, Number> figures = new TreeMap<>();
        members.forEach((name, charge) -> {
            ScaleOutPolicy.Means means = charge.means();
            if (means != null) {
                figures.put("pools." + name + ".spent_cents", means.spent());
                figures.put("pools." + name + ".committed_cents", means.committed());
                figures.put("pools." + name + ".cap_cents", means.cap());
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
