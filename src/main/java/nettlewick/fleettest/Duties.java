package nettlewick.fleettest;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.YearMonth;
import java.time.ZoneOffset;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import nettlewick.settings.Block;
import nettlewick.stubs.EndpointServer;
import nettlewick.stubs.ProviderModel;
import nettlewick.stubs.ProviderServer;

/**
 * What a scenario with members' pools needs beside the rest: ways between the duties' sockets, and a
 * provider.
 */
final class Duties implements AutoCloseable {
    private static final String NET = Fleet.net(3);
    private static final int KEY = 32;
    /** A runner that is ended has this long for its work. */
    private static final double ENDS = 5000;

    private static final double SECOND = 1000;
    /** Between a choice and its arrival, in a process that has just started, on a busy machine. */
    private static final double MARGIN = 1000;

    /** What was still within the means when the mark was reached has come by then. */
    private static final double SETTLES = 5000;

    private final ScenarioRun play;
    private final Scenario scenario;
    private final Path folder;
    /** By how many milliseconds all clocks are ahead, so that the month turns when it is to. */
    private final long ahead;

    private DatagramRelay relay;
    private List<InetSocketAddress> reached;
    private final Map<Integer, InetSocketAddress> providers = new HashMap<>();
    private final Map<String, EndpointServer> added = new HashMap<>();
    ProviderModel model;
    ProviderServer provider;

    Duties(ScenarioRun play, Scenario scenario, Path folder) throws IOException {
        this.play = play;
        this.scenario = scenario;
        this.folder = Files.createDirectories(folder);
        double turns = scenario.duty().turns();
        long next = YearMonth.now(ZoneOffset.UTC)
                .plusMonths(1)
                .atDay(1)
                .atStartOfDay(ZoneOffset.UTC)
                .toInstant()
                .toEpochMilli();
        ahead = Double.isNaN(turns) ? 0 : next - System.currentTimeMillis() - (long) turns;
        Files.write(folder.resolve("duty.key"), new byte[KEY]);
    }

    /** Once the fleet's addresses are known, and before it starts. */
    void open() throws Exception {
        List<InetSocketAddress> sockets =
                play.fleet.members.stream().map(m -> m.duty).toList();
        relay = new DatagramRelay(sockets, NET, play.links, play::now, 1);
        reached = relay.addresses();
        Block pools = scenario.duty().pools();
        Map<String, ProviderModel.MonthlyCap> caps = new HashMap<>();
        for (Block.Value v : pools.all("member")) {
            if (v.arguments().size() > 1) {
                caps.put(v.argument(0), new ProviderModel.MonthlyCap(v.argument(2), pools.get("near")));
            }
        }
        Block.Value price = pools.first("price").orElse(null);
        if (price == null) {
            return;
        }
        model = new ProviderModel(
                price.argument(1),
                price.<Double>argument(3).longValue(),
                scenario.world().zones(),
                caps);
        long comes = (long) scenario.duty().comes();
        provider = new ProviderServer(
                play.vertx,
                model,
                () -> System.currentTimeMillis() + ahead,
                comes,
                new ProviderServer.InstanceLauncher() {
                    @Override
                    public void start(ProviderModel.Instance r) {
                        play.steps.post(() -> added.put(r.name(), play.add(play.now(), r.name())));
                        play.steps.post(() -> play.discovery.announceHealth(added.get(r.name()), "Ready"));
                    }

                    @Override
                    public void stop(ProviderModel.Instance r) {
                        play.steps.post(() -> Duties.this.end(added.get(r.name())));
                    }
                });
        InetSocketAddress direct = provider.listen();
        for (int d = 0; d < scenario.world().dispatchers(); d++) {
            providers.put(d, play.reach(d, play.providerNumber(), direct));
        }
    }

    private void end(EndpointServer runner) {
        play.discovery.announceHealth(runner, "Terminating");
        runner.model.drain();
        play.steps.plan(play.now() + ENDS, () -> {
            runner.kill();
            play.discovery.announceHealth(runner, "Gone");
        });
    }

    void fate(String name, double until) {
        provider.setBehavior(ProviderServer.Behavior.valueOf(name.toUpperCase(Locale.ROOT)));
        play.steps.plan(until, () -> provider.setBehavior(ProviderServer.Behavior.GOOD));
    }

    long ahead() {
        return ahead;
    }

