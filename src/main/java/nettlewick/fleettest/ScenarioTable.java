package nettlewick.fleettest;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import nettlewick.settings.Keyword;
import nettlewick.settings.Section;
import nettlewick.settings.SettingsSchema;
import nettlewick.settings.ValueType;
import nettlewick.stubs.ProviderServer;

/** The keywords of a scenario; {@code docs/lab.md} tells of each. */
final class ScenarioTable {
    private static final double MINUTE = 60_000;
    private static final double HOUR = 60 * MINUTE;
    private static final int MOST = 400;

    private static final ValueType<?> SPAN = ValueType.duration(0, HOUR);

    private ScenarioTable() {}

    private static ValueType<Double> number(double least, double most) {
        return new ValueType<>("FIGURE", "a number from " + least + " to " + most, word -> {
            double value = word.matches("\\d{1,9}(\\.\\d{1,9})?") ? Double.parseDouble(word) : -1;
            return value >= least && value <= most ? value : null;
        });
    }

    private static ValueType<?> word(String word) {
        return ValueType.literal(word);
    }

    /** The forms of all steps: a verb, whom, and what follows. */
    private static Keyword at() {
        List<List<ValueType<?>>> forms = new ArrayList<>();
        List<ValueType<?>> lasts = List.of(word("for"), SPAN);
        for (String verb : List.of("kill", "end", "drain", "start")) {
            targets(forms, verb, List.of());
        }
        targets(forms, "start", List.of(word("in"), word("random"), word("order"), word("over"), SPAN));
        for (String verb :
                List.of("pause", "hang", "empty", "refuse", "stall", "reset", "trickle", "garble", "silent")) {
            targets(forms, verb, lasts);
        }
        targets(forms, "slow", List.of(word("by"), number(1, 1000), word("for"), SPAN));
        targets(forms, "cut", List.of(word("from"), ScenarioTarget.type(), word("for"), SPAN));
        targets(forms, "mute", List.of(word("to"), ScenarioTarget.type(), word("for"), SPAN));
        forms.add(List.of(SPAN, word("add"), ValueType.wholeNumber(1, MOST), word("runners")));
        forms.add(List.of(SPAN, word("loss"), ValueType.percent(), word("for"), SPAN));
        forms.add(List.of(SPAN, word("rate"), word("by"), number(0, 1000), word("for"), SPAN));
        forms.add(List.of(SPAN, word("lists"), word("apart"), SPAN));
        forms.add(List.of(
                SPAN, word("flood"), ValueType.identifier("MEMBER"), word("by"), number(0, 1000), word("for"), SPAN));
        for (ProviderServer.Behavior fate : ProviderServer.Behavior.values()) {
            forms.add(List.of(SPAN, word("provider"), word(fate.name().toLowerCase(Locale.ROOT)), word("for"), SPAN));
        }
        return new Keyword("at", forms, null, true, false, false, "Something that happens.");
    }

    private static void targets(List<List<ValueType<?>>> forms, String verb, List<ValueType<?>> rest) {
        List<List<ValueType<?>>> whom = List.of(
                List.of(ScenarioTarget.type()),
                List.of(word("zone"), ScenarioTarget.type()),
                List.of(ValueType.percent(), word("of"), ScenarioTarget.type()));
        for (List<ValueType<?>> target : whom) {
            List<ValueType<?>> form = new ArrayList<>(List.of(SPAN, word(verb)));
            form.addAll(target);
            form.addAll(rest);
            forms.add(List.copyOf(form));
        }
    }

    private static Keyword many(String name, String about, ValueType<?>... types) {
        return new Keyword(name, List.of(List.of(types)), null, true, false, false, about);
    }

