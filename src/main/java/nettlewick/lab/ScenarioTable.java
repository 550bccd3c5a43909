package nettlewick.lab;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import nettlewick.settings.Keyword;
import nettlewick.settings.Section;
import nettlewick.settings.Table;
import nettlewick.settings.Type;
import nettlewick.standins.ProviderServer;

/** The keywords of a scenario; {@code docs/lab.md} tells of each. */
final class ScenarioTable {
    private static final double MINUTE = 60_000;
    private static final double HOUR = 60 * MINUTE;
    private static final int MOST = 400;

    private static final Type<?> SPAN = Type.span(0, HOUR);

    private ScenarioTable() {}

    private static Type<Double> number(double least, double most) {
        return new Type<>("FIGURE", "a number from " + least + " to " + most, word -> {
            double value = word.matches("\\d{1,9}(\\.\\d{1,9})?") ? Double.parseDouble(word) : -1;
            return value >= least && value <= most ? value : null;
        });
    }

    private static Type<?> word(String word) {
        return Type.literal(word);
    }

    /** The forms of all steps: a verb, whom, and what follows. */
    private static Keyword at() {
        List<List<Type<?>>> forms = new ArrayList<>();
        List<Type<?>> lasts = List.of(word("for"), SPAN);
        for (String verb : List.of("kill", "end", "drain", "start")) {
            targets(forms, verb, List.of());
        }
        targets(forms, "start", List.of(word("in"), word("random"), word("order"), word("over"), SPAN));
        for (String verb :
                List.of("pause", "hang", "empty", "refuse", "stall", "reset", "trickle", "garble", "silent")) {
            targets(forms, verb, lasts);
        }
        targets(forms, "slow", List.of(word("by"), number(1, 1000), word("for"), SPAN));
        targets(forms, "cut", List.of(word("from"), Party.type(), word("for"), SPAN));
        targets(forms, "mute", List.of(word("to"), Party.type(), word("for"), SPAN));
        forms.add(List.of(SPAN, word("add"), Type.whole(1, MOST), word("runners")));
        forms.add(List.of(SPAN, word("loss"), Type.percent(), word("for"), SPAN));
        forms.add(List.of(SPAN, word("rate"), word("by"), number(0, 1000), word("for"), SPAN));
        forms.add(List.of(SPAN, word("lists"), word("apart"), SPAN));
        forms.add(List.of(SPAN, word("flood"), Type.word("MEMBER"), word("by"), number(0, 1000), word("for"), SPAN));
        for (ProviderServer.Fate fate : ProviderServer.Fate.values()) {
            forms.add(List.of(SPAN, word("provider"), word(fate.name().toLowerCase(Locale.ROOT)), word("for"), SPAN));
        }
        return new Keyword("at", forms, null, true, false, false, "Something that happens.");
    }

    private static void targets(List<List<Type<?>>> forms, String verb, List<Type<?>> rest) {
        List<List<Type<?>>> whom = List.of(
                List.of(Party.type()),
                List.of(word("zone"), Party.type()),
                List.of(Type.percent(), word("of"), Party.type()));
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

    private static final Section WORLD = new Section(
            "world",
            null,
            false,
            "Processes and runners.",
            List.of(
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
                    Keyword.of("cold-share", Type.percent(), "32%", "Speed of a runner that has just started."),
                    Keyword.of("overload", number(1, 100), "3", "Times its capacity that push a cold runner over."),
                    Keyword.of("fall", Type.span(1, MINUTE), "1s", "For how long."),
                    Keyword.of("report-age", Type.span(0, MINUTE), "500ms", "How old a load report may be."),
                    Keyword.of("grace", Type.span(1, MINUTE), "3s", "For sends to a draining runner."),
                    Keyword.of("notice", Type.span(0, MINUTE), "1s", "Until the front leaves a dead one out."),
                    Keyword.of("cancel", Type.flag(), "yes", "Whether runners stop what is called off."),
                    many(
                            "clock",
                            "A dispatcher whose clock is off.",
                            Party.type(),
                            Type.choice("ahead", "behind"),
                            SPAN)),
            List.of());

    private static final Section LOAD = new Section(
            "load",
            null,
            false,
            "What clients ask.",
            List.of(
                    Keyword.needed("rate", number(0.1, 100_000), "Jobs a second."),
                    Keyword.of("length", Type.span(100, HOUR), "10s", "For how long."),
                    Keyword.of("warm", Type.span(0, HOUR), "0s", "Growing load before that; no figure counts it."),
                    Keyword.of("uneven", number(1, 100), "1", "Traffic of each zone's first dispatcher."),
                    Keyword.of("tries", Type.whole(1, 20), "3", "How often a client asks in all."),
                    Keyword.of("honour", Type.flag(), "yes", "Whether clients heed when to come back."),
                    Keyword.of("window", Type.span(1, HOUR), "5s", "Window of keyed classes."),
                    many(
                            "class",
                            "Name, part of all jobs, mean work, and within what an answer is wanted.",
                            Type.word("NAME"),
                            Type.percent(),
                            Type.span(1, HOUR),
                            Type.span(1, HOUR)),
                    many(
                                    "member",
                                    "Name and share, and the part of all jobs that it asks for, if that differs.",
                                    Type.word("NAME"),
                                    Type.percent())
                            .or(Type.word("NAME"), Type.percent(), word("asks"), Type.percent())),
            List.of());

    private static final Section LINKS = new Section(
            "links",
            null,
            false,
            "Between the processes.",
            List.of(
                    Keyword.of("loss", Type.percent(), "0%", "Of datagrams."),
                    Keyword.of("duplicates", Type.percent(), "0%", "Of datagrams."),
                    Keyword.of("delay", Type.span(0, MINUTE), "0s", "Of datagrams and bytes."),
                    Keyword.of("jitter", Type.span(0, MINUTE), "0s", "Up to so much more; datagrams overtake."),
                    Keyword.of("tcp", Type.choice("relayed", "direct"), "relayed", "Way to runners and discovery.")),
            List.of());

    private static final Section DUTY = new Section(
            "duty",
            null,
            false,
            "Duties between the processes.",
            List.of(
                    Keyword.of("voters", Type.whole(1, 9), "3", "So many of the first dispatchers grant."),
                    Keyword.of("lease", Type.span(100, MINUTE), "1s", "How long a grant lasts."),
                    Keyword.free("month-turns", SPAN, "So long after the lab's beginning, by all clocks."),
                    Keyword.of("comes", Type.span(0, HOUR), "1s", "How long the provider takes to start a runner.")),
            List.of());

    private static final Section STEPS =
            new Section("steps", null, false, "What happens when.", List.of(at()), List.of());

    /** The file itself. */
    static final Section ROOT = new Section(
            "the scenario", null, false, "", List.of(), List.of(WORLD, LOAD, LINKS, DUTY, Table.POOLS, STEPS));
}
