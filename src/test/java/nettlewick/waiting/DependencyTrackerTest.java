package nettlewick.waiting;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import nettlewick.waiting.DependencyTracker.Effect;
import nettlewick.waiting.DependencyTracker.Finished;
import nettlewick.waiting.DependencyTracker.JobSpec;
import nettlewick.waiting.DependencyTracker.OnFailure;
import nettlewick.waiting.DependencyTracker.Ready;
import nettlewick.waiting.DependencyTracker.RejectedException;
import nettlewick.waiting.DependencyTracker.Result;
import nettlewick.waiting.DependencyTracker.Timer;
import nettlewick.waiting.DependencyTracker.WaitOutcome;
import org.junit.jupiter.api.Test;

/** Graphs and calendars of waiting jobs: each job has one end, and none runs before what it comes after. */
class DependencyTrackerTest {
    private static final DependencyTracker.Limits WIDE =
            new DependencyTracker.Limits(100_000, 100_000, 1 << 30, 1 << 30, 16, 20_000, 20_000, 1e9, 100_000);

    private final DependencyTracker plan = new DependencyTracker(WIDE);

    private static JobSpec ask(String name, OnFailure onFailure, String... after) {
        return new JobSpec("id-" + name, "m", name, List.of(after), 0, 1000, onFailure, 10);
    }

    private static List<String> ready(List<Effect> effects) {
        return effects.stream()
                .filter(e -> e instanceof Ready)
                .map(e -> ((Ready) e).id())
                .toList();
    }

    private static List<Finished> done(List<Effect> effects) {
        return effects.stream()
                .filter(e -> e instanceof Finished)
                .map(e -> (Finished) e)
                .toList();
    }

    @Test
    void aSuccessorThatCameFirstIsReadyOnceItsPredecessorSucceeded() throws Exception {
        assertEquals(List.of(), ready(plan.accept(ask("b", OnFailure.FAIL, "a"), 0)));
        assertEquals(List.of("id-a"), ready(plan.accept(ask("a", OnFailure.FAIL), 1)));
        assertEquals(List.of("id-b"), ready(plan.jobFinished("id-a", Result.SUCCEEDED, 2)));
        assertEquals(List.of("id-c"), ready(plan.accept(ask("c", OnFailure.FAIL, "a"), 3)));
    }

    @Test
    void aRefusedPredecessorComesAgainUnderItsNameWithANewId() throws Exception {
        plan.accept(ask("b", OnFailure.FAIL, "a"), 0);
        plan.accept(ask("a", OnFailure.FAIL), 0);
        assertEquals(List.of(), plan.jobFinished("id-a", Result.REFUSED, 1));
        plan.accept(new JobSpec("id-a2", "m", "a", List.of(), 0, 1000, OnFailure.FAIL, 1), 2);
        assertEquals(List.of("id-b"), ready(plan.jobFinished("id-a2", Result.SUCCEEDED, 3)));
    }

    @Test
    void aFailureDecidesSuccessorsByWhatTheyAskedForThroughTheWholeChain() throws Exception {
        plan.accept(ask("top", OnFailure.FAIL), 0);
        plan.accept(ask("fails", OnFailure.FAIL, "top"), 0);
        plan.accept(ask("next", OnFailure.FAIL, "fails"), 0);
        plan.accept(ask("runs", OnFailure.RUN, "next"), 0);
        plan.accept(ask("skips", OnFailure.SKIP, "top"), 0);
        plan.accept(ask("after-skip", OnFailure.FAIL, "skips"), 0);
        List<Effect> effects = plan.jobFinished("id-top", Result.FAILED, 5);
        assertEquals(
                List.of(
                        new Finished("id-fails", WaitOutcome.FAILED, "top failed"),
                        new Finished("id-skips", WaitOutcome.SKIPPED, "top failed"),
                        new Finished("id-next", WaitOutcome.FAILED, "fails failed, since top failed")),
                done(effects));
        assertEquals(Set.of("id-runs", "id-after-skip"), new HashSet<>(ready(effects)));
    }

