package nettlewick.pools;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import nettlewick.contention.Counters;
import nettlewick.contention.Speaker;
import nettlewick.core.Attempt;
import nettlewick.core.Clock;
import nettlewick.core.Core;
import nettlewick.core.Request;
import nettlewick.core.Roster;
import nettlewick.core.Witness;
import nettlewick.decision.Dispatcher.Assignment;
import nettlewick.decision.Dispatcher.Result;
import nettlewick.decision.Dispatcher.Settings;
import nettlewick.duty.Charge;
import nettlewick.log.Part;
import nettlewick.settings.Block;

/** Joins members' pools to the duties on one side and to the core on the other. */
public final class PoolsService implements Witness, AutoCloseable {
    private static final Part LOG = Part.of("pools");

    private volatile PoolSettings settings;
    private final Settings platform;
    private final Counters counters;
    private final Board board;
    private final Provider provider;
    private final Map<String, MemberCharge> members = new LinkedHashMap<>();
    private volatile Core core;
    private List<Assignment> last = List.of();

    /** @throws nettlewick.settings.BadSettings where the block does not fit the platform's settings */
    public PoolsService(Block block, Settings platform, Clock clock, long seed) {
        this.platform = platform;
        settings = PoolSettings.of(block, platform.tenants());
        counters = new Counters(platform.classes());
        board = new Board(settings.forget());
        provider = settings.url() == null ? null : new Provider(settings.url(), settings.timeout());
        Speaker speaker = new Speaker(counters, settings.shares());
        settings.members()
                .keySet()
                .forEach(name -> members.put(
                        name,
                        new MemberCharge(
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
    public Map<String, Charge> charges() {
        Map<String, Charge> charges = new LinkedHashMap<>();
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
        List<Assignment> next = board.assignments(now);
        Core to = core;
        if (to != null && !next.equals(last)) {
            last = next;
            LOG.info("pools-followed", "members with runners of their own: " + next.size(), "follows", text(next));
            to.assign(next);
        }
    }

    /**
     * {@code red:1:0:s1,s2;blue:1:1:s3}: member, whether others keep away, whether it stays there, runners.
     */
    private static String text(List<Assignment> all) {
        return all.stream()
                .map(a -> a.tenant() + ":" + (a.shut() ? 1 : 0) + ":" + (a.confined() ? 1 : 0)
                        + ":"
                        + a.workers().stream().sorted().collect(Collectors.joining(",")))
                .collect(Collectors.joining(";"));
    }

    @Override
    public void joins(Core one) {
        core = one;
    }

    @Override
    public void asked(Request request) {
        counters.asked(request);
    }

    @Override
    public void ended(Attempt attempt, Result result) {
        counters.ended(attempt, result);
    }

    @Override
    public void listed(Roster roster) {
        board.listed(roster);
    }

    @Override
    public Map<String, Number> figures() {
        Map<String, Number> figures = new TreeMap<>();
        members.forEach((name, charge) -> {
            Growth.Means means = charge.means();
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
