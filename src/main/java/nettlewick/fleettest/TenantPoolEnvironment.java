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

/** The additional parts of a scenario with tenant pools: a relay between the sockets of lease tasks, and a provider. */
final class TenantPoolEnvironment implements AutoCloseable {
    private static final String NET = Fleet.addressPrefix(3);
    private static final int KEY_BYTES = 32;
    /** How long a removed endpoint may finish its requests. */
    private static final double REMOVAL_DELAY_MILLIS = 5000;

    private static final double SECOND_MILLIS = 1000;
    /**
     * Longest time between a dispatcher's choice and the attempt's arrival, in a process that has just started on a
     * busy machine.
     */
    private static final double CHOICE_TO_ARRIVAL_MILLIS = 1000;

    /** Endpoints that the budget still allowed when the cap was nearly reached have been added after this time. */
    private static final double CAP_SETTLE_MILLIS = 5000;

    private final ScenarioRun run;
    private final Scenario scenario;
    private final Path folder;
    /** How far all clocks are ahead, so that the month turns at the configured time. */
    private final long clockAheadMillis;

    private DatagramRelay relay;
    private List<InetSocketAddress> relayAddresses;
    private final Map<Integer, InetSocketAddress> providerAddresses = new HashMap<>();
    private final Map<String, EndpointServer> addedEndpoints = new HashMap<>();
    ProviderModel providerModel;
    ProviderServer provider;

    TenantPoolEnvironment(ScenarioRun run, Scenario scenario, Path folder) throws IOException {
        this.run = run;
        this.scenario = scenario;
        this.folder = Files.createDirectories(folder);
        double monthTurnsAfter = scenario.tenantPools().monthTurnsAfterMillis();
        long nextMonthMillis = YearMonth.now(ZoneOffset.UTC)
                .plusMonths(1)
                .atDay(1)
                .atStartOfDay(ZoneOffset.UTC)
                .toInstant()
                .toEpochMilli();
        clockAheadMillis = Double.isNaN(monthTurnsAfter)
                ? 0
                : nextMonthMillis - System.currentTimeMillis() - (long) monthTurnsAfter;
        Files.write(folder.resolve("duty.key"), new byte[KEY_BYTES]);
    }

    /** Opens relay and provider, once the fleet's addresses are known and before it starts. */
    void open() throws Exception {
        List<InetSocketAddress> sockets =
                run.fleet.dispatchers.stream().map(m -> m.leaseAddress).toList();
        relay = new DatagramRelay(sockets, NET, run.linkFaults, run::now, 1);
        relayAddresses = relay.addresses();
        Block pools = scenario.tenantPools().block();
        Map<String, ProviderModel.MonthlyCap> caps = new HashMap<>();
        for (Block.Value value : pools.all("member")) {
            if (value.arguments().size() > 1) {
                caps.put(value.argument(0), new ProviderModel.MonthlyCap(value.argument(2), pools.get("near")));
            }
        }
        Block.Value price = pools.first("price").orElse(null);
        if (price == null) {
            return;
        }
        providerModel = new ProviderModel(
                price.argument(1),
                price.<Double>argument(3).longValue(),
                scenario.fleet().zones(),
                caps);
        long startMillis = (long) scenario.tenantPools().endpointStartMillis();
        provider = new ProviderServer(
                run.vertx,
                providerModel,
                () -> System.currentTimeMillis() + clockAheadMillis,
                startMillis,
                new ProviderServer.InstanceLauncher() {
                    @Override
                    public void start(ProviderModel.Instance instance) {
                        run.stepExecutor.post(() ->
                                addedEndpoints.put(instance.name(), run.endpoints.add(run.now(), instance.name())));
                        run.stepExecutor.post(
                                () -> run.discovery.announceHealth(addedEndpoints.get(instance.name()), "Ready"));
                    }

                    @Override
                    public void stop(ProviderModel.Instance instance) {
                        run.stepExecutor.post(
                                () -> TenantPoolEnvironment.this.removeEndpoint(addedEndpoints.get(instance.name())));
                    }
                });
        InetSocketAddress direct = provider.listen();
        for (int dispatcher = 0; dispatcher < scenario.fleet().dispatchers(); dispatcher++) {
            providerAddresses.put(dispatcher, run.relayedAddress(dispatcher, run.providerParty(), direct));
        }
    }

    private void removeEndpoint(EndpointServer endpoint) {
        run.discovery.announceHealth(endpoint, "Terminating");
        endpoint.model.drain();
        run.stepExecutor.schedule(run.now() + REMOVAL_DELAY_MILLIS, () -> {
            endpoint.kill();
            run.discovery.announceHealth(endpoint, "Gone");
        });
    }

    void setProviderBehavior(String name, double until) {
        provider.setBehavior(ProviderServer.Behavior.valueOf(name.toUpperCase(Locale.ROOT)));
        run.stepExecutor.schedule(until, () -> provider.setBehavior(ProviderServer.Behavior.GOOD));
    }