    /** Our own settings of one process. */
    String settings(int number) {
        StringBuilder text = new StringBuilder("log {\nform json\nrepeats 1000\n}\nduty {\nlisten "
                + ScenarioRun.text(play.fleet.members.get(number).duty) + "\nnumber " + number + "\nvoters "
                + scenario.duty().voters() + "\nlease " + (long) scenario.duty().lease() + "ms\nkey \""
                + folder.resolve("duty.key") + "\"\n");
        reached.forEach(
                a -> text.append("dispatcher ").append(ScenarioRun.text(a)).append('\n'));
        text.append("}\npools {\n").append(scenario.duty().pools().toLines());
        if (provider != null) {
            text.append("provider http://")
                    .append(ScenarioRun.text(providers.get(number)))
                    .append('\n');
        }
        return text.append("}\n").toString();
    }

    /** What became of members' pools, and to the audit whether all went by them. */
    Map<String, Double> close(MigrationAudit moves, Map<String, Integer> ends, InvariantChecker audit, double loadAt) {
        List<Double> losses = scenario.steps().stream()
                .filter(s -> s.verb().equals("kill")
                        && s.first().part() == 1
                        && List.of("dispatchers", "all").contains(s.first().name()))
                .map(s -> loadAt + s.at())
                .toList();
        moves.check(
                audit,
                losses,
                MARGIN + scenario.links().delay(),
                name -> play.models.stream().anyMatch(m -> m.name.equals(name) && m.acceptsRequests()));
        Map<String, Double> figures = new LinkedHashMap<>();
        figures.put("moves", (double) moves.count("pool-open"));
        figures.put("returns", (double) moves.count("pool-none"));
        figures.put("holdings", (double) moves.count("duty-held"));
        figures.put("heard", (double) moves.count("hears-all"));
        figures.put("near_caps", (double) moves.count("near-cap"));
        figures.put("duty_bytes_per_s", relay.bytes() / play.now() * SECOND / play.fleet.members.size());
        for (Scenario.Member m : scenario.load().members()) {
            for (String end : List.of("late", "unserved", "failed")) {
                figures.put(end + "_" + m.name(), (double) ends.getOrDefault(end + " " + m.name(), 0));
            }
        }
        figures.put("handover_ms_planned", moves.plannedHandover());
        for (String verb : List.of("kill", "pause")) {
            double longest = scenario.steps().stream()
                    .filter(s -> s.verb().equals(verb) && s.first().holder() != null)
                    .mapToDouble(s -> moves.handover(s.first().holder(), List.of(loadAt + s.at())))
                    .filter(t -> !Double.isNaN(t))
                    .max()
                    .orElse(Double.NaN);
            figures.put(
                    "handover_leases_" + (verb.equals("kill") ? "killed" : "paused"),
                    longest / scenario.duty().lease());
        }
        scenario.steps().stream()
                .filter(s -> s.verb().equals("flood"))
                .forEach(s -> figures.put(
                        "found_s_" + s.first().name(), moves.found(s.first().name(), loadAt + s.at()) / SECOND));
        figures.put("two_holders", (double) audit.count("two holders"));
        figures.put(
                "moved_jobs_lost",
                moves.all("pool-reserve").stream()
                        .map(l -> l.field("member"))
                        .distinct()
                        .mapToDouble(member -> audit.count("one answer " + member))
                        .sum());
        if (model != null) {
            model.counts().forEach((name, count) -> figures.put(name, (double) count));
            figures.put("stale_acts_accepted", (double) back());
            figures.put("cap_overrun_cents", model.maxOverrunCents());
            figures.put("adds_after_near", (double) model.violations().size());
            figures.put("adds_unspent_refused", (double) moves.all("near-cap").stream()
                    .mapToInt(l ->
                            model.affordableInstances(l.field("member"), (long) (play.wall + l.at() + SETTLES) + ahead))
                    .sum());
            model.violations().forEach(b -> audit.broken("near mark", "provider", play.now(), b));
        }
        return figures;
    }

    /** Acts under a fence below that of one before. */
    private long back() {
        Map<String, Long> highest = new HashMap<>();
        return model.appliedResizes().stream()
                .filter(a -> highest.merge(a.tenant(), a.fence(), Math::max) > a.fence())
                .count();
    }

    @Override
    public void close() throws IOException {
        if (relay != null) {
            relay.close();
        }
    }
}