    private static final Section WORLD = new Section(
            "world",
            null,
            false,
            "Processes and runners.",
            List.of(
                    Keyword.withDefault(
                            "seed", ValueType.wholeNumber(0, Long.MAX_VALUE / 2), "1", "Of all that is drawn."),
                    Keyword.required("dispatchers", ValueType.wholeNumber(1, MOST), "Real processes."),
                    many("runners", "So many sim runners.", ValueType.wholeNumber(1, 10_000))
                            .withAlternativeForm(ValueType.wholeNumber(1, 10_000), word("speed"), number(0.01, 100)),
                    many(
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
                            "calls", ValueType.duration(0, MINUTE), "0s", "Time of discovery for each call."),
                    Keyword.withDefault("cold", ValueType.duration(0, HOUR), "0s", "How long a runner is cold."),
                    Keyword.withDefault(
                            "cold-share", ValueType.percent(), "32%", "Speed of a runner that has just started."),
                    Keyword.withDefault(
                            "overload", number(1, 100), "3", "Times its capacity that push a cold runner over."),
                    Keyword.withDefault("fall", ValueType.duration(1, MINUTE), "1s", "For how long."),
                    Keyword.withDefault(
                            "report-age", ValueType.duration(0, MINUTE), "500ms", "How old a load report may be."),
                    Keyword.withDefault(
                            "grace", ValueType.duration(1, MINUTE), "3s", "For sends to a draining runner."),
                    Keyword.withDefault(
                            "notice", ValueType.duration(0, MINUTE), "1s", "Until the front leaves a dead one out."),
                    Keyword.withDefault("cancel", ValueType.flag(), "yes", "Whether runners stop what is called off."),
                    many(
                            "clock",
                            "A dispatcher whose clock is off.",
                            ScenarioTarget.type(),
                            ValueType.choice("ahead", "behind"),
                            SPAN)),
            List.of());

    private static final Section LOAD = new Section(
            "load",
            null,
            false,
            "What clients ask.",
            List.of(
                    Keyword.required("rate", number(0.1, 100_000), "Jobs a second."),
                    Keyword.withDefault("length", ValueType.duration(100, HOUR), "10s", "For how long."),
                    Keyword.withDefault(
                            "warm",
                            ValueType.duration(0, HOUR),
                            "0s",
                            "Growing load before that; no figure counts it."),
                    Keyword.withDefault("uneven", number(1, 100), "1", "Traffic of each zone's first dispatcher."),
                    Keyword.withDefault("tries", ValueType.wholeNumber(1, 20), "3", "How often a client asks in all."),
                    Keyword.withDefault("honour", ValueType.flag(), "yes", "Whether clients heed when to come back."),
                    Keyword.withDefault("window", ValueType.duration(1, HOUR), "5s", "Window of keyed classes."),
                    many(
                            "class",
                            "Name, part of all jobs, mean work, and within what an answer is wanted.",
                            ValueType.identifier("NAME"),
                            ValueType.percent(),
                            ValueType.duration(1, HOUR),
                            ValueType.duration(1, HOUR)),
                    many(
                                    "member",
                                    "Name and share, and the part of all jobs that it asks for, if that differs.",
                                    ValueType.identifier("NAME"),
                                    ValueType.percent())
                            .withAlternativeForm(
                                    ValueType.identifier("NAME"),
                                    ValueType.percent(),
                                    word("asks"),
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
                    Keyword.withDefault("delay", ValueType.duration(0, MINUTE), "0s", "Of datagrams and bytes."),
                    Keyword.withDefault(
                            "jitter", ValueType.duration(0, MINUTE), "0s", "Up to so much more; datagrams overtake."),
                    Keyword.withDefault(
                            "tcp", ValueType.choice("relayed", "direct"), "relayed", "Way to runners and discovery.")),
            List.of());

    private static final Section DUTY = new Section(
            "duty",
            null,
            false,
            "Duties between the processes.",
            List.of(
                    Keyword.withDefault(
                            "voters", ValueType.wholeNumber(1, 9), "3", "So many of the first dispatchers grant."),
                    Keyword.withDefault("lease", ValueType.duration(100, MINUTE), "1s", "How long a grant lasts."),
                    Keyword.optional("month-turns", SPAN, "So long after the lab's beginning, by all clocks."),
                    Keyword.withDefault(
                            "comes",
                            ValueType.duration(0, HOUR),
                            "1s",
                            "How long the provider takes to start a runner.")),
            List.of());

    private static final Section STEPS =
            new Section("steps", null, false, "What happens when.", List.of(at()), List.of());

    /** The file itself. */
    static final Section ROOT = new Section(
            "the scenario", null, false, "", List.of(), List.of(WORLD, LOAD, LINKS, DUTY, SettingsSchema.POOLS, STEPS));
}
