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
 * A scenario, read from a file in the form of the settings and checked: world, load, links and timed steps.
 * Times in milliseconds. The page {@code docs/lab.md} tells of each keyword.
 */
record Scenario(World world, Load load, LinkSettings links, List<Step> steps, Duty duty) {
    /** So many runners of one speed; 1 is the speed that a job's work is counted at. */
    record Kind(int count, double speed) {}

    /**
     * @param peers  whether dispatchers tell one another what they hold
     * @param calls  how long discovery takes over one call, one after another; 0: no time
     * @param clocks by how much those of dispatchers such as n3 are ahead, in milliseconds
     * @param notice how long the clients' front goes on sending to a dispatcher that has died
     */
    record World(
            long seed,
            int dispatchers,
            List<Kind> kinds,
            List<String> zones,
            EndpointModel.Config runner,
            boolean peers,
            boolean known,
            boolean asked,
            double calls,
            double grace,
            double notice,
            Map<String, Double> clocks) {
        int runners() {
            return kinds.stream().mapToInt(Kind::count).sum();
        }

        String zone(int number) {
            return zones.get(number % zones.size());
        }

        double speed(int runner) {
            int left = runner;
            for (Kind kind : kinds) {
                if (left < kind.count()) {
                    return kind.speed();
                }
                left -= kind.count();
            }
            return 1;
        }

        /** Slots at the speed of 1 of all runners together. */
        double capacity() {
            return kinds.stream().mapToDouble(k -> k.count() * k.speed()).sum() * runner.slots();
        }
    }

    /** A class of jobs; {@code part}: of all jobs, {@code mean}: of a job's work in slot milliseconds. */
    record JobClass(String name, double part, double mean, double aim, double deadline) {
        boolean unsafe() {
            return name.equals("mark-submit") || name.equals("transfer");
        }

        boolean keyed() {
            return name.equals("save-run");
        }

        String repeat() {
            return unsafe() ? "fragile" : keyed() ? "dedup" : "retryable";
        }
    }

    /**
     * @param rate   jobs a second of all clients together
     * @param warm   for how long the same load goes before it, which no figure counts
     * @param uneven how many times the others' traffic the first dispatcher of each zone gets
     * @param tries  how often a client asks in all
     */
    record Load(
            double rate,
            double length,
            double warm,
            double uneven,
            int tries,
            boolean honour,
            double window,
            List<JobClass> classes,
            List<Member> members) {
        double meanWork() {
            double parts = classes.stream().mapToDouble(JobClass::part).sum();
            return classes.stream().mapToDouble(c -> c.part() * c.mean()).sum() / parts;
        }
    }

    /** A member; {@code share}: of the service, {@code asks}: of all jobs. */
    record Member(String name, double share, double asks) {}

    /**
     * What makes members' pools go; null where there is no block `pools`.
     *
     * @param comes how long the provider takes to start a runner
     * @param turns when the month turns after the lab's beginning; NaN: clocks are the machine's
     * @param pools the block, as each process gets it
     */
    record Duty(int voters, double lease, double comes, double turns, Block pools) {}

    record LinkSettings(double loss, double duplicates, double delay, double jitter, boolean relayed) {}

    /**
     * Something that happens at a time after the load began.
     *
     * @param verb   what; the words between are left out
     * @param figure its number: a part, a factor, a count, or a time in which it happens
     * @param span   for how long; infinite where it stays
     */
    record Step(double at, String verb, ScenarioTarget first, ScenarioTarget second, double figure, double span) {}

    /** Reads and checks a file; throws {@link InvalidSettingsException} with one line for the first fault. */
    static Scenario read(Path file) {
        return of(Settings.read(file, ScenarioTable.ROOT), file.toString());
    }

    /** Checks a text as if it stood in a file of that name. */
    static Scenario parse(String name, String text) {
        return of(Settings.parse(name, text, ScenarioTable.ROOT), name);
    }

