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

/** Dependencies and start times of waiting jobs: each job finishes once, and none is released before its predecessors. */
class DependencyTrackerTest {
    private static final DependencyTracker.Limits LARGE_LIMITS =
            new DependencyTracker.Limits(100_000, 100_000, 1 << 30, 1 << 30, 16, 20_000, 20_000, 1e9, 100_000);

    private final DependencyTracker tracker = new DependencyTracker(LARGE_LIMITS);

    private static JobSpec spec(String name, OnFailure onFailure, String... predecessors) {
        return new JobSpec("id-" + name, "m", name, List.of(predecessors), 0, 1000, onFailure, 10);
    }

    private static List<String> ready(List<Effect> effects) {
        return effects.stream()
                .filter(e -> e instanceof Ready)
                .map(e -> ((Ready) e).id())
                .toList();
    }

    private static List<Finished> finished(List<Effect> effects) {
        return effects.stream()
                .filter(e -> e instanceof Finished)
                .map(e -> (Finished) e)
                .toList();
    }

    @Test
    void aSuccessorThatCameFirstIsReadyOnceItsPredecessorSucceeded() throws Exception {
        assertEquals(List.of(), ready(tracker.accept(spec("b", OnFailure.FAIL, "a"), 0)));
        assertEquals(List.of("id-a"), ready(tracker.accept(spec("a", OnFailure.FAIL), 1)));
        assertEquals(List.of("id-b"), ready(tracker.jobFinished("id-a", Result.SUCCEEDED, 2)));
        assertEquals(List.of("id-c"), ready(tracker.accept(spec("c", OnFailure.FAIL, "a"), 3)));
    }

    @Test
    void aRejectedPredecessorMayBeSubmittedAgainUnderItsNameWithANewId() throws Exception {
        tracker.accept(spec("b", OnFailure.FAIL, "a"), 0);
        tracker.accept(spec("a", OnFailure.FAIL), 0);
        assertEquals(List.of(), tracker.jobFinished("id-a", Result.REFUSED, 1));
        tracker.accept(new JobSpec("id-a2", "m", "a", List.of(), 0, 1000, OnFailure.FAIL, 1), 2);
        assertEquals(List.of("id-b"), ready(tracker.jobFinished("id-a2", Result.SUCCEEDED, 3)));
    }

    @Test
    void aFailureAppliesThePolicyOfEachSuccessorThroughTheWholeChain() throws Exception {
        tracker.accept(spec("top", OnFailure.FAIL), 0);
        tracker.accept(spec("fails", OnFailure.FAIL, "top"), 0);
        tracker.accept(spec("next", OnFailure.FAIL, "fails"), 0);
        tracker.accept(spec("runs", OnFailure.RUN, "next"), 0);
        tracker.accept(spec("skips", OnFailure.SKIP, "top"), 0);
        tracker.accept(spec("after-skip", OnFailure.FAIL, "skips"), 0);
        List<Effect> effects = tracker.jobFinished("id-top", Result.FAILED, 5);
        assertEquals(
                List.of(
                        new Finished("id-fails", WaitOutcome.FAILED, "top failed"),
                        new Finished("id-skips", WaitOutcome.SKIPPED, "top failed"),
                        new Finished("id-next", WaitOutcome.FAILED, "fails failed, since top failed")),
                finished(effects));
        assertEquals(Set.of("id-runs", "id-after-skip"), new HashSet<>(ready(effects)));
    }

    /**
     * A predecessor that fails just before, and one that fails just after, its successor is accepted.
     */
    @Test
    void aPredecessorThatFailsWhileItsSuccessorIsAcceptedFinishesItOnce() throws Exception {
        for (boolean failsFirst : new boolean[] {true, false}) {
            DependencyTracker newTracker = new DependencyTracker(LARGE_LIMITS);
            newTracker.accept(spec("a", OnFailure.FAIL), 0);
            List<Effect> effects = new ArrayList<>();
            if (failsFirst) {
                effects.addAll(newTracker.jobFinished("id-a", Result.FAILED, 1));
                effects.addAll(newTracker.accept(spec("b", OnFailure.FAIL, "a"), 1));
            } else {
                effects.addAll(newTracker.accept(spec("b", OnFailure.FAIL, "a"), 1));
                effects.addAll(newTracker.jobFinished("id-a", Result.FAILED, 1));
            }
            assertEquals(1, finished(effects).size());
            assertEquals(0, newTracker.size());
        }
    }

