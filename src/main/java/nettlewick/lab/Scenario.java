package nettlewick.lab;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import nettlewick.settings.BadSettings;
import nettlewick.settings.Block;
import nettlewick.settings.Keyword;
import nettlewick.settings.Section;
import nettlewick.settings.Settings;
import nettlewick.settings.Type;
import nettlewick.standins.RunnerModel;

/**
 * A scenario, read from a file in the form of the settings and checked: world, load, links and timed steps.
 * Times in milliseconds. The page {@code docs/lab.md} tells of each keyword.
 */
record Scenario(World world, Load load, LinkSettings links, List<Step> steps) {
    private static final double MINUTE = 60_000;
    private static final double HOUR = 60 * MINUTE;
    private static final int MOST = 400;

    /** So many runners of one speed; 1 is the speed that a job's work is counted at. */
    record Kind(int count, double speed) {
    }

    /**
     * @param peers  whether dispatchers tell one another what they hold
     * @param calls  how long discovery takes over one call, one after another; 0: no time
     * @param notice how long the clients' front goes on sending to a dispatcher that has died
     */
    record World(long seed, int dispatchers, List<Kind> kinds, List<String> zones, RunnerModel.Kind runner,
            boolean peers, boolean known, boolean asked, double calls, double grace, double notice) {
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
    record Load(double rate, double length, double warm, double uneven, int tries, boolean honour,
            double window, List<JobClass> classes) {
        double meanWork() {
            double parts = classes.stream().mapToDouble(JobClass::part).sum();
            return classes.stream().mapToDouble(c -> c.part() * c.mean()).sum() / parts;
        }
    }

    record LinkSettings(double loss, double duplicates, double delay, double jitter, boolean relayed) {
    }

    /**
     * Something that happens at a time after the load began.
     *
     * @param verb   what; the words between are left out
     * @param figure its number: a part, a factor, a count, or a time in which it happens
     * @param span   for how long; infinite where it stays
     */
    record Step(double at, String verb, Party first, Party second, double figure, double span) {
    }

    private static Type<Double> percent() {
        return new Type<>("PERCENT", "a part such as 20%", word -> {
            double value = word.endsWith("%") ? Double.parseDouble(word.substring(0, word.length() - 1)) : -1;
            return value >= 0 && value <= 100 ? value / 100 : null;
        });
    }

    private static Type<Double> number(double least, double most) {
        return new Type<>("FIGURE", "a number from " + least + " to " + most, word -> {
            double value = word.matches("\\d{1,9}(\\.\\d{1,9})?") ? Double.parseDouble(word) : -1;
            return value >= least && value <= most ? value : null;
        });
    }

    private static Type<?> word(String word) {
        return Type.literal(word);
    }

    private static final Type<?> SPAN = Type.span(0, HOUR);

    /** The forms of all steps: a verb, whom, and what follows. */
    private static Keyword at() {
        List<List<Type<?>>> forms = new ArrayList<>();
        List<Type<?>> lasts = List.of(word("for"), SPAN);
        for (String verb : List.of("kill", "drain", "start")) {
            targets(forms, verb, List.of());
        }
        targets(forms, "start", List.of(word("in"), word("random"), word("order"), word("over"), SPAN));
        for (String verb : List.of("pause", "hang", "empty", "refuse", "stall", "reset", "trickle", "garble",
                "silent")) {
            targets(forms, verb, lasts);
        }
        targets(forms, "slow", List.of(word("by"), number(1, 1000), word("for"), SPAN));
        targets(forms, "cut", List.of(word("from"), Party.type(), word("for"), SPAN));
        targets(forms, "mute", List.of(word("to"), Party.type(), word("for"), SPAN));
        forms.add(List.of(SPAN, word("add"), Type.whole(1, MOST), word("runners")));
        forms.add(List.of(SPAN, word("loss"), percent(), word("for"), SPAN));
        forms.add(List.of(SPAN, word("rate"), word("by"), number(0, 1000), word("for"), SPAN));
        forms.add(List.of(SPAN, word("lists"), word("apart"), SPAN));
        return new Keyword("at", forms, null, true, false, false, "Something that happens.");
    }

    private static void targets(List<List<Type<?>>> forms, String verb, List<Type<?>> rest) {
        List<List<Type<?>>> whom = List.of(List.of(Party.type()), List.of(word("zone"), Party.type()),
                List.of(percent(), word("of"), Party.type()));
        for (List<Type<?>> target : whom) {
            List<Type<?>> form = new ArrayList<>(List.of(SPAN, word(verb)));
            form.addAll(target);
            form.addAll(rest);
            forms.add(List.copyOf(form));
        }
    }

    private static Keyword many(String name, String about, Type<?>... types) {
        return new Keyword(name, List.of(List.of(types)), null, true, false, false, about);
    }

    private static final Section WORLD = new Section("world", null, false, "Processes and runners.", List.of(
            Keyword.of("seed", Type.whole(0, Long.MAX_VALUE / 2), "1", "Of all that is drawn."),
            Keyword.needed("dispatchers", Type.whole(1, MOST), "Real processes."),
            many("runners", "So many sim runners.", Type.whole(1, 10_000))
                    .or(Type.whole(1, 10_000), word("speed"), number(0.01, 100)),
            many("zone", "Dispatchers and runners are dealt to the zones in turn.", Type.word("NAME")),
            Keyword.of("slots", Type.whole(1, 1000), "4", "Jobs a runner runs at once."),
            Keyword.of("queue", Type.whole(0, 10_000), "8", "Jobs that wait at a runner."),
            Keyword.of("peers", Type.flag(), "yes", "Whether dispatchers tell one another."),
            Keyword.of("known", Type.flag(), "yes", "Whether a process that starts again has its last list."),
            Keyword.of("discovery", Type.choice("pushed", "asked"), "pushed", "How lists come."),
            Keyword.of("calls", Type.span(0, MINUTE), "0s", "Time of discovery for each call."),
            Keyword.of("cold", Type.span(0, HOUR), "0s", "How long a runner is cold."),
            Keyword.of("cold-share", percent(), "32%", "Speed of a runner that has just started."),
            Keyword.of("overload", number(1, 100), "3", "Times its capacity that push a cold runner over."),
            Keyword.of("fall", Type.span(1, MINUTE), "1s", "For how long."),
            Keyword.of("report-age", Type.span(0, MINUTE), "500ms", "How old a load report may be."),
            Keyword.of("grace", Type.span(1, MINUTE), "3s", "For sends to a draining runner."),
            Keyword.of("notice", Type.span(0, MINUTE), "1s", "Until the front leaves a dead one out."),
            Keyword.of("cancel", Type.flag(), "yes", "Whether runners stop what is called off.")), List.of());

    private static final Section LOAD = new Section("load", null, false, "What clients ask.", List.of(
            Keyword.needed("rate", number(0.1, 100_000), "Jobs a second."),
            Keyword.of("length", Type.span(100, HOUR), "10s", "For how long."),
            Keyword.of("warm", Type.span(0, HOUR), "0s", "Growing load before that; no figure counts it."),
            Keyword.of("uneven", number(1, 100), "1", "Traffic of each zone's first dispatcher."),
            Keyword.of("tries", Type.whole(1, 20), "3", "How often a client asks in all."),
            Keyword.of("honour", Type.flag(), "yes", "Whether clients heed when to come back."),
            Keyword.of("window", Type.span(1, HOUR), "5s", "Window of keyed classes."),
            many("class", "Name, part of all jobs, mean work, and within what an answer is wanted.",
                    Type.word("NAME"), percent(), Type.span(1, HOUR), Type.span(1, HOUR))), List.of());

    private static final Section LINKS = new Section("links", null, false, "Between the processes.", List.of(
            Keyword.of("loss", percent(), "0%", "Of datagrams."),
            Keyword.of("duplicates", percent(), "0%", "Of datagrams."),
            Keyword.of("delay", Type.span(0, MINUTE), "0s", "Of datagrams and bytes."),
            Keyword.of("jitter", Type.span(0, MINUTE), "0s", "Up to so much more; datagrams overtake."),
            Keyword.of("tcp", Type.choice("relayed", "direct"), "relayed", "Way to runners and discovery.")),
            List.of());

    private static final Section STEPS = new Section("steps", null, false, "What happens when.",
            List.of(at()), List.of());

    static final Section ROOT = new Section("the scenario", null, false, "", List.of(),
            List.of(WORLD, LOAD, LINKS, STEPS));

    /** Reads and checks a file; throws {@link BadSettings} with one line for the first fault. */
    static Scenario read(Path file) {
        return of(Settings.read(file, ROOT), file.toString());
    }

    /** Checks a text as if it stood in a file of that name. */
    static Scenario parse(String name, String text) {
        return of(Settings.parse(name, text, ROOT), name);
    }

    private static Scenario of(Settings all, String file) {
        Block w = all.block("world").orElseThrow(() -> missing(file, "world"));
        Block l = all.block("load").orElseThrow(() -> missing(file, "load"));
        List<Kind> kinds = w.all("runners").stream().map(v -> new Kind(((Long) v.part(0)).intValue(),
                v.parts().size() > 1 ? v.part(2) : 1.0)).toList();
        if (kinds.isEmpty()) {
            throw w.bad("runners", "set: so many sim runners");
        }
        List<String> zones = w.all("zone").stream().map(v -> (String) v.part(0)).toList();
        World world = new World(w.whole("seed"), (int) w.whole("dispatchers"), kinds,
                zones.isEmpty() ? List.of("a") : zones, new RunnerModel.Kind((int) w.whole("slots"),
                        (int) w.whole("queue"), w.span("cold"), w.get("cold-share"), w.get("overload"),
                        w.span("fall"), w.span("report-age"), w.flag("cancel")), w.flag("peers"),
                w.flag("known"), w.text("discovery").equals("asked"), w.span("calls"), w.span("grace"),
                w.span("notice"));
        List<JobClass> classes = new ArrayList<>();
        for (Block.Value v : l.all("class")) {
            double aim = v.part(3);
            classes.add(new JobClass(v.part(0), v.part(1), v.part(2), aim, Math.max(4000, 4 * aim)));
        }
        if (classes.isEmpty()) {
            throw l.bad("class", "set: a name, a part, a time of work and an aim");
        }
        Load load = new Load(l.get("rate"), l.span("length"), l.span("warm"), l.get("uneven"),
                (int) l.whole("tries"), l.flag("honour"), l.span("window"), List.copyOf(classes));
        LinkSettings links = all.block("links").map(b -> new LinkSettings(b.get("loss"),
                b.get("duplicates"), b.span("delay"), b.span("jitter"), b.text("tcp").equals("relayed")))
                .orElse(new LinkSettings(0, 0, 0, 0, true));
        List<Step> steps = new ArrayList<>();
        for (Block.Value v : all.block("steps").map(b -> b.all("at")).orElse(List.of())) {
            Step step = step(v);
            check(v, step, world, links);
            steps.add(step);
        }
        steps.sort(Comparator.comparingDouble(Step::at));
        return new Scenario(world, load, links, List.copyOf(steps));
    }

    private static BadSettings missing(String file, String block) {
        return new BadSettings(new nettlewick.settings.Place(file, 1), "there is no block " + block);
    }

    /** What stands in a line's words: the whom, then figures after their literal words. */
    private static Step step(Block.Value v) {
        List<String> words = v.words();
        String verb = words.get(1);
        Party first = null;
        Party second = null;
        double figure = Double.NaN;
        double span = Double.POSITIVE_INFINITY;
        for (int i = 2; i < words.size(); i++) {
            Object part = v.parts().get(i);
            String before = words.get(i - 1);
            if (part instanceof Party p && first == null) {
                first = new Party(p.name(), Double.isNaN(figure) ? 1 : figure);
                figure = Double.NaN;
            } else if (part instanceof Party p) {
                second = p;
            } else if (part instanceof Double d && before.equals("for")) {
                span = d;
            } else if (part instanceof Number n) {
                figure = n.doubleValue();
            }
        }
        return new Step(v.part(0), verb, first, second, figure, span);
    }

    /** Danger: a step that means nobody would pass as one that did no harm. */
    private static void check(Block.Value v, Step step, World world, LinkSettings links) {
        for (Party p : Arrays.asList(step.first(), step.second())) {
            if (p != null && !p.group() && !world.zones().contains(p.name()) && (p.single('n') < 0
                    || p.single('n') >= world.dispatchers()) && p.single('s') < 0) {
                throw BadSettings.value(v.place(), "at", p.name(), "one of the " + world.dispatchers()
                        + " dispatchers, a sim runner, a zone, discovery, dispatchers, runners or all");
            }
        }
        boolean relay = List.of("refuse", "stall", "reset", "trickle").contains(step.verb());
        if (relay && !links.relayed()) {
            throw BadSettings.value(v.place(), "at", String.join(" ", v.words()),
                    "without " + step.verb() + " where the links say tcp direct");
        }
        List<String> own = List.of("pause", "garble");
        boolean runner = step.first() != null && step.first().single('s') >= 0;
        if (own.contains(step.verb()) && (runner || step.first().name().equals("runners"))) {
            throw BadSettings.value(v.place(), "at", step.first().name(), "dispatchers: only they are "
                    + "processes");
        }
    }

    /** The same with other figures of the world, for runs side by side. */
    Scenario with(boolean peers, double loss) {
        World w = world;
        return new Scenario(new World(w.seed, w.dispatchers, w.kinds, w.zones, w.runner, peers, w.known,
                w.asked, w.calls, w.grace, w.notice), load, new LinkSettings(loss, links.duplicates,
                        links.delay, links.jitter, links.relayed), steps);
    }
}