    private static Scenario of(Settings all, String file) {
        Block w = all.block("world").orElseThrow(() -> missing(file, "world"));
        Block l = all.block("load").orElseThrow(() -> missing(file, "load"));
        List<Kind> kinds = w.all("runners").stream()
                .map(v -> new Kind(
                        ((Long) v.argument(0)).intValue(), v.arguments().size() > 1 ? v.argument(2) : 1.0))
                .toList();
        if (kinds.isEmpty()) {
            throw w.invalidValue("runners", "set: so many sim runners");
        }
        List<String> zones =
                w.all("zone").stream().map(v -> (String) v.argument(0)).toList();
        Map<String, Double> clocks = new HashMap<>();
        w.all("clock")
                .forEach(v -> clocks.put(
                        v.<ScenarioTarget>argument(0).name(),
                        v.argument(1).equals("ahead") ? v.<Double>argument(2) : -v.<Double>argument(2)));
        World world = new World(
                w.wholeNumber("seed"),
                (int) w.wholeNumber("dispatchers"),
                kinds,
                zones.isEmpty() ? List.of("a") : zones,
                new EndpointModel.Config(
                        (int) w.wholeNumber("slots"),
                        (int) w.wholeNumber("queue"),
                        w.durationMillis("cold"),
                        w.get("cold-share"),
                        w.get("overload"),
                        w.durationMillis("fall"),
                        w.durationMillis("report-age"),
                        w.flag("cancel")),
                w.flag("peers"),
                w.flag("known"),
                w.text("discovery").equals("asked"),
                w.durationMillis("calls"),
                w.durationMillis("grace"),
                w.durationMillis("notice"),
                clocks);
        List<JobClass> classes = new ArrayList<>();
        for (Block.Value v : l.all("class")) {
            double aim = v.argument(3);
            classes.add(new JobClass(v.argument(0), v.argument(1), v.argument(2), aim, Math.max(4000, 4 * aim)));
        }
        if (classes.isEmpty()) {
            throw l.invalidValue("class", "set: a name, a part, a time of work and an aim");
        }
        Load load = new Load(
                l.get("rate"),
                l.durationMillis("length"),
                l.durationMillis("warm"),
                l.get("uneven"),
                (int) l.wholeNumber("tries"),
                l.flag("honour"),
                l.durationMillis("window"),
                List.copyOf(classes),
                members(l));
        LinkSettings links = all.block("links")
                .map(b -> new LinkSettings(
                        b.get("loss"),
                        b.get("duplicates"),
                        b.durationMillis("delay"),
                        b.durationMillis("jitter"),
                        b.text("tcp").equals("relayed")))
                .orElse(new LinkSettings(0, 0, 0, 0, true));
        List<Step> steps = new ArrayList<>();
        for (Block.Value v : all.block("steps").map(b -> b.all("at")).orElse(List.of())) {
            Step step = step(v);
            check(v, step, world, links, load);
            steps.add(step);
        }
        steps.sort(Comparator.comparingDouble(Step::at));
        Duty duty = all.block("pools")
                .map(pools -> all.block("duty")
                        .map(b -> new Duty(
                                (int) b.wholeNumber("voters"),
                                b.durationMillis("lease"),
                                b.durationMillis("comes"),
                                b.has("month-turns") ? b.durationMillis("month-turns") : Double.NaN,
                                pools))
                        .orElse(new Duty(3, 1000, 1000, Double.NaN, pools)))
                .orElse(null);
        return new Scenario(world, load, links, List.copyOf(steps), duty);
    }

    private static List<Member> members(Block load) {
        List<Member> members = new ArrayList<>();
        for (Block.Value v : load.all("member")) {
            members.add(
                    new Member(v.argument(0), v.argument(1), v.arguments().size() > 2 ? v.argument(3) : v.argument(1)));
        }
        return members.isEmpty() ? List.of(new Member("red", 1, 1)) : List.copyOf(members);
    }