    @Test
    void aDiamondWithOneFailedSideFinishesOnce() throws Exception {
        tracker.accept(spec("top", OnFailure.FAIL), 0);
        tracker.accept(spec("left", OnFailure.FAIL, "top"), 0);
        tracker.accept(spec("right", OnFailure.FAIL, "top"), 0);
        tracker.accept(spec("bottom", OnFailure.FAIL, "left", "right"), 0);
        assertEquals(List.of("id-left", "id-right"), ready(tracker.jobFinished("id-top", Result.SUCCEEDED, 1)));
        assertEquals(
                1, finished(tracker.jobFinished("id-left", Result.FAILED, 2)).size());
        assertEquals(List.of(), tracker.jobFinished("id-right", Result.SUCCEEDED, 3));
        assertEquals(0, tracker.size());
    }

    @Test
    void cyclesAreRejectedAtTheEdgeThatClosesThem() throws Exception {
        tracker.accept(spec("a", OnFailure.FAIL, "c"), 0);
        tracker.accept(spec("b", OnFailure.FAIL, "a"), 0);
        assertThrows(RejectedException.class, () -> tracker.accept(spec("c", OnFailure.FAIL, "b"), 0));
        assertThrows(RejectedException.class, () -> tracker.accept(spec("d", OnFailure.FAIL, "d"), 0));
        assertEquals(2, tracker.size());
        tracker.accept(spec("c", OnFailure.FAIL), 0);
        assertEquals(List.of("id-a"), ready(tracker.jobFinished("id-c", Result.SUCCEEDED, 1)));
    }

    /** Guards against recursion: the thread has too small a stack for ten thousand nested calls. */
    @Test
    void aChainAndAFanOutOfTenThousandJobsFinishWithoutRecursion() throws Exception {
        for (boolean chain : new boolean[] {true, false}) {
            DependencyTracker newTracker = new DependencyTracker(LARGE_LIMITS);
            newTracker.accept(spec("0", OnFailure.FAIL), 0);
            for (int i = 1; i <= 10_000; i++) {
                // The chain is built from its last job, so that the search for cycles ends at once.
                String name = chain ? Integer.toString(10_001 - i) : Integer.toString(i);
                String predecessors = chain ? Integer.toString(10_000 - i) : "0";
                newTracker.accept(spec(name, OnFailure.FAIL, predecessors), 0);
            }
            List<Effect>[] effects = new List[1];
            Thread small = new Thread(
                    null, () -> effects[0] = newTracker.jobFinished("id-0", Result.FAILED, 1), "small", 128 * 1024);
            small.start();
            small.join();
            List<Finished> all = finished(effects[0]);
            assertEquals(10_000, all.size());
            assertEquals(10_000, all.stream().map(Finished::id).distinct().count());
            assertTrue(all.stream()
                    .allMatch(d -> d.cause().contains("0 failed") && d.cause().length() < 80));
            assertEquals(0, newTracker.size());
        }
    }

