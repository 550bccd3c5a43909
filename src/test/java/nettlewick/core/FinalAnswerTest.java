package nettlewick.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import nettlewick.core.Attempt.Outcome;
import nettlewick.decision.Action.Dispatch;
import nettlewick.decision.Action.Fail;
import nettlewick.decision.Action.Reject;
import nettlewick.decision.AttemptResult;
import nettlewick.decision.Event;
import nettlewick.decision.Event.Abandoned;
import nettlewick.decision.Event.Arrival;
import org.junit.jupiter.api.Test;

/** Each request gets exactly one final answer by its deadline, and no attempt is sent afterwards. */
class FinalAnswerTest extends RequestCoordinatorFixture {
    /** Guards against failing a request that the module would reject, after a pause of the core thread. */
    @Test
    void theModuleHandlesADeadlineBeforeTheGuardActs() throws InterruptedException {
        script = e -> e instanceof Arrival
                ? List.of(new Dispatch("a", "w", 0))
                : e instanceof Event.Outcome ? List.of(new Reject("a", 0)) : List.of();
        submit("a", 100);
        advanceTo(1);
        advanceTo(200);
        assertTrue(sideEffects.contains("rejected a 0.0") && !sideEffects.contains("failed a"), sideEffects.toString());
    }

    /** Under high load every iteration has pending events, so the answer must not wait for one without any. */
    @Test
    void deadlineAnswerDoesNotWaitForPendingEventsToRunOut() throws InterruptedException {
        submit("a", 100);
        advanceTo(0);
        for (int iteration = 0; iteration < 3; iteration++) {
            coordinator.receivePeerMessage(1, new byte[0]);
            clock.advanceTo(START_MILLIS + 111 + iteration);
            coordinator.runIteration(0);
        }
        assertEquals(List.of("rejected a 200.0"), sideEffects);
    }

    /** Guards against answering "may have run" for a request that was never sent. */
    @Test
    void aRequestThatArrivesAfterItsDeadlineIsRejectedUnsent() throws InterruptedException {
        submit("a", 0);
        advanceTo(0);
        assertEquals(List.of("rejected a 200.0"), sideEffects);
    }

    /** No attempt may start for a request that has a final answer or whose deadline has passed. */
    @Test
    void anAttemptMayStartOnlyWhileItsRequestIsUndecidedAndTimeIsLeft() throws InterruptedException {
        onArrival(new Dispatch("a", "w", 0));
        Request a = submit("a", 100);
        advanceTo(0);
        Attempt attempt = sentAttempts.get(0);
        assertTrue(attempt.mayStart(START_MILLIS + 99));
        assertTrue(!attempt.mayStart(START_MILLIS + 100));
        coordinator.abandon(a);
        advanceTo(1);
        assertTrue(!attempt.mayStart(START_MILLIS + 2));
    }

    /** One outcome per dispatch and one final answer per request. */
    @Test
    void onlyTheFirstEndCounts() throws InterruptedException {
        onArrival(new Dispatch("a", "w", 0), new Dispatch("a", "w", 0));
        submit("a", 1000);
        advanceTo(0);
        coordinator.attemptEnded(sentAttempts.get(0), new Outcome(AttemptResult.SERVED, new byte[0], null));
        coordinator.attemptEnded(sentAttempts.get(0), Outcome.of(AttemptResult.BROKEN));
        coordinator.attemptEnded(sentAttempts.get(1), new Outcome(AttemptResult.SERVED, new byte[0], null));
        advanceTo(2000);
        assertEquals(List.of("send a0", "send a1", "served a"), sideEffects);
        assertEquals(List.of(AttemptResult.SERVED, AttemptResult.SERVED), attemptResults());
        assertTrue(moduleEvents.stream()
                .filter(e -> e instanceof Event.Outcome)
                .allMatch(e -> ((Event.Outcome) e).isFinal()));
    }

    @Test
    void anAttemptTimesOutAtItsTimeoutAndAtTheDeadlineAtTheLatest() throws InterruptedException {
        onArrival(new Dispatch("a", "w", 50_000_000), new Dispatch("a", "w", 0));
        submit("a", 100);
        advanceTo(0);
        advanceTo(49.9);
        assertEquals(List.of(), attemptResults());
        advanceTo(50);
        assertEquals(List.of(AttemptResult.TIMEOUT), attemptResults());
        advanceTo(100);
        assertEquals(List.of(AttemptResult.TIMEOUT, AttemptResult.TIMEOUT), attemptResults());
        assertEquals(List.of("send a0", "send a1", "cancel a0", "cancel a1"), sideEffects);
    }