    private static InvalidSettingsException missing(String file, String block) {
        return new InvalidSettingsException(
                new nettlewick.settings.SourceLocation(file, 1), "there is no block " + block);
    }

    /** What stands in a line's words: the whom, then figures after their literal words. */
    private static Step step(Block.Value v) {
        List<String> words = v.words();
        String verb = words.get(1);
        // A flood's member, and a provider's fate, are words of their own.
        boolean named = verb.equals("flood") || verb.equals("provider");
        ScenarioTarget first = named ? new ScenarioTarget(words.get(2), 1) : null;
        ScenarioTarget second = null;
        double figure = Double.NaN;
        double span = Double.POSITIVE_INFINITY;
        for (int i = named ? 3 : 2; i < words.size(); i++) {
            Object part = v.arguments().get(i);
            String before = words.get(i - 1);
            if (part instanceof ScenarioTarget p && first == null) {
                first = new ScenarioTarget(p.name(), Double.isNaN(figure) ? 1 : figure);
                figure = Double.NaN;
            } else if (part instanceof ScenarioTarget p) {
                second = p;
            } else if (part instanceof Double d && before.equals("for")) {
                span = d;
            } else if (part instanceof Number n) {
                figure = n.doubleValue();
            }
        }
        return new Step(v.argument(0), verb, first, second, figure, span);
    }

    /** Danger: a step that means nobody would pass as one that did no harm. */
    private static void check(Block.Value v, Step step, World world, LinkSettings links, Load load) {
        if (step.verb().equals("provider")) {
            return;
        }
        if (step.verb().equals("flood")) {
            if (load.members().stream()
                    .noneMatch(m -> m.name().equals(step.first().name()))) {
                throw InvalidSettingsException.invalidValue(
                        v.location(), "at", step.first().name(), "a member of the load");
            }
            return;
        }
        for (ScenarioTarget p : Arrays.asList(step.first(), step.second())) {
            if (p != null
                    && !p.group()
                    && !world.zones().contains(p.name())
                    && (p.single('n') < 0 || p.single('n') >= world.dispatchers())
                    && p.single('s') < 0) {
                throw InvalidSettingsException.invalidValue(
                        v.location(),
                        "at",
                        p.name(),
                        "one of the " + world.dispatchers()
                                + " dispatchers, a sim runner, a zone, discovery, dispatchers, runners or all");
            }
        }
        boolean relay = List.of("refuse", "stall", "reset", "trickle").contains(step.verb());
        if (relay && !links.relayed()) {
            throw InvalidSettingsException.invalidValue(
                    v.location(),
                    "at",
                    String.join(" ", v.words()),
                    "without " + step.verb() + " where the links say tcp direct");
        }
        List<String> own = List.of("pause", "garble");
        boolean runner = step.first() != null && step.first().single('s') >= 0;
        if (own.contains(step.verb()) && (runner || step.first().name().equals("runners"))) {
            throw InvalidSettingsException.invalidValue(
                    v.location(), "at", step.first().name(), "dispatchers: only they are " + "processes");
        }
    }

    /** The same without members' pools, or without what this member does beyond its part. */
    Scenario without(boolean pools, String flooding) {
        return new Scenario(
                world,
                load,
                links,
                steps.stream()
                        .filter(s ->
                                !s.verb().equals("flood") || !s.first().name().equals(flooding))
                        .filter(s -> !pools || s.first() == null || s.first().holder() == null)
                        .toList(),
                pools ? null : duty);
    }

    /** The same with other figures of the world, for runs side by side. */
    Scenario with(boolean peers, double loss) {
        World w = world;
        return new Scenario(
                new World(
                        w.seed,
                        w.dispatchers,
                        w.kinds,
                        w.zones,
                        w.runner,
                        peers,
                        w.known,
                        w.asked,
                        w.calls,
                        w.grace,
                        w.notice,
                        w.clocks),
                load,
                new LinkSettings(loss, links.duplicates, links.delay, links.jitter, links.relayed),
                steps,
                duty);
    }
}
