package nettlewick.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Consumer;
import nettlewick.core.Attempt.Outcome;
import nettlewick.decision.Action;
import nettlewick.decision.Action.Dispatch;
import nettlewick.decision.Action.Reject;
import nettlewick.decision.AttemptResult;
import nettlewick.decision.Event.Arrival;
import nettlewick.decision.Event.EndpointList;
import nettlewick.decision.Event.ProbeAnswer;
import org.junit.jupiter.api.Test;

/** How the coordinator handles requests, attempts and probes, with a scripted decision module. */
class RequestCoordinatorTest extends RequestCoordinatorFixture {
    /** Creates a coordinator whose recorder collects records and holds the answers until the test releases them. */
    private List<UsageRecorder.FinishedRequest> createWithRecorder(
            List<Consumer<UsageRecorder.DeliveryCallback>> heldAnswers, double timeoutMillis)
            throws InterruptedException {
        List<UsageRecorder.FinishedRequest> records = new ArrayList<>();
        usageRecorder = new UsageRecorder() {
            @Override
            public Runnable record(FinishedRequest finished, Consumer<DeliveryCallback> release) {
                records.add(finished);
                heldAnswers.add(release);
                return () -> sideEffects.add("overdue " + finished.request().id());
            }

            @Override
            public double timeoutMillis() {
                return timeoutMillis;
            }
        };
        createCoordinator();
        return records;
    }

    /** Guards against losing long requests at a hot restart; {@link DrainPolicyTest} covers which are held. */
    @Test
    void requestsThatWouldOutliveTheProcessAreHeldAndRejectedUnsent() throws InterruptedException {
        script = e -> e instanceof Arrival a ? List.of(new Dispatch(a.id(), "w", 0)) : List.of();
        coordinator.expectSuccessor(START_MILLIS + 4000, START_MILLIS + 7700);
        submit("long", 60_000, 9000);
        submit("gone", 60_000, 9000);
        advanceTo(1000);
        assertTrue(sentAttempts.isEmpty(), sideEffects.toString());
        coordinator.startDraining(START_MILLIS + 5000);
        advanceTo(1300);
        submit("after", 60_000, 9000);
        advanceTo(1400);
        assertEquals(List.of("rejected long 200.0", "rejected gone 200.0", "rejected after 200.0"), sideEffects);
        submit("short", 60_000, 900);
        advanceTo(1500);
        assertEquals("send short0", sideEffects.get(sideEffects.size() - 1));
        assertTrue(moduleEvents.stream().noneMatch(e -> e instanceof Arrival a && !a.id().equals("short")));
    }

    /** Guards against holding a request forever, and against forwarding it after its client has disconnected. */
    @Test
    void heldRequestsProceedWhenDrainingDoesNotStart() throws InterruptedException {
        script = e -> e instanceof Arrival a ? List.of(new Dispatch(a.id(), "w", 0)) : List.of();
        coordinator.expectSuccessor(START_MILLIS + 4000, START_MILLIS + 7700);
        submit("late", 60_000, 9000);
        Request abandoned = submit("left", 60_000, 9000);
        advanceTo(10);
        coordinator.abandon(abandoned);
        advanceTo(4999);
        assertTrue(sentAttempts.isEmpty());
        advanceTo(5000);
        assertEquals(List.of("send late0"), sideEffects);
        coordinator.expectSuccessor(START_MILLIS + 8000, START_MILLIS + 11_700);
        submit("next", 60_000, 9000);
        advanceTo(5010);
        coordinator.cancelDraining();
        advanceTo(5020);
        assertEquals(List.of("send late0", "send next0"), sideEffects);
    }

    /** A successor delays draining only for requests that then end in time. */
    @Test
    void reportedProgressDecidesWhetherDelayingDrainSavesARequest() throws InterruptedException {
        script = e -> e instanceof Arrival a ? List.of(new Dispatch(a.id(), "w", 0)) : List.of();
        List<Boolean> delayHelps = new ArrayList<>();
        submit("job", 60_000, 4000);
        advanceTo(0);
        coordinator.expectSuccessor(START_MILLIS + 4000, START_MILLIS + 7700);
        coordinator.queryWhetherDelayingDrainHelps(3700, delayHelps::add);
        advanceTo(1);
        coordinator.reportProgress(sentAttempts.get(0), 0);
        advanceTo(2);
        coordinator.reportProgress(sentAttempts.get(0), 0.8);
        advanceTo(1000);
        coordinator.queryWhetherDelayingDrainHelps(3700, delayHelps::add);
        advanceTo(1001);
        assertEquals(List.of(true, false), delayHelps);
    }