    @Test
    void noJobStartsBeforeItsTimeAndOneThatWaitsTooLongFollowsItsPolicy() throws Exception {
        List<Effect> effects = tracker.accept(new JobSpec("t", "m", null, List.of(), 500, 900, OnFailure.FAIL, 1), 0);
        assertEquals(List.of(new Timer("t", 900), new Timer("t", 500)), effects);
        assertEquals(List.of(), tracker.onTimer("t", 499));
        assertEquals(List.of("t"), ready(tracker.onTimer("t", 500)));
        for (OnFailure policy : OnFailure.values()) {
            tracker.accept(spec("x" + policy, policy, "never"), 0);
            List<Effect> late = tracker.onTimer("id-x" + policy, 1000);
            assertEquals(1, late.size());
            assertEquals(policy == OnFailure.RUN, late.get(0) instanceof Ready);
        }
        List<Effect> held = new ArrayList<>();
        tracker.accept(spec("h", OnFailure.FAIL, "z"), 0);
        assertTrue(tracker.hold("id-h", true, 1, held));
        tracker.peerReported(new DependencyTracker.JobName("m", "z"), true, 2);
        assertEquals(
                List.of(new Finished("id-h", WaitOutcome.EXPIRED, "it was held until its time was over")),
                tracker.onTimer("id-h", 1000));
    }

    @Test
    void namesOfOtherTenantsAreNotVisible() throws Exception {
        tracker.accept(spec("a", OnFailure.FAIL), 0);
        tracker.accept(new JobSpec("o", "other", "x", List.of("a"), 0, 1000, OnFailure.FAIL, 1), 0);
        assertEquals(List.of(), ready(tracker.jobFinished("id-a", Result.SUCCEEDED, 1)));
        tracker.accept(new JobSpec("o2", "other", "a", List.of(), 0, 1000, OnFailure.FAIL, 1), 0);
        assertEquals(List.of("o"), ready(tracker.jobFinished("o2", Result.SUCCEEDED, 2)));
    }

    @Test
    void aRejectionByALimitChangesNothing() throws Exception {
        DependencyTracker small = new DependencyTracker(new DependencyTracker.Limits(3, 2, 100, 30, 2, 1, 2, 5000, 10));
        small.accept(spec("a", OnFailure.FAIL), 0);
        small.accept(spec("b", OnFailure.FAIL, "a"), 0);
        assertTrue(assertThrows(RejectedException.class, () -> small.accept(spec("c", OnFailure.FAIL), 0))
                .retryable());
        small.accept(new JobSpec("n", "n", null, List.of(), 0, 9, OnFailure.FAIL, 1), 0);
        assertTrue(assertThrows(
                        RejectedException.class,
                        () -> small.accept(new JobSpec("n2", "n", null, List.of(), 0, 9, OnFailure.FAIL, 1), 0))
                .retryable());
        DependencyTracker other = new DependencyTracker(new DependencyTracker.Limits(9, 9, 100, 30, 2, 1, 2, 5000, 10));
        other.accept(spec("a", OnFailure.FAIL, "z"), 0);
        assertTrue(
                assertThrows(RejectedException.class, () -> other.accept(spec("b", OnFailure.FAIL, "z"), 0))
                        .retryable(),
                "fan-out");
        other.accept(spec("b", OnFailure.FAIL, "a"), 0);
        assertThrows(RejectedException.class, () -> other.accept(spec("c", OnFailure.FAIL, "b"), 0), "depth");
        assertThrows(
                RejectedException.class, () -> other.accept(spec("d", OnFailure.FAIL, "p", "q", "r"), 0), "fan-in");
        assertThrows(
                RejectedException.class,
                () -> other.accept(new JobSpec("e", "m", null, List.of(), 0, 6000, OnFailure.FAIL, 1), 0),
                "wait time");
        assertTrue(
                assertThrows(
                                RejectedException.class,
                                () -> other.accept(new JobSpec("f", "m", null, List.of(), 0, 9, OnFailure.FAIL, 11), 0))
                        .retryable(),
                "bytes");
        assertEquals(2, other.size());
    }

