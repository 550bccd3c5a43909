package nettlewick.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import nettlewick.decision.Action.Dispatch;
import nettlewick.decision.Action.Probe;
import nettlewick.decision.Action.Reject;
import nettlewick.decision.Action.Subscribe;
import nettlewick.decision.Event.Abandoned;
import nettlewick.decision.Event.Arrival;
import nettlewick.decision.Event.EndpointList;
import nettlewick.decision.Event.EndpointListFailed;
import nettlewick.decision.Event.Outcome;
import nettlewick.decision.Event.ProbeAnswer;
import nettlewick.decision.Event.Progress;
import nettlewick.decision.Event.StreamStarted;
import nettlewick.decision.Event.Timer;
import nettlewick.decision.SchedulerSettings.Idempotency;
import nettlewick.decision.SchedulerSettings.RequestClass;
import nettlewick.decision.SchedulerSettings.Scope;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Each failure found, as small as it can be told. */
class LogicTest {
    private final RequestScheduler logic = new RequestScheduler(Samples.settings(0, 3, true), 11);
    private long now = 1;
    private int jobs;

    private List<Action> at(long time, Event... events) {
        now = time;
        return logic.handle(now, List.of(events));
    }

    private Dispatch send(String jobClass) {
        List<Dispatch> sent = Samples.only(Dispatch.class, at(now + 1, Samples.arrival("j" + jobs++, jobClass, "red")));
        assertEquals(1, sent.size());
        return sent.get(0);
    }

    private void answers(double free, double waiting, int endpoints) {
        for (int i = 0; i < endpoints; i++) {
            at(now, Samples.answer("w" + i, free, waiting));
        }
    }

    @Test
    void ownSendsCountAgainstARoomyWorker() {
        at(1, Samples.workers(8));
        answers(3, 0, 8);
        Set<String> used = new HashSet<>();
        for (int i = 0; i < 4; i++) {
            used.add(send("read").endpoint());
        }
        assertTrue(used.size() >= 3, "four jobs herd onto " + used);
    }

    /** Guards against second copies that feed the queues of a full fleet: a silent job's needs room elsewhere. */
    @ParameterizedTest
    @ValueSource(ints = {0, 2})
    void aSecondCopyGoesOutOnlyWhereRoomIsSeen(int free) {
        at(1, Samples.workers(1));
        answers(3, 0, 1);
        at(now, new Arrival("lost", "read", "red", 5 * Samples.SECOND, 1, 0, 300 * Samples.MS, null, false));
        now += 510 * Samples.MS;
        Dispatch later = send("read");
        at(now, Samples.workers(4));
        answers(free, free == 0 ? 5 : 0, 4);
        at(now, new Progress(later.id(), 0, "w0", 0));
        List<Dispatch> again = Samples.only(Dispatch.class, at(now + 1, new Timer("beat")));
        assertEquals(free > 0, again.stream().anyMatch(d -> d.id().equals("lost")));
    }

    /** Guards against waiting for an attempt that never began, where some are known to be lost. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aJobThatHasNotBegunGoesOutAgainWhereOthersWereLost(boolean lost) {
        at(1, Samples.workers(4));
        answers(3, 0, 4);
        if (lost) {
            Dispatch gone = send("book");
            now += 1600 * Samples.MS;
            answers(3, 0, 4);
            at(now, new Timer("beat"));
            at(now, Samples.outcome(gone, 0, AttemptResult.TIMEOUT));
            now += 600 * Samples.MS;
            answers(3, 0, 4);
        }
        at(now, new Arrival("big", "read", "red", 5 * Samples.SECOND, 1, 0, Samples.SECOND, null, false));
        now += 700 * Samples.MS;
        answers(3, 0, 4);
        assertEquals(
                lost, !Samples.only(Dispatch.class, at(now, new Timer("beat"))).isEmpty());
    }

    /** Guards against a dispatcher that started into a release and leaves all workers that are cold alone. */
    @Test
    void oneThatHasJustStartedUsesColdWorkersToo() {
        at(
                10 * Samples.SECOND,
                new EndpointList(
                        true,
                        List.of(
                                Samples.entry("w0", EndpointState.READY, 0, "north", 0),
                                Samples.entry("w1", EndpointState.READY, 8 * Samples.SECOND, "north", 0))));
        answers(2, 0, 2);
        Set<String> used = new HashSet<>();
        for (int i = 0; i < 6; i++) {
            now += 100 * Samples.MS;
            answers(2, 0, 2);
            Samples.only(
                            Dispatch.class,
                            at(
                                    now,
                                    new Arrival(
                                            "c" + i,
                                            "read",
                                            "red",
                                            5 * Samples.SECOND,
                                            1,
                                            0,
                                            100 * Samples.MS,
                                            null,
                                            false)))
                    .forEach(d -> used.add(d.endpoint()));
        }
        assertEquals(Set.of("w0", "w1"), used);
    }