    @Test
    void usageRecorderSeesEachEndOnceWithServedAndExtraWork() throws InterruptedException {
        List<Consumer<UsageRecorder.DeliveryCallback>> heldAnswers = new ArrayList<>();
        List<UsageRecorder.FinishedRequest> records = createWithRecorder(heldAnswers, 50);
        script = e -> e instanceof Arrival a && a.id().equals("a")
                ? List.of(new Dispatch("a", "w", 0), new Dispatch("a", "w", 0))
                : e instanceof Arrival a && a.id().equals("r") ? List.of(new Reject("r", 0)) : List.of();
        submit("a", 1000);
        advanceTo(0);
        coordinator.reportProgress(sentAttempts.get(0), 0);
        advanceTo(10);
        coordinator.reportProgress(sentAttempts.get(1), 0);
        advanceTo(25);
        coordinator.reportProgress(sentAttempts.get(1), 0.5);
        coordinator.attemptEnded(sentAttempts.get(1), new Outcome(AttemptResult.SERVED, new byte[0], null));
        advanceTo(25);
        assertEquals(1, records.size());
        UsageRecorder.FinishedRequest a = records.get(0);
        assertEquals(UsageRecorder.Ending.SERVED, a.ending());
        assertEquals(2, a.attemptCount());
        assertEquals(15_000, a.workSlotMicros(), "slot-microseconds of the attempt that served it");
        assertEquals(25_000, a.extraWorkSlotMicros(), "slot-microseconds of the attempt that still runs");
        assertEquals(false, a.isEstimate());
        assertTrue(
                sideEffects.stream().noneMatch(s -> s.startsWith("served")),
                "the answer is held back until the recorder releases it");
        advanceTo(74);
        assertTrue(sideEffects.stream().noneMatch(s -> s.startsWith("overdue")));
        advanceTo(75);
        assertTrue(sideEffects.contains("overdue a"), "the recorder's timeout releases the answer");
        heldAnswers.get(0).accept(UsageRecorder.DeliveryCallback.NONE);
        assertTrue(sideEffects.contains("served a"));
        submit("r", 1000);
        coordinator.abandon(submit("l", 1000));
        submit("a", 1000);
        advanceTo(80);
        assertEquals(
                List.of(
                        UsageRecorder.Ending.SERVED,
                        UsageRecorder.Ending.REFUSED,
                        UsageRecorder.Ending.LEFT,
                        UsageRecorder.Ending.FAILED),
                records.stream()
                        .map(UsageRecorder.FinishedRequest::ending)
                        .sorted(Comparator.comparingInt(e -> List.of(
                                        UsageRecorder.Ending.SERVED,
                                        UsageRecorder.Ending.REFUSED,
                                        UsageRecorder.Ending.LEFT,
                                        UsageRecorder.Ending.FAILED)
                                .indexOf(e)))
                        .toList());
    }

    @Test
    void workIsAnEstimateWhenNoStartWasReported() throws InterruptedException {
        List<UsageRecorder.FinishedRequest> records = createWithRecorder(new ArrayList<>(), 0);
        onArrival(new Dispatch("a", "w", 0));
        submit("a", 1000);
        advanceTo(5);
        coordinator.attemptEnded(sentAttempts.get(0), new Outcome(AttemptResult.SERVED, new byte[0], null));
        advanceTo(6);
        assertEquals(1500, records.get(0).workSlotMicros(), "the hint, 1.5 ms");
        assertTrue(records.get(0).isEstimate());
    }

    @Test
    void timesReachTheModuleInNanoseconds() throws InterruptedException {
        submit("a", 250.5);
        advanceTo(100);
        Arrival arrival = (Arrival) moduleEvents.get(1);
        assertEquals(1_000_100_000_000L, lastDecisionNanos);
        assertEquals(150_500_000, arrival.remainingNanos());
        assertEquals(1_500_000, arrival.costHintNanos());
        assertEquals(
                2_500_000, ((EndpointList) moduleEvents.get(0)).entries().get(0).startedAt());
    }

    /** Guards against a second request with the same id, which would disturb the first or execute it twice. */
    @Test
    void aRequestIdIsAcceptedOnceInFlightAndAfterwards() throws InterruptedException {
        onArrival(new Dispatch("a", "w", 0));
        submit("a", 1000);
        advanceTo(0);
        submit("a", 1000);
        advanceTo(1);
        coordinator.attemptEnded(sentAttempts.get(0), new Outcome(AttemptResult.SERVED, new byte[0], null));
        advanceTo(2);
        submit("a", 1000);
        advanceTo(3);
        assertEquals(List.of("send a0", "failed a", "served a", "failed a"), sideEffects);
    }

    @Test
    void nothingIsSentToDrainingOrUnknownEndpointsNorBeyondTheAttemptLimit() throws InterruptedException {
        onArrival(new Dispatch("a", "d", 0), new Dispatch("a", "x", 0), new Dispatch("a", "w", 0));
        submit("a", 100);
        advanceTo(0);
        assertEquals(
                List.of(AttemptResult.OVERLOADED, AttemptResult.UNREACHABLE, AttemptResult.NOT_SENT), attemptResults());
        assertEquals(List.of(), sideEffects);
    }

    @Test
    void duplicateIdsAndRequestsOverTheLimitNeverReachTheModule() throws InterruptedException {
        submit("a", 100);
        submit("a", 100);
        submit("b", 100);
        submit("c", 100);
        advanceTo(0);
        assertEquals(List.of("failed a", "rejected c 0.0"), sideEffects);
        assertEquals(2, moduleEvents.stream().filter(e -> e instanceof Arrival).count());
    }

    @Test
    void aProbeHasOneAnswer() throws InterruptedException {
        onArrival(new Action.Probe("w"), new Action.Probe("w"));
        submit("a", 5000);
        advanceTo(0);
        coordinator.probeAnswered(probes.get(0), Outcome.of(AttemptResult.SERVED));
        advanceTo(10);
        advanceTo(1001);
        coordinator.probeAnswered(probes.get(1), Outcome.of(AttemptResult.SERVED));
        advanceTo(1002);
        assertEquals(
                List.of(AttemptResult.SERVED, AttemptResult.TIMEOUT),
                moduleEvents.stream()
                        .filter(e -> e instanceof ProbeAnswer)
                        .map(e -> ((ProbeAnswer) e).result())
                        .toList());
    }

    /** Guards against an exception in the module that terminates the core thread, on which all requests depend. */
    @Test
    void aModuleFaultDoesNotStopTheLoop() throws InterruptedException {
        script = e -> {
            throw new IllegalStateException("simulated module failure");
        };
        submit("a", 100);
        advanceTo(0);
        script = e -> List.of();
        advanceTo(200);
        assertEquals(List.of("rejected a 200.0"), sideEffects);
    }
}
