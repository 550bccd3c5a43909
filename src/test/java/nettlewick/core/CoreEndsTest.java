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

/** How requests end in the core: once, in time, and with nothing sent on after it. */
class CoreEndsTest extends CoreFixture {
    /** Guards against a job failed here, after a pause, in the turn in which the module would refuse it. */
    @Test
    void theModuleHearsOfADeadlineBeforeTheCoreActsOnIt() throws InterruptedException {
        script = e -> e instanceof Arrival
                ? List.of(new Dispatch("a", "w", 0))
                : e instanceof Event.Outcome ? List.of(new Reject("a", 0)) : List.of();
        request("a", 100);
        at(1);
        at(200);
        assertTrue(out.contains("refused a 0.0") && !out.contains("failed a"), out.toString());
    }

    /** Guards against a final answer that waits for a turn without news, which a flood on other connections never has. */
    @Test
    void theLastAnswerDoesNotWaitForTheFloodToEnd() throws InterruptedException {
        request("a", 100);
        at(0);
        for (int turn = 0; turn < 3; turn++) {
            core.receivePeerMessage(1, new byte[0]);
            clock.set(START + 111 + turn);
            core.turn(0);
        }
        assertEquals(List.of("failed a"), out);
    }

    /** Guards against a request that waited behind others until its time was up, and is told that it may have run. */
    @Test
    void whatComesAfterItsDeadlineWasNeverSentAndIsRefused() throws InterruptedException {
        request("a", 0);
        at(0);
        assertEquals(List.of("refused a 0.0"), out);
    }

    /** Guards against an attempt that begins for a request whose end is decided, or whose time is up. */
    @Test
    void anAttemptMayBeginOnlyWhileItsRequestIsOpenAndTimeIsLeft() throws InterruptedException {
        onArrival(new Dispatch("a", "w", 0));
        Request a = request("a", 100);
        at(0);
        Attempt attempt = sent.get(0);
        assertTrue(attempt.mayBegin(START + 99));
        assertTrue(!attempt.mayBegin(START + 100));
        core.abandon(a);
        at(1);
        assertTrue(!attempt.mayBegin(START + 2));
    }

    /** Guards the rules of one outcome for each dispatch and one final answer for each request. */
    @Test
    void onlyTheFirstEndCounts() throws InterruptedException {
        onArrival(new Dispatch("a", "w", 0), new Dispatch("a", "w", 0));
        request("a", 1000);
        at(0);
        core.attemptEnded(sent.get(0), new Outcome(AttemptResult.SERVED, new byte[0], null));
        core.attemptEnded(sent.get(0), Outcome.of(AttemptResult.BROKEN));
        core.attemptEnded(sent.get(1), new Outcome(AttemptResult.SERVED, new byte[0], null));
        at(2000);
        assertEquals(List.of("send a0", "send a1", "served a"), out);
        assertEquals(List.of(AttemptResult.SERVED, AttemptResult.SERVED), results());
        assertTrue(
                events.stream().filter(e -> e instanceof Event.Outcome).allMatch(e -> ((Event.Outcome) e).settled()));
    }

    @Test
    void anAttemptTimesOutAtItsTimeAndAtTheDeadlineAtTheLatest() throws InterruptedException {
        onArrival(new Dispatch("a", "w", 50_000_000), new Dispatch("a", "w", 0));
        request("a", 100);
        at(0);
        at(49.9);
        assertEquals(List.of(), results());
        at(50);
        assertEquals(List.of(AttemptResult.TIMEOUT), results());
        at(100);
        assertEquals(List.of(AttemptResult.TIMEOUT, AttemptResult.TIMEOUT), results());
        assertEquals(List.of("send a0", "send a1", "drop a0", "drop a1"), out);
    }

    /** Guards against a request that the module forgets: its client gets an answer all the same. */
    @Test
    void aRequestLeftOpenIsFailedAtItsDeadline() throws InterruptedException {
        request("a", 100);
        at(0);
        at(111);
        assertEquals(List.of("failed a"), out);
        assertTrue(events.contains(new Abandoned("a")));
    }

    /** Guards against a kill that finds unanswered what was taken, before the signal or after it. */
    @Test
    void allThatIsOpenIsEndedBeforeTheKillAndWhatComesLaterIsRefused() throws InterruptedException {
        script = e -> e instanceof Arrival a && a.id().equals("b") ? List.of(new Dispatch("b", "w", 0)) : List.of();
        request("a", 5000);
        at(0);
        request("b", 5000);
        at(10);
        core.answerAllNow();
        at(20);
        request("c", 5000);
        at(30);
        assertEquals(List.of("send b0", "refused a 1000.0", "refused b 1000.0", "refused c 1000.0"), out);
        assertTrue(events.contains(new Abandoned("a")) && events.contains(new Abandoned("b")));
    }

    @Test
    void anAbandonedRequestIsOwedNothingAndNotSentAnyMore() throws InterruptedException {
        script = e -> e instanceof Abandoned ? List.of(new Dispatch("a", "w", 0), new Fail("a")) : List.of();
        Request a = request("a", 100);
        at(0);
        core.abandon(a);
        at(200);
        assertEquals(List.of(), out);
    }
}
