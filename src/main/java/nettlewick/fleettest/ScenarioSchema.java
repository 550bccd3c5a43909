package nettlewick.fleettest;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import nettlewick.settings.Keyword;
import nettlewick.settings.Section;
import nettlewick.settings.SettingsSchema;
import nettlewick.settings.ValueType;
import nettlewick.stubs.ProviderServer;

/** The keywords of a scenario, documented in {@code docs/lab.md}. */
final class ScenarioSchema {
    private static final double MINUTE_MILLIS = 60_000;
    private static final double HOUR_MILLIS = 60 * MINUTE_MILLIS;
    private static final int MAX_DISPATCHERS = 400;

    private static final ValueType<?> DURATION = ValueType.duration(0, HOUR_MILLIS);

    private ScenarioSchema() {}

    private static ValueType<Double> number(double min, double max) {
        return new ValueType<>("FIGURE", "a number from " + min + " to " + max, word -> {
            double value = word.matches("\\d{1,9}(\\.\\d{1,9})?") ? Double.parseDouble(word) : -1;
            return value >= min && value <= max ? value : null;
        });
    }

    private static ValueType<?> literal(String word) {
        return ValueType.literal(word);
    }

    /** Returns the forms of all steps: a verb, its target, and further arguments. */
    private static Keyword stepKeyword() {
        List<List<ValueType<?>>> forms = new ArrayList<>();
        List<ValueType<?>> duration = List.of(literal("for"), DURATION);
        for (String verb : List.of("kill", "end", "drain", "start")) {
            addTargetForms(forms, verb, List.of());
        }
        addTargetForms(
                forms, "start", List.of(literal("in"), literal("random"), literal("order"), literal("over"), DURATION));
        for (String verb :
                List.of("pause", "hang", "empty", "refuse", "stall", "reset", "trickle", "garble", "silent")) {
            addTargetForms(forms, verb, duration);
        }
        addTargetForms(forms, "slow", List.of(literal("by"), number(1, 1000), literal("for"), DURATION));
        addTargetForms(forms, "cut", List.of(literal("from"), ScenarioTarget.type(), literal("for"), DURATION));
        addTargetForms(forms, "mute", List.of(literal("to"), ScenarioTarget.type(), literal("for"), DURATION));
        forms.add(List.of(DURATION, literal("add"), ValueType.wholeNumber(1, MAX_DISPATCHERS), literal("runners")));
        forms.add(List.of(DURATION, literal("loss"), ValueType.percent(), literal("for"), DURATION));
        forms.add(List.of(DURATION, literal("rate"), literal("by"), number(0, 1000), literal("for"), DURATION));
        forms.add(List.of(DURATION, literal("lists"), literal("apart"), DURATION));
        forms.add(List.of(
                DURATION,
                literal("flood"),
                ValueType.identifier("MEMBER"),
                literal("by"),
                number(0, 1000),
                literal("for"),
                DURATION));
        for (ProviderServer.Behavior fate : ProviderServer.Behavior.values()) {
            forms.add(List.of(
                    DURATION,
                    literal("provider"),
                    literal(fate.name().toLowerCase(Locale.ROOT)),
                    literal("for"),
                    DURATION));
        }
        return new Keyword("at", forms, null, true, false, false, "Something that happens.");
    }

    private static void addTargetForms(List<List<ValueType<?>>> forms, String verb, List<ValueType<?>> rest) {
        List<List<ValueType<?>>> targets = List.of(
                List.of(ScenarioTarget.type()),
                List.of(literal("zone"), ScenarioTarget.type()),
                List.of(ValueType.percent(), literal("of"), ScenarioTarget.type()));
        for (List<ValueType<?>> target : targets) {
            List<ValueType<?>> form = new ArrayList<>(List.of(DURATION, literal(verb)));
            form.addAll(target);
            form.addAll(rest);
            forms.add(List.copyOf(form));
        }
    }

    private static Keyword repeatable(String name, String description, ValueType<?>... types) {
        return new Keyword(name, List.of(List.of(types)), null, true, false, false, description);
    }

