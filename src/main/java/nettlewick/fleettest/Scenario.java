package nettlewick.fleettest;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import nettlewick.settings.Block;
import nettlewick.settings.InvalidSettingsException;
import nettlewick.settings.Settings;
import nettlewick.stubs.EndpointModel;

/**
 * A validated scenario in the syntax of the settings file: fleet, load, links, timed steps and tenant pools. Times
 * are in milliseconds. {@code docs/lab.md} documents each keyword.
 */
record Scenario(
        FleetSettings fleet, LoadSettings load, LinkSettings links, List<Step> steps, TenantPoolSettings tenantPools) {
    /** A number of endpoints of one speed; the work of requests is given for the speed of 1. */
    record EndpointGroup(int count, double speed) {}

    /**
     * Settings of dispatchers, endpoints and discovery.
     *
     * @param gossips whether dispatchers exchange their load
     * @param keepsEndpointList whether a restarted dispatcher is given the endpoint list that it had last
     * @param polls whether dispatchers poll discovery instead of receiving pushed lists
     * @param discoveryCallMillis how long discovery takes for each call, one after another; 0 for no time
     * @param deathNoticeMillis how long the clients' load balancer goes on sending to a dispatcher that is down
     * @param clockOffsets by how many milliseconds the clocks of dispatchers such as n3 are ahead
     */
    record FleetSettings(
            long seed,
            int dispatchers,
            List<EndpointGroup> endpointGroups,
            List<String> zones,
            EndpointModel.Config endpoint,
            boolean gossips,
            boolean keepsEndpointList,
            boolean polls,
            double discoveryCallMillis,
            double drainGraceMillis,
            double deathNoticeMillis,
            Map<String, Double> clockOffsets) {
        int endpoints() {
            return endpointGroups.stream().mapToInt(EndpointGroup::count).sum();
        }

        String zone(int number) {
            return zones.get(number % zones.size());
        }

        double speed(int endpoint) {
            int remaining = endpoint;
            for (EndpointGroup kind : endpointGroups) {
                if (remaining < kind.count()) {
                    return kind.speed();
                }
                remaining -= kind.count();
            }
            return 1;
        }

        /** Returns the slots of all endpoints together, weighted by speed. */
        double capacity() {
            return endpointGroups.stream()
                            .mapToDouble(k -> k.count() * k.speed())
                            .sum()
                    * endpoint.slots();
        }
    }

    /**
     * A request class; {@code fraction} is its part of all requests, {@code meanWorkMillis} is in slot milliseconds.
     */
    record RequestClass(
            String name, double fraction, double meanWorkMillis, double latencyObjectiveMillis, double deadlineMillis) {
        boolean isNonIdempotent() {
            return name.equals("mark-submit") || name.equals("transfer");
        }

        boolean isKeyed() {
            return name.equals("save-run");
        }

        String idempotency() {
            return isNonIdempotent() ? "fragile" : isKeyed() ? "dedup" : "retryable";
        }
    }

    /**
     * Settings of the clients' load.
     *
     * @param rate requests per second of all clients together
     * @param warmUpMillis how long a growing load precedes it, which is not counted in the figures
     * @param skew traffic of the first dispatcher of each zone relative to the others
     * @param maxSends how often a client sends a request in total
     * @param honoursRetryAfter whether clients wait for the time in Retry-After
     */
    record LoadSettings(
            double rate,
            double lengthMillis,
            double warmUpMillis,
            double skew,
            int maxSends,
            boolean honoursRetryAfter,
            double dedupWindowMillis,
            List<RequestClass> classes,
            List<Tenant> tenants) {
        double meanWorkMillis() {
            double parts = classes.stream().mapToDouble(RequestClass::fraction).sum();
            return classes.stream()
                            .mapToDouble(c -> c.fraction() * c.meanWorkMillis())
                            .sum()
                    / parts;
        }
    }

    /** A tenant with its quota and its fraction of all requests. */
    record Tenant(String name, double quota, double requestFraction) {}

    /**
     * Settings of lease tasks and tenant pools; absent if the scenario has no block {@code pools}.
     *
     * @param endpointStartMillis how long the provider takes to start an endpoint
     * @param monthTurnsAfterMillis when the month turns after the start of the test; NaN to use the machine's clock
     * @param block the block {@code pools} as each process receives it
     */
    record TenantPoolSettings(
            int voters, double leaseMillis, double endpointStartMillis, double monthTurnsAfterMillis, Block block) {}

    record LinkSettings(
            double lossFraction,
            double duplicateFraction,
            double delayMillis,
            double jitterMillis,
            boolean isTcpRelayed) {}

    /**
     * An event at a time after the load began.
     *
     * @param verb the action, without the literal words between its arguments
     * @param value its number: a fraction, a factor, a count, or a time over which it happens
     * @param durationMillis how long it lasts; infinite if it is permanent
     */
    record Step(
            double at,
            String verb,
            ScenarioTarget target,
            ScenarioTarget otherTarget,
            double value,
            double durationMillis) {}

    /** Reads and validates a file; throws {@link InvalidSettingsException} with one line for the first fault. */
    static Scenario read(Path file) {
        return build(Settings.read(file, ScenarioSchema.ROOT), file.toString());
    }

    /** Validates a text as if it were the content of a file of that name. */
    static Scenario parse(String name, String text) {
        return build(Settings.parse(name, text, ScenarioSchema.ROOT), name);
    }

    private static Scenario build(Settings settings, String file) {
        Block fleetBlock = settings.block("world").orElseThrow(() -> missingBlock(file, "world"));
        Block loadBlock = settings.block("load").orElseThrow(() -> missingBlock(file, "load"));
        List<EndpointGroup> endpointGroups = fleetBlock.all("runners").stream()
                .map(value -> new EndpointGroup(
                        ((Long) value.argument(0)).intValue(), value.arguments().size() > 1 ? value.argument(2) : 1.0))
                .toList();
        if (endpointGroups.isEmpty()) {
            throw fleetBlock.invalidValue("runners", "set: a number of endpoints");
        }
        List<String> zones = fleetBlock.all("zone").stream()
                .map(value -> (String) value.argument(0))
                .toList();
        Map<String, Double> clockOffsets = new HashMap<>();
        fleetBlock
                .all("clock")
                .forEach(value -> clockOffsets.put(
                        value.<ScenarioTarget>argument(0).name(),
                        value.argument(1).equals("ahead") ? value.<Double>argument(2) : -value.<Double>argument(2)));
        FleetSettings fleet = new FleetSettings(
                fleetBlock.wholeNumber("seed"),
                (int) fleetBlock.wholeNumber("dispatchers"),
                endpointGroups,
                zones.isEmpty() ? List.of("a") : zones,
                new EndpointModel.Config(
                        (int) fleetBlock.wholeNumber("slots"),
                        (int) fleetBlock.wholeNumber("queue"),
                        fleetBlock.durationMillis("cold"),
                        fleetBlock.get("cold-share"),
                        fleetBlock.get("overload"),
                        fleetBlock.durationMillis("fall"),
                        fleetBlock.durationMillis("report-age"),
                        fleetBlock.flag("cancel")),
                fleetBlock.flag("peers"),
                fleetBlock.flag("known"),
                fleetBlock.text("discovery").equals("asked"),
                fleetBlock.durationMillis("calls"),
                fleetBlock.durationMillis("grace"),
                fleetBlock.durationMillis("notice"),
                clockOffsets);
        List<RequestClass> classes = new ArrayList<>();
        for (Block.Value value : loadBlock.all("class")) {
            double latencyObjective = value.argument(3);
            classes.add(new RequestClass(
                    value.argument(0),
                    value.argument(1),
                    value.argument(2),
                    latencyObjective,
                    Math.max(4000, 4 * latencyObjective)));
        }
        if (classes.isEmpty()) {
            throw loadBlock.invalidValue(
                    "class", "set: name, percentage of all requests, mean work and latency objective");
        }
        LoadSettings load = new LoadSettings(
                loadBlock.get("rate"),
                loadBlock.durationMillis("length"),
                loadBlock.durationMillis("warm"),
                loadBlock.get("uneven"),
                (int) loadBlock.wholeNumber("tries"),
                loadBlock.flag("honour"),
                loadBlock.durationMillis("window"),
                List.copyOf(classes),
                parseTenants(loadBlock));
        LinkSettings links = settings.block("links")
                .map(b -> new LinkSettings(
                        b.get("loss"),
                        b.get("duplicates"),
                        b.durationMillis("delay"),
                        b.durationMillis("jitter"),
                        b.text("tcp").equals("relayed")))
                .orElse(new LinkSettings(0, 0, 0, 0, true));
        List<Step> steps = new ArrayList<>();
        for (Block.Value value : settings.block("steps").map(b -> b.all("at")).orElse(List.of())) {
            Step step = parseStep(value);
            checkStep(value, step, fleet, links, load);
            steps.add(step);
        }
        steps.sort(Comparator.comparingDouble(Step::at));
        TenantPoolSettings tenantPools = settings.block("pools")
                .map(pools -> settings.block("duty")
                        .map(b -> new TenantPoolSettings(
                                (int) b.wholeNumber("voters"),
                                b.durationMillis("lease"),
                                b.durationMillis("comes"),
                                b.has("month-turns") ? b.durationMillis("month-turns") : Double.NaN,
                                pools))
                        .orElse(new TenantPoolSettings(3, 1000, 1000, Double.NaN, pools)))
                .orElse(null);
        return new Scenario(fleet, load, links, List.copyOf(steps), tenantPools);
    }

    private static List<Tenant> parseTenants(Block load) {
        List<Tenant> tenants = new ArrayList<>();
        for (Block.Value value : load.all("member")) {
            tenants.add(new Tenant(
                    value.argument(0),
                    value.argument(1),
                    value.arguments().size() > 2 ? value.argument(3) : value.argument(1)));
        }
        return tenants.isEmpty() ? List.of(new Tenant("red", 1, 1)) : List.copyOf(tenants);
    }

    private static InvalidSettingsException missingBlock(String file, String block) {
        return new InvalidSettingsException(new nettlewick.settings.SourceLocation(file, 1), "missing block " + block);
    }

    /** Parses the words of a line: the target, then numbers after their literal words. */
    private static Step parseStep(Block.Value value) {
        List<String> words = value.words();
        String verb = words.get(1);
        // The tenant of a flood and the behavior of a provider are plain words.
        boolean hasNamedTarget = verb.equals("flood") || verb.equals("provider");
        ScenarioTarget target = hasNamedTarget ? new ScenarioTarget(words.get(2), 1) : null;
        ScenarioTarget otherTarget = null;
        double number = Double.NaN;
        double durationMillis = Double.POSITIVE_INFINITY;
        for (int i = hasNamedTarget ? 3 : 2; i < words.size(); i++) {
            Object argument = value.arguments().get(i);
            String precedingWord = words.get(i - 1);
            if (argument instanceof ScenarioTarget p && target == null) {
                target = new ScenarioTarget(p.name(), Double.isNaN(number) ? 1 : number);
                number = Double.NaN;
            } else if (argument instanceof ScenarioTarget p) {
                otherTarget = p;
            } else if (argument instanceof Double d && precedingWord.equals("for")) {
                durationMillis = d;
            } else if (argument instanceof Number n) {
                number = n.doubleValue();
            }
        }
        return new Step(value.argument(0), verb, target, otherTarget, number, durationMillis);
    }

    /** Rejects a step without a valid target, which would otherwise seem to do no harm. */
    private static void checkStep(
            Block.Value value, Step step, FleetSettings fleet, LinkSettings links, LoadSettings load) {
        if (step.verb().equals("provider")) {
            return;
        }
        if (step.verb().equals("flood")) {
            if (load.tenants().stream()
                    .noneMatch(m -> m.name().equals(step.target().name()))) {
                throw InvalidSettingsException.invalidValue(
                        value.location(), "at", step.target().name(), "a member of the load");
            }
            return;
        }
        for (ScenarioTarget target : Arrays.asList(step.target(), step.otherTarget())) {
            if (target != null
                    && !target.isGroup()
                    && !fleet.zones().contains(target.name())
                    && (target.number('n') < 0 || target.number('n') >= fleet.dispatchers())
                    && target.number('s') < 0) {
                throw InvalidSettingsException.invalidValue(
                        value.location(),
                        "at",
                        target.name(),
                        "one of the " + fleet.dispatchers()
                                + " dispatchers, a sim runner, a zone, discovery, dispatchers, runners or all");
            }
        }
        boolean needsRelay = List.of("refuse", "stall", "reset", "trickle").contains(step.verb());
        if (needsRelay && !links.isTcpRelayed()) {
            throw InvalidSettingsException.invalidValue(
                    value.location(),
                    "at",
                    String.join(" ", value.words()),
                    "without " + step.verb() + ", which needs relayed connections, while links has tcp direct");
        }
        List<String> dispatcherVerbs = List.of("pause", "garble");
        boolean isEndpoint = step.target() != null && step.target().number('s') >= 0;
        if (dispatcherVerbs.contains(step.verb())
                && (isEndpoint || step.target().name().equals("runners"))) {
            throw InvalidSettingsException.invalidValue(
                    value.location(), "at", step.target().name(), "dispatchers: only they are " + "processes");
        }
    }

    /** Returns this scenario without tenant pools, or without the floods of a tenant. */
    Scenario without(boolean removePools, String floodingTenant) {
        return new Scenario(
                fleet,
                load,
                links,
                steps.stream()
                        .filter(s ->
                                !s.verb().equals("flood") || !s.target().name().equals(floodingTenant))
                        .filter(s ->
                                !removePools || s.target() == null || s.target().holderTenant() == null)
                        .toList(),
                removePools ? null : tenantPools);
    }

    /** Returns this scenario with another gossip setting and datagram loss, for comparison. */
    Scenario with(boolean gossips, double lossFraction) {
        FleetSettings w = fleet;
        return new Scenario(
                new FleetSettings(
                        w.seed,
                        w.dispatchers,
                        w.endpointGroups,
                        w.zones,
                        w.endpoint,
                        gossips,
                        w.keepsEndpointList,
                        w.polls,
                        w.discoveryCallMillis,
                        w.drainGraceMillis,
                        w.deathNoticeMillis,
                        w.clockOffsets),
                load,
                new LinkSettings(
                        lossFraction,
                        links.duplicateFraction,
                        links.delayMillis,
                        links.jitterMillis,
                        links.isTcpRelayed),
                steps,
                tenantPools);
    }
}
