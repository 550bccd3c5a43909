package nettlewick.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import nettlewick.core.Attempt.Outcome;
import nettlewick.decision.Action;
import nettlewick.decision.Action.Dispatch;
import nettlewick.decision.Action.Reject;
import nettlewick.decision.AttemptResult;
import nettlewick.decision.Event.Arrival;
import nettlewick.decision.Event.EndpointList;
import nettlewick.decision.Event.ProbeAnswer;
import org.junit.jupiter.api.Test;

/** The books of the core, with a scripted module. */
class CoreTest extends CoreFixture {
    /** A core whose books only note, and let answers go when the test says so. */
    private List<UsageRecorder.FinishedRequest> kept(
            List<java.util.function.Consumer<UsageRecorder.Receipt>> waiting, double patience)
            throws InterruptedException {
        List<UsageRecorder.FinishedRequest> jobs = new ArrayList<>();
        books = new UsageRecorder() {
            @Override
            public Runnable settle(FinishedRequest job, java.util.function.Consumer<Receipt> send) {
                jobs.add(job);
                waiting.add(send);
                return () -> out.add("overdue " + job.request().id());
            }

            @Override
            public double patience() {
                return patience;
            }
        };
        open();
        return jobs;
    }

    /** Guards against long jobs lost with a process that is succeeded: see PartingTest for which. */
    @Test
    void whatWouldOutliveThisProcessIsHeldAndGivenBackUnsent() throws InterruptedException {
        script = e -> e instanceof Arrival a ? List.of(new Dispatch(a.id(), "w", 0)) : List.of();
        core.expectSuccessor(START + 4000, START + 7700);
        request("long", 60_000, 9000);
        request("gone", 60_000, 9000);
        at(1000);
        assertTrue(sent.isEmpty(), out.toString());
        core.startDraining(START + 5000);
        at(1300);
        request("after", 60_000, 9000);
        at(1400);
        assertEquals(List.of("refused long 0.0", "refused gone 0.0", "refused after 0.0"), out);
        request("short", 60_000, 900);
        at(1500);
        assertEquals("send short0", out.get(out.size() - 1));
        assertTrue(events.stream().noneMatch(e -> e instanceof Arrival a && !a.id().equals("short")));
    }

    /** Guards against a job that is held for good, or handed on after its client has gone. */
    @Test
    void whatIsHeldGoesOnIfTheEndDoesNotCome() throws InterruptedException {
        script = e -> e instanceof Arrival a ? List.of(new Dispatch(a.id(), "w", 0)) : List.of();
        core.expectSuccessor(START + 4000, START + 7700);
        request("late", 60_000, 9000);
        Request left = request("left", 60_000, 9000);
        at(10);
        core.abandon(left);
        at(4999);
        assertTrue(sent.isEmpty());
        at(5000);
        assertEquals(List.of("send late0"), out);
        core.expectSuccessor(START + 8000, START + 11_700);
        request("next", 60_000, 9000);
        at(5010);
        core.cancelDraining();
        at(5020);
        assertEquals(List.of("send late0", "send next0"), out);
    }

    /** A successor is made to wait for what ends only if it does, and for nothing else. */
    @Test
    void whetherWaitingSavesAJobIsToldByItsProgress() throws InterruptedException {
        script = e -> e instanceof Arrival a ? List.of(new Dispatch(a.id(), "w", 0)) : List.of();
        List<Boolean> saves = new ArrayList<>();
        request("job", 60_000, 4000);
        at(0);
        core.expectSuccessor(START + 4000, START + 7700);
        core.askWhetherWaitingHelps(3700, saves::add);
        at(1);
        core.reportProgress(sent.get(0), 0);
        at(2);
        core.reportProgress(sent.get(0), 0.8);
        at(1000);
        core.askWhetherWaitingHelps(3700, saves::add);
        at(1001);
        assertEquals(List.of(true, false), saves);
    }

