package nettlewick.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.UnaryOperator;
import nettlewick.decision.Action.Dispatch;
import nettlewick.decision.Action.Fail;
import nettlewick.decision.Action.Probe;
import nettlewick.decision.Action.Reject;
import nettlewick.decision.Action.SendToPeer;
import nettlewick.decision.Action.SetTimer;
import nettlewick.decision.Event.Abandoned;
import nettlewick.decision.Event.Arrival;
import nettlewick.decision.Event.EndpointList;
import nettlewick.decision.Event.Outcome;
import nettlewick.decision.Event.ProbeAnswer;
import nettlewick.decision.Event.Timer;
import nettlewick.decision.SchedulerSettings.RequestClass;
import nettlewick.decision.SchedulerSettings.Tenant;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Checks the four rules over random event sequences, and the checker itself by a violation of each rule. */
class SiteRulesTest {
    private record ScheduledEvent(long at, int order, Event event) {}

    /** Runs one instance on seeded random events and records a trace of its actions. */
    private static final class RandomRun {
        private static final long ARRIVALS_END = 20 * Samples.SECOND;
        private static final long RUN_END = ARRIVALS_END + 6 * Samples.SECOND;

        private final SplittableRandom random;
        private final Dispatcher dispatcher;
        private final SchedulerSettings settings;
        private final RuleChecker checker;
        private final UnaryOperator<String> endpointNaming;
        private final PriorityQueue<ScheduledEvent> queue = new PriorityQueue<>(
                Comparator.comparingLong(ScheduledEvent::at).thenComparingInt(ScheduledEvent::order));
        private final List<String> trace = new ArrayList<>();
        private final Map<String, Integer> attemptCounts = new HashMap<>();
        private final Map<String, Long> deadlines = new HashMap<>();
        private final Set<String> finishedIds = new HashSet<>();
        private int nextOrder;

        RandomRun(long seed, SchedulerSettings settings, RuleChecker checker, UnaryOperator<String> endpointNaming) {
            random = new SplittableRandom(seed);
            dispatcher = Dispatcher.create(settings, seed);
            this.settings = settings;
            this.checker = checker;
            this.endpointNaming = endpointNaming;
        }

        private void schedule(long at, Event event) {
            queue.add(new ScheduledEvent(at, nextOrder++, event));
        }

        List<String> run() {
            schedule(1, renameEndpoints(Samples.endpoints(8), endpointNaming));
            for (int i = 0; i < 1500; i++) {
                scheduleRequest("r" + i);
            }
            for (int i = 0; i < 30; i++) {
                scheduleEndpointUpdate();
            }
            while (!queue.isEmpty() && queue.peek().at() < RUN_END) {
                ScheduledEvent next = queue.poll();
                Event event = asReportedByHost(next.at(), next.event());
                if (event != null) {
                    deliver(next.at(), event);
                }
            }
            checker.finish(RUN_END);
            return trace;
        }

        private void scheduleRequest(String id) {
            RequestClass requestClass =
                    settings.classes().get(random.nextInt(settings.classes().size()));
            String tenant =
                    settings.tenants().get(random.nextInt(10) == 0 ? 1 : 0).name();
            long at = 2 + random.nextLong(ARRIVALS_END);
            schedule(
                    at,
                    new Arrival(
                            id,
                            requestClass.name(),
                            tenant,
                            50 * Samples.MS + random.nextLong(3 * Samples.SECOND),
                            1 + random.nextInt(2),
                            0,
                            random.nextLong(400) * Samples.MS,
                            null,
                            random.nextInt(5) == 0));
            if (random.nextInt(40) == 0) {
                schedule(at + random.nextLong(Samples.SECOND), new Abandoned(id));
            }
        }

        private void scheduleEndpointUpdate() {
            long at = 2 + random.nextLong(ARRIVALS_END);
            int endpoint = random.nextInt(12);
            EndpointState state = EndpointState.values()[random.nextInt(3)];
            EndpointEntry entry = Samples.entry(
                    "w" + endpoint,
                    state,
                    state == EndpointState.READY && endpoint >= 6 ? at : 0,
                    endpoint % 2 == 0 ? "north" : "south",
                    endpoint / 2);
            schedule(at, renameEndpoints(new EndpointList(false, List.of(entry)), endpointNaming));
        }

