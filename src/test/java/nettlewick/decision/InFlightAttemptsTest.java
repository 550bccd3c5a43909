package nettlewick.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import nettlewick.decision.SchedulerSettings.Idempotency;
import nettlewick.decision.SchedulerSettings.Scope;
import org.junit.jupiter.api.Test;

/** Accounting of the slots in flight at an endpoint. */
class InFlightAttemptsTest {
    @Test
    void aReleasedAttemptStaysInFlightWithoutSlots() {
        Endpoint endpoint = new Endpoint("w0");
        ScheduledRequest request = Samples.request("read", Idempotency.IDEMPOTENT, Scope.ALL);
        Attempt attempt = request.addAttempt(endpoint, 0);
        InFlightAttempts inFlight = endpoint.inFlight();
        inFlight.add(attempt);
        assertEquals(1, inFlight.slots());
        inFlight.release(attempt);
        inFlight.release(attempt);
        assertEquals(0, inFlight.slots());
        assertFalse(inFlight.isEmpty());
        inFlight.remove(attempt);
        assertEquals(0, inFlight.slots());
        assertTrue(inFlight.isEmpty());
    }

    @Test
    void laterTicksDoNotOverwriteRecentHistory() {
        InFlightAttempts inFlight = new InFlightAttempts();
        for (int tick = 1; tick <= 20; tick++) {
            inFlight.setPeerSlots(tick);
            inFlight.recordTick(tick);
        }
        assertEquals(15, inFlight.slotsAtTick(15));
        assertEquals(20, inFlight.slotsAtTick(20));
    }
}