    @Test
    void theBooksHearOfEachEndOnceWithWorkAndSpare() throws InterruptedException {
        List<java.util.function.Consumer<UsageRecorder.Receipt>> waiting = new ArrayList<>();
        List<UsageRecorder.FinishedRequest> jobs = kept(waiting, 50);
        script = e -> e instanceof Arrival a && a.id().equals("a")
                ? List.of(new Dispatch("a", "w", 0), new Dispatch("a", "w", 0))
                : e instanceof Arrival a && a.id().equals("r") ? List.of(new Reject("r", 0)) : List.of();
        request("a", 1000);
        at(0);
        core.reportProgress(sent.get(0), 0);
        at(10);
        core.reportProgress(sent.get(1), 0);
        at(25);
        core.reportProgress(sent.get(1), 0.5);
        core.attemptEnded(sent.get(1), new Outcome(AttemptResult.SERVED, new byte[0], null));
        at(25);
        assertEquals(1, jobs.size());
        UsageRecorder.FinishedRequest a = jobs.get(0);
        assertEquals(UsageRecorder.Ending.SERVED, a.ending());
        assertEquals(2, a.attempts());
        assertEquals(15_000, a.work(), "slot-microseconds of the attempt that served it");
        assertEquals(25_000, a.spare(), "of the one that still runs");
        assertEquals(false, a.estimate());
        assertTrue(out.stream().noneMatch(s -> s.startsWith("served")), "held until the books let it go");
        at(74);
        assertTrue(out.stream().noneMatch(s -> s.startsWith("overdue")));
        at(75);
        assertTrue(out.contains("overdue a"), "let go all the same after the patience");
        waiting.get(0).accept(UsageRecorder.Receipt.NONE);
        assertTrue(out.contains("served a"));
        request("r", 1000);
        core.abandon(request("l", 1000));
        request("a", 1000);
        at(80);
        assertEquals(
                List.of(
                        UsageRecorder.Ending.SERVED,
                        UsageRecorder.Ending.REFUSED,
                        UsageRecorder.Ending.LEFT,
                        UsageRecorder.Ending.FAILED),
                jobs.stream()
                        .map(UsageRecorder.FinishedRequest::ending)
                        .sorted(java.util.Comparator.comparingInt(e -> List.of(
                                        UsageRecorder.Ending.SERVED,
                                        UsageRecorder.Ending.REFUSED,
                                        UsageRecorder.Ending.LEFT,
                                        UsageRecorder.Ending.FAILED)
                                .indexOf(e)))
                        .toList());
    }

    @Test
    void workIsAnEstimateWhereNoStartIsTold() throws InterruptedException {
        List<UsageRecorder.FinishedRequest> jobs = kept(new ArrayList<>(), 0);
        onArrival(new Dispatch("a", "w", 0));
        request("a", 1000);
        at(5);
        core.attemptEnded(sent.get(0), new Outcome(AttemptResult.SERVED, new byte[0], null));
        at(6);
        assertEquals(1500, jobs.get(0).work(), "the hint, 1.5 ms");
        assertTrue(jobs.get(0).estimate());
    }

    @Test
    void timeIsTurnedIntoTheModulesNanosecondsHere() throws InterruptedException {
        request("a", 250.5);
        at(100);
        Arrival arrival = (Arrival) events.get(1);
        assertEquals(1_000_100_000_000L, decidedAt);
        assertEquals(150_500_000, arrival.remaining());
        assertEquals(1_500_000, arrival.costHint());
        assertEquals(2_500_000, ((EndpointList) events.get(0)).entries().get(0).startedAt());
    }

    /** Guards against one client's id in another's hands: the first is left alone, and nothing runs twice. */
    @Test
    void anIdIsTakenOnceWhileItsRequestIsOpenAndAfter() throws InterruptedException {
        onArrival(new Dispatch("a", "w", 0));
        request("a", 1000);
        at(0);
        request("a", 1000);
        at(1);
        core.attemptEnded(sent.get(0), new Outcome(AttemptResult.SERVED, new byte[0], null));
        at(2);
        request("a", 1000);
        at(3);
        assertEquals(List.of("send a0", "failed a", "served a", "failed a"), out);
    }

    @Test
    void nothingIsSentToARunnerThatDrainsOrIsUnknownNorBeyondTheCap() throws InterruptedException {
        onArrival(new Dispatch("a", "d", 0), new Dispatch("a", "x", 0), new Dispatch("a", "w", 0));
        request("a", 100);
        at(0);
        assertEquals(List.of(AttemptResult.OVERLOADED, AttemptResult.UNREACHABLE, AttemptResult.NOT_SENT), results());
        assertEquals(List.of(), out);
    }

    @Test
    void anIdThatIsOpenAndRequestsOverTheMostNeverReachTheModule() throws InterruptedException {
        request("a", 100);
        request("a", 100);
        request("b", 100);
        request("c", 100);
        at(0);
        assertEquals(List.of("failed a", "refused c 0.0"), out);
        assertEquals(2, events.stream().filter(e -> e instanceof Arrival).count());
    }

    @Test
    void aProbeHasOneAnswer() throws InterruptedException {
        onArrival(new Action.Probe("w"), new Action.Probe("w"));
        request("a", 5000);
        at(0);
        core.probeAnswered(asked.get(0), Outcome.of(AttemptResult.SERVED));
        at(10);
        at(1001);
        core.probeAnswered(asked.get(1), Outcome.of(AttemptResult.SERVED));
        at(1002);
        assertEquals(
                List.of(AttemptResult.SERVED, AttemptResult.TIMEOUT),
                events.stream()
                        .filter(e -> e instanceof ProbeAnswer)
                        .map(e -> ((ProbeAnswer) e).result())
                        .toList());
    }

    /** Guards the thread that all requests depend on against a fault in the module. */
    @Test
    void aFaultOfTheModuleEndsNothing() throws InterruptedException {
        script = e -> {
            throw new IllegalStateException("made up");
        };
        request("a", 100);
        at(0);
        script = e -> List.of();
        at(200);
        assertEquals(List.of("failed a"), out);
    }
}