    /** Guards against a client without an answer if the module loses track of its request. */
    @Test
    void aRequestLeftUnansweredIsEndedAtItsDeadline() throws InterruptedException {
        submit("a", 100);
        advanceTo(0);
        advanceTo(111);
        assertEquals(List.of("rejected a 200.0"), sideEffects);
        assertTrue(moduleEvents.contains(new Abandoned("a")));
    }

    /** Guards against answering "may have run" for a request whose attempts are all proven not to have run. */
    @Test
    void aRequestWhoseAttemptsNeverRanIsRejectedAtItsDeadline() throws InterruptedException {
        onArrival(new Dispatch("a", "w", 0));
        submitNonIdempotent("a", 100);
        advanceTo(0);
        coordinator.attemptEnded(sentAttempts.get(0), Outcome.of(AttemptResult.UNREACHABLE));
        advanceTo(111);
        assertEquals(List.of("send a0", "rejected a 200.0"), sideEffects);
    }

    /** Guards against answering "has not run" for a request that its endpoint may still execute. */
    @Test
    void aRequestThatMayHaveRunIsFailedAtItsDeadline() throws InterruptedException {
        onArrival(new Dispatch("a", "w", 0));
        submitNonIdempotent("a", 100);
        advanceTo(0);
        advanceTo(111);
        assertEquals(List.of("send a0", "cancel a0", "failed a"), sideEffects);
    }

    /** Guards against requests that are unanswered at the kill, whether they arrive before or after the signal. */
    @Test
    void answerAllNowEndsRequestsInFlightAndRejectsLaterOnes() throws InterruptedException {
        script = e -> e instanceof Arrival a && a.id().equals("b") ? List.of(new Dispatch("b", "w", 0)) : List.of();
        submit("a", 5000);
        advanceTo(0);
        submit("b", 5000);
        advanceTo(10);
        coordinator.answerAllNow();
        advanceTo(20);
        submit("c", 5000);
        advanceTo(30);
        assertEquals(List.of("send b0", "rejected a 1000.0", "rejected b 1000.0", "rejected c 1000.0"), sideEffects);
        assertTrue(moduleEvents.contains(new Abandoned("a")) && moduleEvents.contains(new Abandoned("b")));
    }

    @Test
    void anAbandonedRequestGetsNoAnswerAndIsNotSent() throws InterruptedException {
        script = e -> e instanceof Abandoned ? List.of(new Dispatch("a", "w", 0), new Fail("a")) : List.of();
        Request a = submit("a", 100);
        advanceTo(0);
        coordinator.abandon(a);
        advanceTo(200);
        assertEquals(List.of(), sideEffects);
    }

    /** Guards against a second run of a request after so many others that its id is forgotten. */
    @Test
    void theIdOfANonIdempotentRequestIsNotDisplacedByOtherRequests() throws InterruptedException {
        script = e -> e instanceof Arrival a ? List.of(new Dispatch(a.id(), "w", 0)) : List.of();
        coordinator.abandon(submitNonIdempotent("once", 10_000));
        advanceTo(1);
        script = e -> e instanceof Arrival a ? List.of(new Reject(a.id(), 0)) : List.of();
        for (int i = 0; i <= InFlightTable.MAX_FINISHED_IDS; i++) {
            submit("other" + i, 10_000);
            advanceTo(2);
        }
        sideEffects.clear();
        submitNonIdempotent("once", 10_000);
        advanceTo(3);
        assertEquals(List.of("failed once"), sideEffects);
    }

    /** Guards against a request that another process of this dispatcher has accepted and that must not run twice. */
    @Test
    void aNonIdempotentRequestThatAnotherProcessHasAcceptedIsFailedUnsent() throws InterruptedException {
        coordinator.setAcceptedIds(id -> !id.startsWith("elsewhere"));
        script = e -> e instanceof Arrival a ? List.of(new Dispatch(a.id(), "w", 0)) : List.of();
        submitNonIdempotent("elsewhere", 10_000);
        submit("elsewhere-but-repeatable", 10_000);
        advanceTo(1);
        assertEquals(List.of("failed elsewhere", "send elsewhere-but-repeatable0"), sideEffects);
    }
}
