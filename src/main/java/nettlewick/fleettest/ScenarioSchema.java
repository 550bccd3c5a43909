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
    private static final int MAX_COUNT = 400;

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
        forms.add(List.of(DURATION, literal("add"), ValueType.wholeNumber(1, MAX_COUNT), literal("runners")));
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
        return new Keyword("at", forms, null, true, false, false, "An event at a time after the load begins.");
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
            "Dispatchers, endpoints and discovery.",
            List.of(
                    Keyword.withDefault(
                            "seed", ValueType.wholeNumber(0, Long.MAX_VALUE / 2), "1", "Seed of all random draws."),
                    Keyword.required(
                            "dispatchers", ValueType.wholeNumber(1, MAX_COUNT), "Number of dispatcher processes."),
                    repeatable(
                                    "runners",
                                    "Number of endpoints, optionally of another speed.",
                                    ValueType.wholeNumber(1, 10_000))
                            .withAlternativeForm(ValueType.wholeNumber(1, 10_000), literal("speed"), number(0.01, 100)),
                    repeatable(
                            "zone",
                            "A zone. Dispatchers and endpoints are assigned to the zones in turn.",
                            ValueType.identifier("NAME")),
                    Keyword.withDefault(
                            "slots",
                            ValueType.wholeNumber(1, 1000),
                            "4",
                            "Requests that an endpoint runs concurrently."),
                    Keyword.withDefault(
                            "queue", ValueType.wholeNumber(0, 10_000), "8", "Requests that an endpoint queues."),
                    Keyword.withDefault("peers", ValueType.flag(), "yes", "Whether dispatchers exchange their load."),
                    Keyword.withDefault(
                            "known",
                            ValueType.flag(),
                            "yes",
                            "Whether a restarted dispatcher is given its last endpoint list."),
                    Keyword.withDefault(
                            "discovery",
                            ValueType.choice("pushed", "asked"),
                            "pushed",
                            "Whether endpoint lists are pushed or polled."),
                    Keyword.withDefault(
                            "calls",
                            ValueType.duration(0, MINUTE_MILLIS),
                            "0s",
                            "Time that discovery takes for each call."),
                    Keyword.withDefault(
                            "cold", ValueType.duration(0, HOUR_MILLIS), "0s", "Duration of slow start of an endpoint."),
                    Keyword.withDefault(
                            "cold-share", ValueType.percent(), "32%", "Speed of an endpoint that has just started."),
                    Keyword.withDefault(
                            "overload",
                            number(1, 100),
                            "3",
                            "Factor of its capacity at which an endpoint in slow start collapses."),
                    Keyword.withDefault(
                            "fall",
                            ValueType.duration(1, MINUTE_MILLIS),
                            "1s",
                            "How long overload must last until an endpoint in slow start collapses."),
                    Keyword.withDefault(
                            "report-age",
                            ValueType.duration(0, MINUTE_MILLIS),
                            "500ms",
                            "Maximum age of a load report."),
                    Keyword.withDefault(
                            "grace",
                            ValueType.duration(1, MINUTE_MILLIS),
                            "3s",
                            "Time in which a draining endpoint may still receive attempts."),
                    Keyword.withDefault(
                            "notice",
                            ValueType.duration(0, MINUTE_MILLIS),
                            "1s",
                            "Time until the clients' load balancer excludes a dispatcher that is down."),
                    Keyword.withDefault(
                            "cancel", ValueType.flag(), "yes", "Whether endpoints stop cancelled requests."),
                    repeatable(
                            "clock",
                            "Clock offset of a dispatcher.",
                            ScenarioTarget.type(),
                            ValueType.choice("ahead", "behind"),
                            DURATION)),
            List.of());

    private static final Section LOAD = new Section(
            "load",
            null,
            false,
            "The load that clients generate.",
            List.of(
                    Keyword.required("rate", number(0.1, 100_000), "Requests per second."),
                    Keyword.withDefault(
                            "length", ValueType.duration(100, HOUR_MILLIS), "10s", "Duration of the measured load."),
                    Keyword.withDefault(
                            "warm",
                            ValueType.duration(0, HOUR_MILLIS),
                            "0s",
                            "Warm-up with growing load, not counted in the figures."),
                    Keyword.withDefault(
                            "uneven",
                            number(1, 100),
                            "1",
                            "Traffic of each zone's first dispatcher relative to the others."),
                    Keyword.withDefault(
                            "tries", ValueType.wholeNumber(1, 20), "3", "Total sends of a request by its client."),
                    Keyword.withDefault("honour", ValueType.flag(), "yes", "Whether clients honour Retry-After."),
                    Keyword.withDefault(
                            "window",
                            ValueType.duration(1, HOUR_MILLIS),
                            "5s",
                            "Deduplication window of keyed classes."),
                    repeatable(
                            "class",
                            "Name, percentage of all requests, mean work, and latency objective.",
                            ValueType.identifier("NAME"),
                            ValueType.percent(),
                            ValueType.duration(1, HOUR_MILLIS),
                            ValueType.duration(1, HOUR_MILLIS)),
                    repeatable(
                                    "member",
                                    "A tenant: name, quota, and percentage of all requests if that differs.",
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
            "Links between the processes.",
            List.of(
                    Keyword.withDefault("loss", ValueType.percent(), "0%", "Fraction of datagrams that are lost."),
                    Keyword.withDefault(
                            "duplicates", ValueType.percent(), "0%", "Fraction of datagrams that are duplicated."),
                    Keyword.withDefault(
                            "delay",
                            ValueType.duration(0, MINUTE_MILLIS),
                            "0s",
                            "Delay of datagrams and of data on connections."),
                    Keyword.withDefault(
                            "jitter",
                            ValueType.duration(0, MINUTE_MILLIS),
                            "0s",
                            "Maximum additional delay of a datagram; datagrams are reordered."),
                    Keyword.withDefault(
                            "tcp",
                            ValueType.choice("relayed", "direct"),
                            "relayed",
                            "Whether connections to endpoints and discovery are relayed.")),
            List.of());

    private static final Section LEASE_TASKS = new Section(
            "duty",
            null,
            false,
            "Lease tasks of the dispatchers.",
            List.of(
                    Keyword.withDefault(
                            "voters",
                            ValueType.wholeNumber(1, 9),
                            "3",
                            "Number of voters, which are the first dispatchers."),
                    Keyword.withDefault("lease", ValueType.duration(100, MINUTE_MILLIS), "1s", "Duration of a lease."),
                    Keyword.optional(
                            "month-turns",
                            DURATION,
                            "When the month turns after the start of the test, by all clocks."),
                    Keyword.withDefault(
                            "comes",
                            ValueType.duration(0, HOUR_MILLIS),
                            "1s",
                            "Time that the provider takes to start an endpoint.")),
            List.of());

    private static final Section STEPS =
            new Section("steps", null, false, "Timed steps.", List.of(stepKeyword()), List.of());

    /** The top level of a scenario file. */
    static final Section ROOT = new Section(
            "the scenario",
            null,
            false,
            "",
            List.of(),
            List.of(FLEET, LOAD, LINKS, LEASE_TASKS, SettingsSchema.POOLS, STEPS));
}