    /** Guards against worthy jobs that pile up at a slowed worker and make each other late. */
    @ParameterizedTest
    @ValueSource(ints = {0, 20})
    void aWorthyJobWaitsOnlyWhileItCanBeInTime(int waiting) {
        SchedulerSettings s = Samples.settings(0, 1, true);
        RequestScheduler one = new RequestScheduler(
                new SchedulerSettings(
                        0,
                        1,
                        s.zone(),
                        List.of(
                                Samples.jobClass("read", Idempotency.IDEMPOTENT, Scope.ALL, 2),
                                Samples.jobClass("dear", Idempotency.NON_IDEMPOTENT, Scope.ALL, 20)),
                        s.tenants(),
                        s.kinds(),
                        false,
                        false,
                        s.loadReporting(),
                        0,
                        s.limits(),
                        s.rules()),
                1);
        one.handle(
                1,
                List.of(
                        Samples.workers(1),
                        Samples.answer("w0", 2, 0),
                        Samples.arrival("a", "read", "red"),
                        Samples.arrival("b", "dear", "red")));
        long later = Samples.SECOND / 2;
        one.handle(
                later,
                List.of(
                        new Outcome("a", 0, "w0", AttemptResult.SERVED, later, true, null),
                        new Outcome("b", 0, "w0", AttemptResult.SERVED, later, true, null),
                        Samples.answer("w0", 0, waiting),
                        Samples.answer("w0", 0, waiting)));
        List<Action> actions = one.handle(
                later + 1,
                List.of(new Arrival("c", "dear", "red", 5 * Samples.SECOND, 1, 0, 300 * Samples.MS, null, false)));
        assertEquals(waiting > 0, actions.stream().anyMatch(Reject.class::isInstance), actions.toString());
    }