        /** The event without what a host would leave out; null if a host would not report it. */
        private Event asReportedByHost(long now, Event event) {
            if (event instanceof Arrival a) {
                deadlines.put(a.id(), now + a.remainingNanos());
            } else if (event instanceof Abandoned a) {
                return deadlines.containsKey(a.id()) && finishedIds.add(a.id()) ? event : null;
            } else if (event instanceof Outcome o && o.isFinal() && !finishedIds.add(o.id())) {
                return new Outcome(o.id(), o.attempt(), o.endpoint(), o.result(), o.latencyNanos(), true, null);
            }
            return event;
        }

        private void deliver(long now, Event event) {
            checker.recordEvent(now, event);
            for (Action action : dispatcher.handle(now, List.of(event))) {
                trace.add(now + " " + (action instanceof SendToPeer t ? t.rank() + Arrays.toString(t.data()) : action));
                checker.checkAction(now, action);
                execute(now, action);
            }
        }

        private void execute(long now, Action action) {
            if (action instanceof Dispatch d) {
                scheduleOutcome(now, d);
            } else if (action instanceof Reject r) {
                finishedIds.add(r.id());
            } else if (action instanceof Fail f) {
                finishedIds.add(f.id());
            } else if (action instanceof Probe p) {
                schedule(
                        now + 1 + random.nextLong(5 * Samples.MS),
                        random.nextInt(10) == 0
                                ? new ProbeAnswer(p.endpoint(), AttemptResult.TIMEOUT, Samples.MS, null)
                                : Samples.probeAnswer(p.endpoint(), random.nextInt(4), random.nextInt(3)));
            } else if (action instanceof SetTimer t) {
                schedule(now + t.delayNanos(), new Timer(t.name()));
            }
        }

        private void scheduleOutcome(long now, Dispatch d) {
            int number = attemptCounts.merge(d.id(), 1, Integer::sum) - 1;
            long remaining = deadlines.get(d.id()) - now;
            AttemptResult result = drawResult(random.nextInt(100));
            long latency = 1 + random.nextLong(400 * Samples.MS);
            if (result == AttemptResult.TIMEOUT || latency >= remaining) {
                result = AttemptResult.TIMEOUT;
                latency = remaining;
            }
            schedule(
                    now + Math.max(1, latency),
                    new Outcome(d.id(), number, d.endpointId(), result, latency, result == AttemptResult.SERVED, null));
        }

        private static AttemptResult drawResult(int percent) {
            if (percent < 60) {
                return AttemptResult.SERVED;
            } else if (percent < 75) {
                return AttemptResult.OVERLOADED;
            } else if (percent < 80) {
                return AttemptResult.ERROR;
            } else if (percent < 85) {
                return AttemptResult.UNREACHABLE;
            }
            return percent < 90 ? AttemptResult.BROKEN : AttemptResult.TIMEOUT;
        }
    }

    private static List<String> run(
            long seed, SchedulerSettings settings, RuleChecker checker, UnaryOperator<String> endpointNaming) {
        return new RandomRun(seed, settings, checker, endpointNaming).run();
    }

