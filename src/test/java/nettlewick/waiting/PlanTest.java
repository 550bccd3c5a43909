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
import nettlewick.waiting.Plan.Ask;
import nettlewick.waiting.Plan.Done;
import nettlewick.waiting.Plan.Effect;
import nettlewick.waiting.Plan.End;
import nettlewick.waiting.Plan.Fate;
import nettlewick.waiting.Plan.OnFailure;
import nettlewick.waiting.Plan.Ready;
import nettlewick.waiting.Plan.Refused;
import nettlewick.waiting.Plan.Wake;
import org.junit.jupiter.api.Test;

/** Graphs and calendars of waiting jobs: each job has one end, and none runs before what it comes after. */
class PlanTest {
    private static final Plan.Limits WIDE =
            new Plan.Limits(100_000, 100_000, 1 << 30, 1 << 30, 16, 20_000, 20_000, 1e9, 100_000);

    private final Plan plan = new Plan(WIDE);

    private static Ask ask(String name, OnFailure onFailure, String... after) {
        return new Ask("id-" + name, "m", name, List.of(after), 0, 1000, onFailure, 10);
    }

    private static List<String> ready(List<Effect> effects) {
        return effects.stream()
                .filter(e -> e instanceof Ready)
                .map(e -> ((Ready) e).id())
                .toList();
    }

    private static List<Done> done(List<Effect> effects) {
        return effects.stream()
                .filter(e -> e instanceof Done)
                .map(e -> (Done) e)
                .toList();
    }

    @Test
    void aSuccessorThatCameFirstIsReadyOnceItsPredecessorSucceeded() throws Exception {
        assertEquals(List.of(), ready(plan.accept(ask("b", OnFailure.FAIL, "a"), 0)));
        assertEquals(List.of("id-a"), ready(plan.accept(ask("a", OnFailure.FAIL), 1)));
        assertEquals(List.of("id-b"), ready(plan.ended("id-a", End.SUCCEEDED, 2)));
        assertEquals(List.of("id-c"), ready(plan.accept(ask("c", OnFailure.FAIL, "a"), 3)));
    }

    @Test
    void aRefusedPredecessorComesAgainUnderItsNameWithANewId() throws Exception {
        plan.accept(ask("b", OnFailure.FAIL, "a"), 0);
        plan.accept(ask("a", OnFailure.FAIL), 0);
        assertEquals(List.of(), plan.ended("id-a", End.REFUSED, 1));
        plan.accept(new Ask("id-a2", "m", "a", List.of(), 0, 1000, OnFailure.FAIL, 1), 2);
        assertEquals(List.of("id-b"), ready(plan.ended("id-a2", End.SUCCEEDED, 3)));
    }

    @Test
    void aFailureDecidesSuccessorsByWhatTheyAskedForThroughTheWholeChain() throws Exception {
        plan.accept(ask("top", OnFailure.FAIL), 0);
        plan.accept(ask("fails", OnFailure.FAIL, "top"), 0);
        plan.accept(ask("next", OnFailure.FAIL, "fails"), 0);
        plan.accept(ask("runs", OnFailure.RUN, "next"), 0);
        plan.accept(ask("skips", OnFailure.SKIP, "top"), 0);
        plan.accept(ask("after-skip", OnFailure.FAIL, "skips"), 0);
        List<Effect> effects = plan.ended("id-top", End.FAILED, 5);
        assertEquals(
                List.of(
                        new Done("id-fails", Fate.FAILED, "top failed"),
                        new Done("id-skips", Fate.SKIPPED, "top failed"),
                        new Done("id-next", Fate.FAILED, "fails failed, since top failed")),
                done(effects));
        assertEquals(Set.of("id-runs", "id-after-skip"), new HashSet<>(ready(effects)));
    }

