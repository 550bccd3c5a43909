package nettlewick.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.util.ArrayList;
import java.util.List;
import nettlewick.decision.Action.Dispatch;
import nettlewick.decision.Event.Arrival;
import nettlewick.decision.Event.Progress;
import nettlewick.decision.Event.Timer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Which attempts are detected as lost or overdue, and which of their requests are hedged. */
class AttemptMonitorTest extends SchedulerFixture {
    /** Guards against hedged requests that lengthen the queues of a full fleet: each needs room at another endpoint. */
    @ParameterizedTest
    @ValueSource(ints = {0, 2})
    void aHedgedRequestIsSentOnlyWhereRoomIsSeen(int freeSlots) {
        at(1, Samples.endpoints(1));
        answerProbes(3, 0, 1);
        at(now, new Arrival("lost", "read", "red", 5 * Samples.SECOND, 1, 0, 300 * Samples.MS, null, false));
        now += 510 * Samples.MS;
        Dispatch laterRequest = send("read");
        at(now, Samples.endpoints(4));
        answerProbes(freeSlots, freeSlots == 0 ? 5 : 0, 4);
        at(now, new Progress(laterRequest.id(), 0, "w0", 0));
        List<Dispatch> retried = Samples.actionsOfType(Dispatch.class, at(now + 1, new Timer("beat")));
        assertEquals(freeSlots > 0, retried.stream().anyMatch(d -> d.id().equals("lost")));
    }

    /** Guards against waiting for an attempt that never started although other attempts were found lost. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void anOverdueRequestIsHedgedOnlyAfterOthersWereLost(boolean hasLostAttempt) {
        at(1, Samples.endpoints(4));
        answerProbes(3, 0, 4);
        if (hasLostAttempt) {
            Dispatch lostRequest = send("book");
            now += 1600 * Samples.MS;
            answerProbes(3, 0, 4);
            at(now, new Timer("beat"));
            at(now, Samples.outcome(lostRequest, 0, AttemptResult.TIMEOUT));
            now += 600 * Samples.MS;
            answerProbes(3, 0, 4);
        }
        at(now, new Arrival("big", "read", "red", 5 * Samples.SECOND, 1, 0, Samples.SECOND, null, false));
        now += 700 * Samples.MS;
        answerProbes(3, 0, 4);
        assertEquals(
                hasLostAttempt,
                !Samples.actionsOfType(Dispatch.class, at(now, new Timer("beat")))
                        .isEmpty());
    }

    @Test
    void anImmediateErrorEjectsAnEndpointThatReportsRoom() {
        at(1, Samples.endpoints(8));
        answerProbes(2, 0, 8);
        at(now, Samples.probeAnswer("w0", 9, 0));
        Dispatch first = send("book");
        assertEquals("w0", first.endpointId());
        at(now + 1, Samples.outcome(first, 0, AttemptResult.ERROR));
        for (int i = 0; i < 4; i++) {
            assertFalse(send("book").endpointId().equals("w0"));
        }
    }

    @Test
    void aSilentEndpointIsEjectedAndItsIdempotentRequestsAreRetried() {
        at(1, Samples.endpoints(8));
        answerProbes(2, 0, 8);
        for (int i = 0; i < 20; i++) {
            at(now + 50 * Samples.MS, Samples.outcome(send("read"), 0, AttemptResult.SERVED));
        }
        at(now, Samples.probeAnswer("w0", 9, 0));
        List<String> stuckIds = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            Dispatch sent = send(i == 0 ? "book" : "read");
            assertEquals("w0", sent.endpointId());
            stuckIds.add(sent.id());
        }
        List<Dispatch> retried = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            answerProbes(2, 0, 8);
            at(now, Samples.probeAnswer("w0", 9, 0));
            retried.addAll(Samples.actionsOfType(Dispatch.class, at(now + 100 * Samples.MS, new Timer("beat"))));
        }
        assertEquals(
                stuckIds.subList(1, 6),
                retried.stream().map(Dispatch::id).toList(),
                "each but the non-idempotent one is sent once");
        assertFalse(retried.get(0).endpointId().equals("w0"));
    }
}