    /**
     * Both sides of the race: the predecessor fails just before, and just after, its successor is accepted.
     */
    @Test
    void aPredecessorThatFailsWhileItsSuccessorIsAcceptedEndsItEitherWay() throws Exception {
        for (boolean before : new boolean[] {true, false}) {
            DependencyTracker one = new DependencyTracker(WIDE);
            one.accept(ask("a", OnFailure.FAIL), 0);
            List<Effect> effects = new ArrayList<>();
            if (before) {
                effects.addAll(one.jobFinished("id-a", Result.FAILED, 1));
                effects.addAll(one.accept(ask("b", OnFailure.FAIL, "a"), 1));
            } else {
                effects.addAll(one.accept(ask("b", OnFailure.FAIL, "a"), 1));
                effects.addAll(one.jobFinished("id-a", Result.FAILED, 1));
            }
            assertEquals(1, done(effects).size());
            assertEquals(0, one.size());
        }
    }

    @Test
    void aDiamondWhoseOneSideFailsEndsOnce() throws Exception {
        plan.accept(ask("top", OnFailure.FAIL), 0);
        plan.accept(ask("left", OnFailure.FAIL, "top"), 0);
        plan.accept(ask("right", OnFailure.FAIL, "top"), 0);
        plan.accept(ask("bottom", OnFailure.FAIL, "left", "right"), 0);
        assertEquals(List.of("id-left", "id-right"), ready(plan.jobFinished("id-top", Result.SUCCEEDED, 1)));
        assertEquals(1, done(plan.jobFinished("id-left", Result.FAILED, 2)).size());
        assertEquals(List.of(), plan.jobFinished("id-right", Result.SUCCEEDED, 3));
        assertEquals(0, plan.size());
    }

    @Test
    void cyclesAreRefusedAtTheEdgeThatClosesThem() throws Exception {
        plan.accept(ask("a", OnFailure.FAIL, "c"), 0);
        plan.accept(ask("b", OnFailure.FAIL, "a"), 0);
        assertThrows(RejectedException.class, () -> plan.accept(ask("c", OnFailure.FAIL, "b"), 0));
        assertThrows(RejectedException.class, () -> plan.accept(ask("d", OnFailure.FAIL, "d"), 0));
        assertEquals(2, plan.size());
        plan.accept(ask("c", OnFailure.FAIL), 0);
        assertEquals(List.of("id-a"), ready(plan.jobFinished("id-c", Result.SUCCEEDED, 1)));
    }

    /** Ended from the top, by a thread whose stack would not hold ten thousand calls of anything. */
    @Test
    void aChainAndAFanOfTenThousandEndFromTheTop() throws Exception {
        for (boolean chain : new boolean[] {true, false}) {
            DependencyTracker one = new DependencyTracker(WIDE);
            one.accept(ask("0", OnFailure.FAIL), 0);
            for (int i = 1; i <= 10_000; i++) {
                // The chain is made from its end, so that looking for cycles has nothing to walk.
                String name = chain ? Integer.toString(10_001 - i) : Integer.toString(i);
                String after = chain ? Integer.toString(10_000 - i) : "0";
                one.accept(ask(name, OnFailure.FAIL, after), 0);
            }
            List<Effect>[] effects = new List[1];
            Thread small =
                    new Thread(null, () -> effects[0] = one.jobFinished("id-0", Result.FAILED, 1), "small", 128 * 1024);
            small.start();
            small.join();
            List<Finished> all = done(effects[0]);
            assertEquals(10_000, all.size());
            assertEquals(10_000, all.stream().map(Finished::id).distinct().count());
            assertTrue(all.stream()
                    .allMatch(d -> d.cause().contains("0 failed") && d.cause().length() < 80));
            assertEquals(0, one.size());
        }
    }