    /**
     * Random graphs, results, cancellations, peer reports and times: each accepted job is released or has one outcome,
     * never both, and none is released before its earliest start.
     */
    @Property(tries = 300, seed = "51")
    void eachJobFinishesOnceInAnOrderThatTheGraphAllows(@ForAll long seed) {
        Random random = new Random(seed);
        DependencyTracker newTracker = new DependencyTracker(LARGE_LIMITS);
        Map<String, JobSpec> accepted = new HashMap<>();
        Map<String, Boolean> results = new HashMap<>();
        Set<String> released = new HashSet<>();
        Map<String, Finished> outcomes = new HashMap<>();
        List<Timer> timers = new ArrayList<>();
        double now = 0;
        for (int step = 0; step < 150; step++) {
            now += random.nextInt(20);
            List<Effect> effects = new ArrayList<>();
            int choice = random.nextInt(10);
            if (choice < 5) {
                List<String> predecessors = new ArrayList<>();
                for (int i = random.nextInt(3); i > 0; i--) {
                    String name = "n" + random.nextInt(12);
                    if (!predecessors.contains(name)) {
                        predecessors.add(name);
                    }
                }
                JobSpec spec = new JobSpec(
                        "j" + step,
                        "m",
                        random.nextInt(4) == 0 ? null : "n" + random.nextInt(12),
                        predecessors,
                        random.nextBoolean() ? 0 : now + random.nextInt(200),
                        now + 100 + random.nextInt(400),
                        OnFailure.values()[random.nextInt(3)],
                        1);
                try {
                    effects = newTracker.accept(spec, now);
                    accepted.put(spec.id(), spec);
                    if (spec.name() != null) {
                        results.remove(spec.name());
                    }
                } catch (RejectedException e) {
                    assertTrue(!accepted.containsKey(spec.id()));
                }
            } else if (choice < 8 && !released.isEmpty()) {
                String id = released.stream()
                        .sorted()
                        .skip(random.nextInt(released.size()))
                        .findFirst()
                        .get();
                Result result = Result.values()[random.nextInt(3)];
                released.remove(id);
                if (accepted.get(id).name() != null && result != Result.REFUSED) {
                    results.put(accepted.get(id).name(), result == Result.SUCCEEDED);
                }
                effects = newTracker.jobFinished(id, result, now);
            } else if (choice == 8 && !accepted.isEmpty()) {
                effects = newTracker.cancel("j" + random.nextInt(step + 1), now);
            } else {
                effects = newTracker.peerReported(
                        new DependencyTracker.JobName("m", "n" + random.nextInt(12)), true, now);
                // The order after results that peers report is not checked.
            }
            apply(effects, accepted, released, outcomes, timers, now);
            for (Timer timer : List.copyOf(timers)) {
                if (timer.at() <= now) {
                    timers.remove(timer);
                    apply(newTracker.onTimer(timer.id(), now), accepted, released, outcomes, timers, now);
                }
            }
        }
        // After all wait times, only released jobs without a result are left.
        now += 1000;
        for (Timer timer : List.copyOf(timers)) {
            apply(newTracker.onTimer(timer.id(), now), accepted, released, outcomes, timers, now);
        }
        assertEquals(released.size(), newTracker.size());
    }

    private static void apply(
            List<Effect> effects,
            Map<String, JobSpec> accepted,
            Set<String> released,
            Map<String, Finished> outcomes,
            List<Timer> timers,
            double now) {
        for (Effect e : effects) {
            if (e instanceof Ready r) {
                assertTrue(
                        now
                                >= accepted.getOrDefault(
                                                r.id(),
                                                new JobSpec(r.id(), "m", null, List.of(), 0, 1, OnFailure.RUN, 0))
                                        .notBefore(),
                        "released too early: " + r);
                assertTrue(!outcomes.containsKey(r.id()), "released after its outcome: " + r);
                assertTrue(released.add(r.id()), "released twice: " + r);
            } else if (e instanceof Finished d) {
                assertTrue(!released.contains(d.id()), "finished by the tracker after its release: " + d);
                assertEquals(null, outcomes.put(d.id(), d), "two outcomes: " + d);
                assertTrue(!d.cause().isBlank());
            } else if (e instanceof Timer w) {
                timers.add(w);
            }
        }
    }
}
