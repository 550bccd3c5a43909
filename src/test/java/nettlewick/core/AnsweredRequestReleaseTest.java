package nettlewick.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.lang.ref.WeakReference;
import java.nio.charset.StandardCharsets;
import java.util.List;
import nettlewick.core.Attempt.Outcome;
import nettlewick.decision.Action;
import nettlewick.decision.Action.Dispatch;
import nettlewick.decision.Action.Reject;
import nettlewick.decision.AttemptResult;
import nettlewick.decision.Event;
import nettlewick.decision.Event.Arrival;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The coordinator holds no request, and so no body, whose final answer is given, however late its deadline is. */
class AnsweredRequestReleaseTest extends RequestCoordinatorFixture {
    private static final double DEADLINE_MILLIS = 25_000;
    private static final double COST_HINT_MILLIS = 10;
    private static final double LONGER_THAN_THE_DEADLINE_MILLIS = 30_000;
    /** Metrics are sampled at shorter intervals than this. */
    private static final double SAMPLE_MILLIS = 100;

    private static final int MAX_COLLECTIONS = 50;
    private static final long COLLECTION_PAUSE_MILLIS = 10;
    private static final Outcome SERVED =
            new Outcome(AttemptResult.SERVED, "done".getBytes(StandardCharsets.UTF_8), null);

    private int timersBefore;

    @BeforeEach
    void countTimers() throws InterruptedException {
        advanceTo(SAMPLE_MILLIS);
        timersBefore = scheduledTimers();
    }

    private int scheduledTimers() {
        return coordinator.metrics().snapshot().coreBacklog().scheduledTimers();
    }

    /** Submits a request that the test itself does not keep in memory. */
    private WeakReference<Request> submitWeakly() {
        return submitWeakly(COST_HINT_MILLIS);
    }

    private WeakReference<Request> submitWeakly(double costHintMillis) {
        return new WeakReference<>(submit("a", DEADLINE_MILLIS, costHintMillis));
    }

    private void assertReleased(WeakReference<Request> request) throws InterruptedException {
        assertEquals(timersBefore, scheduledTimers());
        assertUnreachable(request);
    }

    private static void assertUnreachable(WeakReference<Request> request) throws InterruptedException {
        for (int i = 0; i < MAX_COLLECTIONS && request.get() != null; i++) {
            System.gc();
            Thread.sleep(COLLECTION_PAUSE_MILLIS);
        }
        assertNull(request.get(), "the request is still in memory");
    }

    /** Guards against a heap full of requests that were rejected at once and are held until their deadline. */
    @Test
    void aRejectedRequestIsReleased() throws InterruptedException {
        onArrival(new Reject("a", 0));
        WeakReference<Request> request = submitWeakly();
        advanceTo(2 * SAMPLE_MILLIS);
        assertEquals(List.of("rejected a 0.0"), sideEffects);
        assertReleased(request);
    }

    /** Guards against a heap full of bodies of requests that were served long ago. */
    @Test
    void aServedRequestIsReleased() throws InterruptedException {
        onArrival(new Dispatch("a", "w", 0));
        WeakReference<Request> request = submitWeakly();
        advanceTo(SAMPLE_MILLIS);
        coordinator.attemptEnded(sentAttempts.remove(0), SERVED);
        advanceTo(2 * SAMPLE_MILLIS);
        assertReleased(request);
    }

    /** Guards against holding a request for a client that has gone. */
    @Test
    void anAbandonedRequestIsReleased() throws InterruptedException {
        WeakReference<Request> request = submitWeakly();
        coordinator.abandon(request.get());
        advanceTo(2 * SAMPLE_MILLIS);
        assertReleased(request);
    }

    /** Guards against holding requests of clients that have gone for as long as a successor process is awaited. */
    @Test
    void anAbandonedRequestThatWasHeldForASuccessorIsReleased() throws InterruptedException {
        coordinator.expectSuccessor(START_MILLIS + DEADLINE_MILLIS, START_MILLIS + DEADLINE_MILLIS);
        WeakReference<Request> request = submitWeakly(LONGER_THAN_THE_DEADLINE_MILLIS);
        advanceTo(2 * SAMPLE_MILLIS);
        coordinator.abandon(request.get());
        advanceTo(3 * SAMPLE_MILLIS);
        assertUnreachable(request);
    }

    /** Guards against timeouts that stay behind for each attempt of a request that is sent again. */
    @Test
    void anEndedAttemptLeavesNoTimer() throws InterruptedException {
        script = e ->
                e instanceof Arrival || e instanceof Event.Outcome ? List.of(new Dispatch("a", "w", 0)) : List.of();
        submit("a", DEADLINE_MILLIS);
        advanceTo(2 * SAMPLE_MILLIS);
        int timersWithOneAttempt = scheduledTimers();
        coordinator.attemptEnded(sentAttempts.get(0), Outcome.of(AttemptResult.OVERLOADED));
        advanceTo(3 * SAMPLE_MILLIS);
        assertEquals(2, sentAttempts.size());
        assertEquals(timersWithOneAttempt, scheduledTimers());
    }

    /** Guards against timeouts that stay behind for each answered probe. */
    @Test
    void anAnsweredProbeLeavesNoTimer() throws InterruptedException {
        onArrival(new Action.Probe("w"), new Reject("a", 0));
        submit("a", DEADLINE_MILLIS);
        advanceTo(SAMPLE_MILLIS);
        coordinator.probeAnswered(probes.get(0), Outcome.of(AttemptResult.SERVED));
        advanceTo(2 * SAMPLE_MILLIS);
        assertEquals(timersBefore, scheduledTimers());
    }
}