    /**
     * Both sides of the race: the predecessor fails just before, and just after, its successor is accepted.
     */
    @Test
    void aPredecessorThatFailsWhileItsSuccessorIsAcceptedEndsItEitherWay() throws Exception {
        for (boolean before : new boolean[] {true, false}) {
            Plan one = new Plan(WIDE);
            one.accept(ask("a", OnFailure.FAIL), 0);
            List<Effect> effects = new ArrayList<>();
            if (before) {
                effects.addAll(one.ended("id-a", End.FAILED, 1));
                effects.addAll(one.accept(ask("b", OnFailure.FAIL, "a"), 1));
            } else {
                effects.addAll(one.accept(ask("b", OnFailure.FAIL, "a"), 1));
                effects.addAll(one.ended("id-a", End.FAILED, 1));
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
        assertEquals(List.of("id-left", "id-right"), ready(plan.ended("id-top", End.SUCCEEDED, 1)));
        assertEquals(1, done(plan.ended("id-left", End.FAILED, 2)).size());
        assertEquals(List.of(), plan.ended("id-right", End.SUCCEEDED, 3));
        assertEquals(0, plan.size());
    }

    @Test
    void cyclesAreRefusedAtTheEdgeThatClosesThem() throws Exception {
        plan.accept(ask("a", OnFailure.FAIL, "c"), 0);
        plan.accept(ask("b", OnFailure.FAIL, "a"), 0);
        assertThrows(Refused.class, () -> plan.accept(ask("c", OnFailure.FAIL, "b"), 0));
        assertThrows(Refused.class, () -> plan.accept(ask("d", OnFailure.FAIL, "d"), 0));
        assertEquals(2, plan.size());
        plan.accept(ask("c", OnFailure.FAIL), 0);
        assertEquals(List.of("id-a"), ready(plan.ended("id-c", End.SUCCEEDED, 1)));
    }

    /** Ended from the top, by a thread whose stack would not hold ten thousand calls of anything. */
    @Test
    void aChainAndAFanOfTenThousandEndFromTheTop() throws Exception {
        for (boolean chain : new boolean[] {true, false}) {
            Plan one = new Plan(WIDE);
            one.accept(ask("0", OnFailure.FAIL), 0);
            for (int i = 1; i <= 10_000; i++) {
                // The chain is made from its end, so that looking for cycles has nothing to walk.
                String name = chain ? Integer.toString(10_001 - i) : Integer.toString(i);
                String after = chain ? Integer.toString(10_000 - i) : "0";
                one.accept(ask(name, OnFailure.FAIL, after), 0);
            }
            List<Effect>[] effects = new List[1];
            Thread small = new Thread(null, () -> effects[0] = one.ended("id-0", End.FAILED, 1), "small", 128 * 1024);
            small.start();
            small.join();
            List<Done> all = done(effects[0]);
            assertEquals(10_000, all.size());
            assertEquals(10_000, all.stream().map(Done::id).distinct().count());
            assertTrue(all.stream()
                    .allMatch(d -> d.cause().contains("0 failed") && d.cause().length() < 80));
            assertEquals(0, one.size());
        }
    }

    @Test
    void nothingStartsBeforeItsTimeAndWhatWaitsTooLongEndsByWhatItAskedFor() throws Exception {
        List<Effect> effects = plan.accept(new Ask("t", "m", null, List.of(), 500, 900, OnFailure.FAIL, 1), 0);
        assertEquals(List.of(new Wake("t", 900), new Wake("t", 500)), effects);
        assertEquals(List.of(), plan.wake("t", 499));
        assertEquals(List.of("t"), ready(plan.wake("t", 500)));
        for (OnFailure policy : OnFailure.values()) {
            plan.accept(ask("x" + policy, policy, "never"), 0);
            List<Effect> late = plan.wake("id-x" + policy, 1000);
            assertEquals(1, late.size());
            assertEquals(policy == OnFailure.RUN, late.get(0) instanceof Ready);
        }
        List<Effect> held = new ArrayList<>();
        plan.accept(ask("h", OnFailure.FAIL, "z"), 0);
        assertTrue(plan.hold("id-h", true, 1, held));
        plan.told(new Plan.Name("m", "z"), true, 2);
        assertEquals(
                List.of(new Done("id-h", Fate.EXPIRED, "it was held until its time was over")),
                plan.wake("id-h", 1000));
    }

    @Test
    void anotherMembersNamesAreNotThere() throws Exception {
        plan.accept(ask("a", OnFailure.FAIL), 0);
        plan.accept(new Ask("o", "other", "x", List.of("a"), 0, 1000, OnFailure.FAIL, 1), 0);
        assertEquals(List.of(), ready(plan.ended("id-a", End.SUCCEEDED, 1)));
        plan.accept(new Ask("o2", "other", "a", List.of(), 0, 1000, OnFailure.FAIL, 1), 0);
        assertEquals(List.of("o"), ready(plan.ended("o2", End.SUCCEEDED, 2)));
    }

    @Test
    void limitsRefuseAndChangeNothing() throws Exception {
        Plan small = new Plan(new Plan.Limits(3, 2, 100, 30, 2, 1, 2, 5000, 10));
        small.accept(ask("a", OnFailure.FAIL), 0);
        small.accept(ask("b", OnFailure.FAIL, "a"), 0);
        assertTrue(assertThrows(Refused.class, () -> small.accept(ask("c", OnFailure.FAIL), 0))
                .full());
        small.accept(new Ask("n", "n", null, List.of(), 0, 9, OnFailure.FAIL, 1), 0);
        assertTrue(assertThrows(
                        Refused.class,
                        () -> small.accept(new Ask("n2", "n", null, List.of(), 0, 9, OnFailure.FAIL, 1), 0))
                .full());
        Plan other = new Plan(new Plan.Limits(9, 9, 100, 30, 2, 1, 2, 5000, 10));
        other.accept(ask("a", OnFailure.FAIL, "z"), 0);
        assertTrue(
                assertThrows(Refused.class, () -> other.accept(ask("b", OnFailure.FAIL, "z"), 0))
                        .full(),
                "fan");
        other.accept(ask("b", OnFailure.FAIL, "a"), 0);
        assertThrows(Refused.class, () -> other.accept(ask("c", OnFailure.FAIL, "b"), 0), "depth");
        assertThrows(Refused.class, () -> other.accept(ask("d", OnFailure.FAIL, "p", "q", "r"), 0), "fan in");
        assertThrows(
                Refused.class,
                () -> other.accept(new Ask("e", "m", null, List.of(), 0, 6000, OnFailure.FAIL, 1), 0),
                "too far ahead");
        assertTrue(
                assertThrows(
                                Refused.class,
                                () -> other.accept(new Ask("f", "m", null, List.of(), 0, 9, OnFailure.FAIL, 11), 0))
                        .full(),
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
        Plan one = new Plan(WIDE);
        Map<String, Ask> asked = new HashMap<>();
        Map<String, Boolean> ends = new HashMap<>();
        Set<String> released = new HashSet<>();
        Map<String, Done> finals = new HashMap<>();
        List<Wake> wakes = new ArrayList<>();
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
                Ask ask = new Ask(
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
                } catch (Refused e) {
                    assertTrue(!asked.containsKey(ask.id()));
                }
            } else if (what < 8 && !released.isEmpty()) {
                String id = released.stream()
                        .sorted()
                        .skip(random.nextInt(released.size()))
                        .findFirst()
                        .get();
                End end = End.values()[random.nextInt(3)];
                released.remove(id);
                if (asked.get(id).name() != null && end != End.REFUSED) {
                    ends.put(asked.get(id).name(), end == End.SUCCEEDED);
                }
                effects = one.ended(id, end, now);
            } else if (what == 8 && !asked.isEmpty()) {
                effects = one.cancel("j" + random.nextInt(step + 1), now);
            } else {
                effects = one.told(new Plan.Name("m", "n" + random.nextInt(12)), true, now);
                // The model learns of it by what follows: names that peers end are not checked for order.
            }
            take(effects, asked, released, finals, wakes, now);
            for (Wake wake : List.copyOf(wakes)) {
                if (wake.at() <= now) {
                    wakes.remove(wake);
                    take(one.wake(wake.id(), now), asked, released, finals, wakes, now);
                }
            }
        }
        // Past every time, nothing is left but what was released and has not been ended.
        now += 1000;
        for (Wake wake : List.copyOf(wakes)) {
            take(one.wake(wake.id(), now), asked, released, finals, wakes, now);
        }
        assertEquals(released.size(), one.size());
    }

    private static void take(
            List<Effect> effects,
            Map<String, Ask> asked,
            Set<String> released,
            Map<String, Done> finals,
            List<Wake> wakes,
            double now) {
        for (Effect e : effects) {
            if (e instanceof Ready r) {
                assertTrue(
                        now
                                >= asked.getOrDefault(
                                                r.id(), new Ask(r.id(), "m", null, List.of(), 0, 1, OnFailure.RUN, 0))
                                        .notBefore(),
                        "early: " + r);
                assertTrue(!finals.containsKey(r.id()), "released after its end: " + r);
                assertTrue(released.add(r.id()), "released twice: " + r);
            } else if (e instanceof Done d) {
                assertTrue(!released.contains(d.id()), "ended though released: " + d);
                assertEquals(null, finals.put(d.id(), d), "two ends: " + d);
                assertTrue(!d.cause().isBlank());
            } else if (e instanceof Wake w) {
                wakes.add(w);
            }
        }
    }
}