    /** Guards against machines of other zones that nobody watches, and that idle while the watched ones jam. */
    @Test
    void aSmallZonesPoolIsFilledFromTheOthers() {
        List<EndpointEntry> twelve = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            twelve.add(Samples.entry("w" + i, EndpointState.READY, 0, i < 3 ? "north" : "south" + i % 3, i));
        }
        at(1, new EndpointList(true, twelve));
        Set<String> asked = new HashSet<>();
        for (int beat = 1; beat <= 60; beat++) {
            for (Probe p : Samples.only(
                    Probe.class,
                    at(1 + beat * 100 * Samples.MS, new Timer("beat"), Samples.arrival("p" + beat, "read", "red")))) {
                asked.add(p.endpoint());
                at(now, Samples.answer(p.endpoint(), 2, 0));
            }
        }
        assertEquals(12, asked.size());
    }

    @Test
    void theOwnZoneComesFirstWhileItHasRoom() {
        at(1, Samples.workers(8));
        answers(1, 0, 8);
        at(now, Samples.answer("w1", 9, 0));
        assertEquals(0, Integer.parseInt(send("read").endpoint().substring(1)) % 2);
    }

    @Test
    void anErrorAtOnceIsTroubleThoughTheWorkerShowsRoom() {
        at(1, Samples.workers(8));
        answers(2, 0, 8);
        at(now, Samples.answer("w0", 9, 0));
        Dispatch first = send("book");
        assertEquals("w0", first.endpoint());
        at(now + 1, Samples.outcome(first, 0, AttemptResult.ERROR));
        for (int i = 0; i < 4; i++) {
            assertFalse(send("book").endpoint().equals("w0"));
        }
    }

    @Test
    void aSilentWorkerIsLeftAndItsRetryableJobGoesOutAgain() {
        at(1, Samples.workers(8));
        answers(2, 0, 8);
        for (int i = 0; i < 20; i++) {
            at(now + 50 * Samples.MS, Samples.outcome(send("read"), 0, AttemptResult.SERVED));
        }
        at(now, Samples.answer("w0", 9, 0));
        List<String> stuck = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            Dispatch sent = send(i == 0 ? "book" : "read");
            assertEquals("w0", sent.endpoint());
            stuck.add(sent.id());
        }
        List<Dispatch> again = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            answers(2, 0, 8);
            at(now, Samples.answer("w0", 9, 0));
            again.addAll(Samples.only(Dispatch.class, at(now + 100 * Samples.MS, new Timer("beat"))));
        }
        assertEquals(stuck.subList(1, 6), again.stream().map(Dispatch::id).toList(), "all but the fragile one, once");
        assertFalse(again.get(0).endpoint().equals("w0"));
    }

    @Test
    void aFullWorkerIsNotTriedAgainBeforeOthers() {
        at(1, Samples.workers(8));
        answers(0, 0, 8);
        Dispatch first = send("read");
        at(now + 1, Samples.outcome(first, 0, AttemptResult.OVERLOADED));
        assertFalse(send("read").endpoint().equals(first.endpoint()));
    }

    @Test
    void aJobThatWouldWaitPastItsAimIsRefusedEarly() {
        at(1, Samples.workers(8));
        answers(2, 0, 8);
        for (int i = 0; i < 20; i++) {
            at(now + 100 * Samples.MS, Samples.outcome(send("read"), 0, AttemptResult.SERVED));
            answers(2, 0, 8);
        }
        for (int i = 0; i < 4; i++) {
            at(now + 300 * Samples.MS, new Timer("beat"));
            answers(0, 40, 8);
        }
        List<Action> actions = at(now + 1, Samples.arrival("late", "read", "red"));
        assertEquals(1, Samples.only(Reject.class, actions).size(), actions.toString());
    }

    @Test
    void aTenantOverItsAllowanceIsRefusedBeforeOneWithin() {
        at(1, Samples.workers(8));
        answers(1, 0, 8);
        int[] refused = new int[2];
        int capacity = 0;
        for (int step = 0; step < 400; step++) {
            at(now + 25 * Samples.MS);
            answers(0, 0, 8);
            capacity = 3;
            if (step % 4 == 0) {
                at(now, new Timer("beat"));
            }
            for (int i = 0; i < 5; i++) {
                String tenant = i == 0 && step % 2 == 0 ? "blue" : "red";
                List<Action> actions = at(now, Samples.arrival("t" + jobs++, "book", tenant));
                if (step > 200) {
                    refused[tenant.equals("red") ? 0 : 1] +=
                            Samples.only(Reject.class, actions).size();
                }
                for (int attempt = 0; !actions.isEmpty() && actions.get(0) instanceof Dispatch d; attempt++) {
                    actions = at(
                            now,
                            Samples.outcome(
                                    d, attempt, capacity-- > 0 ? AttemptResult.SERVED : AttemptResult.OVERLOADED));
                }
            }
        }
        assertTrue(refused[0] > 100, "the flooding tenant was refused only " + refused[0]);
        assertTrue(refused[1] < 25 && refused[1] < refused[0] / 8, "the small tenant was refused " + refused[1]);
    }

    @Test
    void aKeyedJobAsksItsWorkersFirstAndStaysWithThem() {
        at(1, Samples.workers(8));
        Arrival keyed = new Arrival("k0", "read", "red", 5 * Samples.SECOND, 1, 0, 0, "album", false);
        List<Action> first = at(2, keyed);
        List<Probe> asked = Samples.only(Probe.class, first);
        assertFalse(asked.isEmpty());
        assertEquals(List.of(), Samples.only(Dispatch.class, first));
        asked.forEach(p -> at(3, Samples.answer(p.endpoint(), 2, 0)));
        Dispatch sent = Samples.only(Dispatch.class, at(2 + 13 * Samples.MS, new Timer("hold")))
                .get(0);
        RequestScheduler other = new RequestScheduler(Samples.settings(2, 3, true), 99);
        other.handle(1, List.of(Samples.workers(8)));
        other.handle(2, List.of(keyed));
        asked.forEach(p -> other.handle(3, List.of(Samples.answer(p.endpoint(), 2, 0))));
        assertEquals(
                sent.endpoint(),
                Samples.only(Dispatch.class, other.handle(2 + 13 * Samples.MS, List.of(new Timer("hold"))))
                        .get(0)
                        .endpoint());
    }

    @Test
    void aColdWorkerGetsNoOpeningBurst() {
        at(1, Samples.workers(8));
        answers(2, 0, 8);
        at(2, new EndpointList(false, List.of(Samples.entry("fresh", EndpointState.READY, 2, "north", 9))));
        at(3, Samples.answer("fresh", 9, 0));
        for (int i = 0; i < 20; i++) {
            assertFalse(send("read").endpoint().equals("fresh"));
        }
    }

    @Test
    void aDrainingOrMissingWorkerGetsNothing() {
        at(1, Samples.workers(2));
        at(2, new EndpointList(false, List.of(Samples.entry("w0", EndpointState.DRAINING, 0, "north", 0))));
        assertEquals("w1", send("read").endpoint());
        at(now, new EndpointList(true, List.of()));
        assertEquals(
                1,
                Samples.only(Reject.class, at(now + 1, Samples.arrival("none", "book", "red")))
                        .size());
    }

    @Test
    void theLastSlotOfAKindIsKeptForWorthierJobsBoundToIt() {
        SchedulerSettings s = Samples.settings(0, 3, true);
        RequestClass any = Samples.jobClass("any", Idempotency.IDEMPOTENT, Scope.ALL, 2);
        RequestClass bound = new RequestClass(
                "bound",
                Idempotency.IDEMPOTENT,
                Scope.ALL,
                0,
                200 * Samples.MS,
                2,
                5 * Samples.SECOND,
                8,
                0,
                false,
                1,
                0);
        RequestScheduler two = new RequestScheduler(
                new SchedulerSettings(
                        0,
                        3,
                        s.zone(),
                        List.of(any, bound),
                        s.tenants(),
                        List.of("box", "rare"),
                        false,
                        false,
                        s.loadReporting(),
                        0,
                        s.limits(),
                        s.rules()),
                5);
        two.handle(
                1,
                List.of(new EndpointList(
                        true,
                        List.of(
                                Samples.entry("w0", EndpointState.READY, 0, "north", 0),
                                new EndpointEntry("w1", EndpointState.READY, 0, 0, "rare", "north", 1)))));
        two.handle(2, List.of(Samples.answer("w0", 1, 0), Samples.answer("w1", 1.5, 0)));
        assertEquals(
                "w0",
                Samples.only(Dispatch.class, two.handle(3, List.of(Samples.arrival("a", "any", "red"))))
                        .get(0)
                        .endpoint());
        assertEquals(
                "w1",
                Samples.only(Dispatch.class, two.handle(3, List.of(Samples.arrival("b", "bound", "red"))))
                        .get(0)
                        .endpoint());
    }

    @Test
    void aBrokenSubscriptionIsRenewed() {
        SchedulerSettings s = Samples.settings(0, 3, true);
        RequestScheduler asking = new RequestScheduler(
                new SchedulerSettings(
                        0,
                        3,
                        s.zone(),
                        s.classes(),
                        s.tenants(),
                        s.kinds(),
                        true,
                        false,
                        s.loadReporting(),
                        0,
                        s.limits(),
                        s.rules()),
                5);
        assertEquals(
                1,
                Samples.only(Subscribe.class, asking.handle(1, List.of(Samples.workers(2))))
                        .size());
        asking.handle(2, List.of(new EndpointListFailed()));
        assertEquals(
                1,
                Samples.only(Subscribe.class, asking.handle(2 * Samples.SECOND, List.of(new Timer("beat"))))
                        .size());
    }

    @Test
    void oddInputIsSurvived() {
        at(
                1,
                new EndpointList(
                        true,
                        List.of(
                                Samples.entry("w0", EndpointState.READY, 0, null, 0),
                                Samples.entry("w0", EndpointState.READY, 0, null, 0),
                                new EndpointEntry("x", EndpointState.READY, 0, 0, "novel", "moon", 1))));
        at(
                1,
                new Abandoned("unknown"),
                new Outcome("unknown", 3, "w9", AttemptResult.SERVED, 1, true, null),
                new ProbeAnswer("w9", AttemptResult.TIMEOUT, 1, null),
                new Progress("unknown", 0, "w9", 1),
                new StreamStarted("unknown", 0),
                new Timer("novel"),
                new EndpointListFailed());
        assertEquals(
                1,
                Samples.only(Reject.class, at(1, new Arrival("odd", "novel", "nobody", 5, 1, 0, 0, null, false)))
                        .size());
        Dispatch sent = Samples.only(Dispatch.class, at(1, Samples.arrival("same", "read", "nobody")))
                .get(0);
        assertEquals(List.of(), at(0, Samples.arrival("same", "read", "nobody")), "an id twice is passed over");
        at(0, Samples.outcome(sent, 7, AttemptResult.SERVED), Samples.outcome(sent, 0, AttemptResult.SERVED));
        assertEquals(List.of(), Samples.only(Dispatch.class, at(1, Samples.outcome(sent, 0, AttemptResult.BROKEN))));
    }

    @Test
    void senselessSettingsAreRejectedByName() {
        SchedulerSettings s = Samples.settings(0, 3, true);
        IllegalArgumentException e = assertThrows(
                IllegalArgumentException.class,
                () -> new SchedulerSettings(
                        3,
                        3,
                        s.zone(),
                        s.classes(),
                        s.tenants(),
                        s.kinds(),
                        false,
                        false,
                        s.loadReporting(),
                        0,
                        s.limits(),
                        s.rules()));
        assertEquals("setting rank makes no sense: 3", e.getMessage());
        assertThrows(
                IllegalArgumentException.class,
                () -> new SchedulerSettings(
                        0,
                        3,
                        s.zone(),
                        List.of(),
                        s.tenants(),
                        s.kinds(),
                        false,
                        false,
                        s.loadReporting(),
                        0,
                        s.limits(),
                        s.rules()));
    }
}