    @Test
    void nothingStartsBeforeItsTimeAndWhatWaitsTooLongEndsByWhatItAskedFor() throws Exception {
        List<Effect> effects = plan.accept(new JobSpec("t", "m", null, List.of(), 500, 900, OnFailure.FAIL, 1), 0);
        assertEquals(List.of(new Timer("t", 900), new Timer("t", 500)), effects);
        assertEquals(List.of(), plan.onTimer("t", 499));
        assertEquals(List.of("t"), ready(plan.onTimer("t", 500)));
        for (OnFailure policy : OnFailure.values()) {
            plan.accept(ask("x" + policy, policy, "never"), 0);
            List<Effect> late = plan.onTimer("id-x" + policy, 1000);
            assertEquals(1, late.size());
            assertEquals(policy == OnFailure.RUN, late.get(0) instanceof Ready);
        }
        List<Effect> held = new ArrayList<>();
        plan.accept(ask("h", OnFailure.FAIL, "z"), 0);
        assertTrue(plan.hold("id-h", true, 1, held));
        plan.peerReported(new DependencyTracker.JobName("m", "z"), true, 2);
        assertEquals(
                List.of(new Finished("id-h", WaitOutcome.EXPIRED, "it was held until its time was over")),
                plan.onTimer("id-h", 1000));
    }

    @Test
    void anotherMembersNamesAreNotThere() throws Exception {
        plan.accept(ask("a", OnFailure.FAIL), 0);
        plan.accept(new JobSpec("o", "other", "x", List.of("a"), 0, 1000, OnFailure.FAIL, 1), 0);
        assertEquals(List.of(), ready(plan.jobFinished("id-a", Result.SUCCEEDED, 1)));
        plan.accept(new JobSpec("o2", "other", "a", List.of(), 0, 1000, OnFailure.FAIL, 1), 0);
        assertEquals(List.of("o"), ready(plan.jobFinished("o2", Result.SUCCEEDED, 2)));
    }

    @Test
    void limitsRefuseAndChangeNothing() throws Exception {
        DependencyTracker small = new DependencyTracker(new DependencyTracker.Limits(3, 2, 100, 30, 2, 1, 2, 5000, 10));
        small.accept(ask("a", OnFailure.FAIL), 0);
        small.accept(ask("b", OnFailure.FAIL, "a"), 0);
        assertTrue(assertThrows(RejectedException.class, () -> small.accept(ask("c", OnFailure.FAIL), 0))
                .retryable());
        small.accept(new JobSpec("n", "n", null, List.of(), 0, 9, OnFailure.FAIL, 1), 0);
        assertTrue(assertThrows(
                        RejectedException.class,
                        () -> small.accept(new JobSpec("n2", "n", null, List.of(), 0, 9, OnFailure.FAIL, 1), 0))
                .retryable());
        DependencyTracker other = new DependencyTracker(new DependencyTracker.Limits(9, 9, 100, 30, 2, 1, 2, 5000, 10));
        other.accept(ask("a", OnFailure.FAIL, "z"), 0);
        assertTrue(
                assertThrows(RejectedException.class, () -> other.accept(ask("b", OnFailure.FAIL, "z"), 0))
                        .retryable(),
                "fan");
        other.accept(ask("b", OnFailure.FAIL, "a"), 0);
        assertThrows(RejectedException.class, () -> other.accept(ask("c", OnFailure.FAIL, "b"), 0), "depth");
        assertThrows(RejectedException.class, () -> other.accept(ask("d", OnFailure.FAIL, "p", "q", "r"), 0), "fan in");
        assertThrows(
                RejectedException.class,
                () -> other.accept(new JobSpec("e", "m", null, List.of(), 0, 6000, OnFailure.FAIL, 1), 0),
                "too far ahead");
        assertTrue(
                assertThrows(
                                RejectedException.class,
                                () -> other.accept(new JobSpec("f", "m", null, List.of(), 0, 9, OnFailure.FAIL, 11), 0))
                        .retryable(),
                "bytes");
        assertEquals(2, other.size());
    }