    private static EndpointList renameEndpoints(EndpointList list, UnaryOperator<String> naming) {
        return new EndpointList(
                list.isComplete(),
                list.entries().stream()
                        .map(endpoint -> new EndpointEntry(
                                naming.apply(endpoint.id()),
                                endpoint.state(),
                                endpoint.startedAt(),
                                endpoint.cell(),
                                endpoint.kind(),
                                endpoint.zone(),
                                endpoint.size()))
                        .toList());
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
    void rulesAreKept(long seed) {
        SchedulerSettings settings = Samples.settings(0, 3, seed % 3 != 0);
        RuleChecker checker = new RuleChecker(settings);
        List<String> trace = run(seed, settings, checker, n -> n);
        assertEquals(List.of(), checker.violations);
        assertTrue(trace.stream().filter(line -> line.contains("Dispatch[")).count() > 500, "too few dispatches");
    }

    @Test
    void replayGivesTheSameActions() {
        SchedulerSettings settings = Samples.settings(1, 3, true);
        assertSameLines(
                run(5, settings, new RuleChecker(settings), n -> n),
                run(5, settings, new RuleChecker(settings), n -> n));
    }

    @Test
    void namesOfEndpointsClassesAndTenantsDoNotAffectDecisions() {
        SchedulerSettings settings = Samples.settings(1, 3, true);
        List<RequestClass> classes = settings.classes().stream()
                .map(c -> new RequestClass(
                        "x" + c.name(),
                        c.idempotency(),
                        c.dedupScope(),
                        c.dedupWindowNanos(),
                        c.latencyObjectiveNanos(),
                        c.objectiveStretch(),
                        c.deadlineNanos(),
                        c.priorityWeight(),
                        c.latePriorityWeight(),
                        c.isStreamed(),
                        c.kindIndex(),
                        c.priority()))
                .toList();
        List<Tenant> tenants = settings.tenants().stream()
                .map(t -> new Tenant("y" + t.name(), t.fraction(), t.quotaPerSecond()))
                .toList();
        SchedulerSettings renamed = new SchedulerSettings(
                settings.rank(),
                settings.fleetSize(),
                settings.zone(),
                classes,
                tenants,
                settings.kinds(),
                false,
                false,
                settings.loadReporting(),
                0,
                settings.limits(),
                settings.rules());
        List<String> originalTrace = run(6, settings, new RuleChecker(settings), n -> n);
        List<String> renamedTrace = run(6, renamed, new RuleChecker(renamed), n -> "q" + n);
        assertSameLines(
                originalTrace.stream().map(SiteRulesTest::withoutEndpointHashes).toList(),
                renamedTrace.stream()
                        .map(line -> withoutEndpointHashes(
                                line.replace("endpointId=qw", "endpointId=w").replace("endpoint=qw", "endpoint=w")))
                        .toList());
    }

    /** Removes the hashes of endpoint ids from load gossip, and keeps the load that it reports. */
    private static String withoutEndpointHashes(String line) {
        return line.replaceAll("(\\[-45, 3, -?\\d+, -?\\d+|\\G(?!^)), -?\\d+, -?\\d+(, -?\\d+)", "$1, m$2");
    }

    /** Compares line by line, so that a failure shows the first difference only. */
    private static void assertSameLines(List<String> expected, List<String> actual) {
        for (int i = 0; i < Math.min(expected.size(), actual.size()); i++) {
            assertEquals(expected.get(i), actual.get(i));
        }
        assertEquals(expected.size(), actual.size());
    }

    @Test
    void checkerCatchesAMissingAndASecondAnswer() {
        RuleChecker checker = checkerWithEndpoints();
        checker.recordEvent(5, Samples.arrival("a", "read", "red"));
        checker.finish(60 * Samples.SECOND);
        assertViolated(checker, "answer");
        RuleChecker afterAnswer = checkerWithEndpoints();
        afterAnswer.recordEvent(5, Samples.arrival("a", "read", "red"));
        afterAnswer.checkAction(6, new Reject("a", 0));
        afterAnswer.checkAction(7, new Dispatch("a", "w0", 0));
        assertViolated(afterAnswer, "answer");
    }

    @Test
    void checkerCatchesARepeatedNonIdempotentRequest() {
        RuleChecker checker = checkerWithEndpoints();
        checker.recordEvent(5, Samples.arrival("a", "book", "red"));
        Dispatch sent = new Dispatch("a", "w0", 0);
        checker.checkAction(6, sent);
        checker.recordEvent(7, Samples.outcome(sent, 0, AttemptResult.BROKEN));
        checker.checkAction(8, new Dispatch("a", "w2", 0));
        assertViolated(checker, "idempotency");
    }

    @Test
    void checkerCatchesADispatchToADrainingEndpoint() {
        RuleChecker checker = checkerWithEndpoints();
        checker.recordEvent(
                4, new EndpointList(false, List.of(Samples.entry("w0", EndpointState.DRAINING, 0, "north", 0))));
        checker.recordEvent(5, Samples.arrival("a", "read", "red"));
        checker.checkAction(6, new Dispatch("a", "w0", 0));
        assertViolated(checker, "endpoint");
    }

    @Test
    void checkerCatchesAnEndpointOverloadedInSlowStart() {
        RuleChecker checker = checkerWithEndpoints();
        checker.recordEvent(
                4, new EndpointList(false, List.of(Samples.entry("w9", EndpointState.READY, 4, "north", 4))));
        for (int i = 0; i < 5; i++) {
            checker.recordEvent(5, Samples.arrival("a" + i, "read", "red"));
            checker.checkAction(6, new Dispatch("a" + i, "w9", 0));
        }
        assertViolated(checker, "slow start");
    }

    private static RuleChecker checkerWithEndpoints() {
        RuleChecker checker = new RuleChecker(Samples.settings(0, 3, true));
        checker.recordEvent(1, Samples.endpoints(8));
        return checker;
    }

    private static void assertViolated(RuleChecker checker, String rule) {
        assertTrue(checker.violations.stream().anyMatch(line -> line.startsWith(rule)), checker.violations.toString());
    }
}