    private static final Section FLEET = new Section(
            "world",
            null,
            false,
            "Processes and runners.",
            List.of(
                    Keyword.withDefault(
                            "seed", ValueType.wholeNumber(0, Long.MAX_VALUE / 2), "1", "Of all that is drawn."),
                    Keyword.required("dispatchers", ValueType.wholeNumber(1, MAX_DISPATCHERS), "Real processes."),
                    repeatable("runners", "So many sim runners.", ValueType.wholeNumber(1, 10_000))
                            .withAlternativeForm(ValueType.wholeNumber(1, 10_000), literal("speed"), number(0.01, 100)),
                    repeatable(
                            "zone",
                            "Dispatchers and runners are dealt to the zones in turn.",
                            ValueType.identifier("NAME")),
                    Keyword.withDefault("slots", ValueType.wholeNumber(1, 1000), "4", "Jobs a runner runs at once."),
                    Keyword.withDefault("queue", ValueType.wholeNumber(0, 10_000), "8", "Jobs that wait at a runner."),
                    Keyword.withDefault("peers", ValueType.flag(), "yes", "Whether dispatchers tell one another."),
                    Keyword.withDefault(
                            "known", ValueType.flag(), "yes", "Whether a process that starts again has its last list."),
                    Keyword.withDefault("discovery", ValueType.choice("pushed", "asked"), "pushed", "How lists come."),
                    Keyword.withDefault(
                            "calls", ValueType.duration(0, MINUTE_MILLIS), "0s", "Time of discovery for each call."),
                    Keyword.withDefault("cold", ValueType.duration(0, HOUR_MILLIS), "0s", "How long a runner is cold."),
                    Keyword.withDefault(
                            "cold-share", ValueType.percent(), "32%", "Speed of a runner that has just started."),
                    Keyword.withDefault(
                            "overload", number(1, 100), "3", "Times its capacity that push a cold runner over."),
                    Keyword.withDefault("fall", ValueType.duration(1, MINUTE_MILLIS), "1s", "For how long."),
                    Keyword.withDefault(
                            "report-age",
                            ValueType.duration(0, MINUTE_MILLIS),
                            "500ms",
                            "How old a load report may be."),
                    Keyword.withDefault(
                            "grace", ValueType.duration(1, MINUTE_MILLIS), "3s", "For sends to a draining runner."),
                    Keyword.withDefault(
                            "notice",
                            ValueType.duration(0, MINUTE_MILLIS),
                            "1s",
                            "Until the front leaves a dead one out."),
                    Keyword.withDefault("cancel", ValueType.flag(), "yes", "Whether runners stop what is called off."),
                    repeatable(
                            "clock",
                            "A dispatcher whose clock is off.",
                            ScenarioTarget.type(),
                            ValueType.choice("ahead", "behind"),
                            DURATION)),
            List.of());

    private static final Section LOAD = new Section(
            "load",
            null,
            false,
            "What clients ask.",
            List.of(
                    Keyword.required("rate", number(0.1, 100_000), "Jobs a second."),
                    Keyword.withDefault("length", ValueType.duration(100, HOUR_MILLIS), "10s", "For how long."),
                    Keyword.withDefault(
                            "warm",
                            ValueType.duration(0, HOUR_MILLIS),
                            "0s",
                            "Growing load before that; no figure counts it."),
                    Keyword.withDefault("uneven", number(1, 100), "1", "Traffic of each zone's first dispatcher."),
                    Keyword.withDefault("tries", ValueType.wholeNumber(1, 20), "3", "How often a client asks in all."),
                    Keyword.withDefault("honour", ValueType.flag(), "yes", "Whether clients heed when to come back."),
                    Keyword.withDefault("window", ValueType.duration(1, HOUR_MILLIS), "5s", "Window of keyed classes."),
                    repeatable(
                            "class",
                            "Name, part of all jobs, mean work, and within what an answer is wanted.",
                            ValueType.identifier("NAME"),
                            ValueType.percent(),
                            ValueType.duration(1, HOUR_MILLIS),
                            ValueType.duration(1, HOUR_MILLIS)),
                    repeatable(
                                    "member",
                                    "Name and share, and the part of all jobs that it asks for, if that differs.",
                                    ValueType.identifier("NAME"),
                                    ValueType.percent())
                            .withAlternativeForm(
                                    ValueType.identifier("NAME"),
                                    ValueType.percent(),
                                    literal("asks"),
                                    ValueType.percent())),
            List.of());

    private static final Section LINKS = new Section(
            "links",
            null,
            false,
            "Between the processes.",
            List.of(
                    Keyword.withDefault("loss", ValueType.percent(), "0%", "Of datagrams."),
                    Keyword.withDefault("duplicates", ValueType.percent(), "0%", "Of datagrams."),
                    Keyword.withDefault("delay", ValueType.duration(0, MINUTE_MILLIS), "0s", "Of datagrams and bytes."),
                    Keyword.withDefault(
                            "jitter",
                            ValueType.duration(0, MINUTE_MILLIS),
                            "0s",
                            "Up to so much more; datagrams overtake."),
                    Keyword.withDefault(
                            "tcp", ValueType.choice("relayed", "direct"), "relayed", "Way to runners and discovery.")),
            List.of());

    private static final Section LEASE_TASKS = new Section(
            "duty",
            null,
            false,
            "Duties between the processes.",
            List.of(
                    Keyword.withDefault(
                            "voters", ValueType.wholeNumber(1, 9), "3", "So many of the first dispatchers grant."),
                    Keyword.withDefault(
                            "lease", ValueType.duration(100, MINUTE_MILLIS), "1s", "How long a grant lasts."),
                    Keyword.optional("month-turns", DURATION, "So long after the lab's beginning, by all clocks."),
                    Keyword.withDefault(
                            "comes",
                            ValueType.duration(0, HOUR_MILLIS),
                            "1s",
                            "How long the provider takes to start a runner.")),
            List.of());

    private static final Section STEPS =
            new Section("steps", null, false, "What happens when.", List.of(stepKeyword()), List.of());

    /** The top level of a scenario file. */
    static final Section ROOT = new Section(
            "the scenario",
            null,
            false,
            "",
            List.of(),
            List.of(FLEET, LOAD, LINKS, LEASE_TASKS, SettingsSchema.POOLS, STEPS));
}