    /**
     * Random graphs, ends, cancels, holds and times against a small model: each accepted job is released or
     * has one
     * final answer, never both; none is released before its time, or before a predecessor that it depends on.
     */
    @Property(tries = 300, seed = "51")
    void eachJobEndsOnceInAnOrderThatTheGraphAllows(@ForAll long seed) {
        Random random = new Random(seed);
        DependencyTracker one = new DependencyTracker(WIDE);
        Map<String, JobSpec> asked = new HashMap<>();
        Map<String, Boolean> ends = new HashMap<>();
        Set<String> released = new HashSet<>();
        Map<String, Finished> finals = new HashMap<>();
        List<Timer> wakes = new ArrayList<>();
        double now = 0;
        for (int step = 0; step < 150; step++) {
            now += random.nextInt(20);
            List<Effect> effects = new ArrayList<>();
            int what = random.nextInt(10);
            if (what < 5) {
                List<String> after = new ArrayList<>();
                for (int i = random.nextInt(3); i > 0; i--) {
                    String name = "n" + random.nextInt(12);
                    if (!after.contains(name)) {
                        after.add(name);
                    }
                }
                JobSpec ask = new JobSpec(
                        "j" + step,
                        "m",
                        random.nextInt(4) == 0 ? null : "n" + random.nextInt(12),
                        after,
                        random.nextBoolean() ? 0 : now + random.nextInt(200),
                        now + 100 + random.nextInt(400),
                        OnFailure.values()[random.nextInt(3)],
                        1);
                try {
                    effects = one.accept(ask, now);
                    asked.put(ask.id(), ask);
                    if (ask.name() != null) {
                        ends.remove(ask.name());
                    }
                } catch (RejectedException e) {
                    assertTrue(!asked.containsKey(ask.id()));
                }
            } else if (what < 8 && !released.isEmpty()) {
                String id = released.stream()
                        .sorted()
                        .skip(random.nextInt(released.size()))
                        .findFirst()
                        .get();
                Result end = Result.values()[random.nextInt(3)];
                released.remove(id);
                if (asked.get(id).name() != null && end != Result.REFUSED) {
                    ends.put(asked.get(id).name(), end == Result.SUCCEEDED);
                }
                effects = one.jobFinished(id, end, now);
            } else if (what == 8 && !asked.isEmpty()) {
                effects = one.cancel("j" + random.nextInt(step + 1), now);
            } else {
                effects = one.peerReported(new DependencyTracker.JobName("m", "n" + random.nextInt(12)), true, now);
                // The model learns of it by what follows: names that peers end are not checked for order.
            }
            take(effects, asked, released, finals, wakes, now);
            for (Timer wake : List.copyOf(wakes)) {
                if (wake.at() <= now) {
                    wakes.remove(wake);
                    take(one.onTimer(wake.id(), now), asked, released, finals, wakes, now);
                }
            }
        }
        // Past every time, nothing is left but what was released and has not been ended.
        now += 1000;
        for (Timer wake : List.copyOf(wakes)) {
            take(one.onTimer(wake.id(), now), asked, released, finals, wakes, now);
        }
        assertEquals(released.size(), one.size());
    }

    private static void take(
            List<Effect> effects,
            Map<String, JobSpec> asked,
            Set<String> released,
            Map<String, Finished> finals,
            List<Timer> wakes,
            double now) {
        for (Effect e : effects) {
            if (e instanceof Ready r) {
                assertTrue(
                        now
                                >= asked.getOrDefault(
                                                r.id(),
                                                new JobSpec(r.id(), "m", null, List.of(), 0, 1, OnFailure.RUN, 0))
                                        .notBefore(),
                        "early: " + r);
                assertTrue(!finals.containsKey(r.id()), "released after its end: " + r);
                assertTrue(released.add(r.id()), "released twice: " + r);
            } else if (e instanceof Finished d) {
                assertTrue(!released.contains(d.id()), "ended though released: " + d);
                assertEquals(null, finals.put(d.id(), d), "two ends: " + d);
                assertTrue(!d.cause().isBlank());
            } else if (e instanceof Timer w) {
                wakes.add(w);
            }
        }
    }
}