    long clockAheadMillis() {
        return clockAheadMillis;
    }

    /** Returns the operator's settings of one process. */
    String settings(int number) {
        StringBuilder text = new StringBuilder("log {\nform json\nrepeats 1000\n}\nduty {\nlisten "
                + ScenarioRun.addressText(run.fleet.dispatchers.get(number).leaseAddress) + "\nnumber " + number
                + "\nvoters "
                + scenario.tenantPools().voters() + "\nlease "
                + (long) scenario.tenantPools().leaseMillis() + "ms\nkey \""
                + folder.resolve("duty.key") + "\"\n");
        relayAddresses.forEach(a ->
                text.append("dispatcher ").append(ScenarioRun.addressText(a)).append('\n'));
        text.append("}\npools {\n").append(scenario.tenantPools().block().toLines());
        if (provider != null) {
            text.append("provider http://")
                    .append(ScenarioRun.addressText(providerAddresses.get(number)))
                    .append('\n');
        }
        return text.append("}\n").toString();
    }

    /** Returns the figures on tenant pools, and reports violations to the checker. */
    Map<String, Double> close(
            DispatcherLogs logs, Map<String, Integer> outcomes, InvariantChecker checker, double loadBeginsAt) {
        List<Double> fleetKills = scenario.steps().stream()
                .filter(s -> s.verb().equals("kill")
                        && s.target().fraction() == 1
                        && List.of("dispatchers", "all").contains(s.target().name()))
                .map(s -> loadBeginsAt + s.at())
                .toList();
        logs.check(
                checker,
                fleetKills,
                CHOICE_TO_ARRIVAL_MILLIS + scenario.links().delayMillis(),
                name -> run.endpoints.models().stream()
                        .anyMatch(endpoint -> endpoint.name.equals(name) && endpoint.acceptsRequests()));
        Map<String, Double> figures = new LinkedHashMap<>();
        figures.put("moves", (double) logs.count("pool-open"));
        figures.put("returns", (double) logs.count("pool-none"));
        figures.put("holdings", (double) logs.count("duty-held"));
        figures.put("heard", (double) logs.count("hears-all"));
        figures.put("near_caps", (double) logs.count("near-cap"));
        figures.put("duty_bytes_per_s", relay.bytes() / run.now() * SECOND_MILLIS / run.fleet.dispatchers.size());
        for (Scenario.Tenant tenant : scenario.load().tenants()) {
            for (String outcome : List.of("late", "unserved", "failed")) {
                figures.put(outcome + "_" + tenant.name(), (double)
                        outcomes.getOrDefault(outcome + " " + tenant.name(), 0));
            }
        }
        figures.put("handover_ms_planned", logs.longestPlannedHandoverMillis());
        for (String verb : List.of("kill", "pause")) {
            double longest = scenario.steps().stream()
                    .filter(s -> s.verb().equals(verb) && s.target().holderTenant() != null)
                    .mapToDouble(
                            s -> logs.longestHandoverMillis(s.target().holderTenant(), List.of(loadBeginsAt + s.at())))
                    .filter(t -> !Double.isNaN(t))
                    .max()
                    .orElse(Double.NaN);
            figures.put(
                    "handover_leases_" + (verb.equals("kill") ? "killed" : "paused"),
                    longest / scenario.tenantPools().leaseMillis());
        }
        scenario.steps().stream()
                .filter(s -> s.verb().equals("flood"))
                .forEach(s -> figures.put(
                        "found_s_" + s.target().name(),
                        logs.millisToDetection(s.target().name(), loadBeginsAt + s.at()) / SECOND_MILLIS));
        figures.put("two_holders", (double) checker.count("two holders"));
        figures.put(
                "moved_jobs_lost",
                logs.eventLines("pool-reserve").stream()
                        .map(line -> line.field("member"))
                        .distinct()
                        .mapToDouble(member -> checker.count("one answer " + member))
                        .sum());
        if (providerModel != null) {
            providerModel.counts().forEach((name, count) -> figures.put(name, (double) count));
            figures.put("stale_acts_accepted", (double) countStaleActs());
            figures.put("cap_overrun_cents", providerModel.maxOverrunCents());
            figures.put("adds_after_near", (double) providerModel.violations().size());
            figures.put("adds_unspent_refused", (double) logs.eventLines("near-cap").stream()
                    .mapToInt(line -> providerModel.affordableInstances(
                            line.field("member"),
                            (long) (run.beganAtUnixMillis + line.at() + CAP_SETTLE_MILLIS) + clockAheadMillis))
                    .sum());
            providerModel
                    .violations()
                    .forEach(violation -> checker.addViolation("near mark", "provider", run.now(), violation));
        }
        return figures;
    }

    /** Counts actions whose fence is lower than that of an earlier action. */
    private long countStaleActs() {
        Map<String, Long> highest = new HashMap<>();
        return providerModel.appliedResizes().stream()
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
