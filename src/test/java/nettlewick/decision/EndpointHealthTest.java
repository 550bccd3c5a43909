package nettlewick.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Growing ejection times, and how ejections end. */
class EndpointHealthTest {
    @Test
    void ejectionsDoubleUpToEightfoldUntilConfirmedHealthy() {
        EndpointHealth health = new EndpointHealth();
        long now = 0;
        for (int factor : new int[] {1, 2, 4, 8, 8}) {
            health.eject(10, now);
            assertTrue(health.isEjected(now + 10 * factor - 1));
            now += 10 * factor;
            assertFalse(health.isEjected(now));
        }
        assertTrue(health.isUnconfirmed());
        health.confirmHealthy(now);
        assertFalse(health.isUnconfirmed());
        health.eject(10, now);
        health.endEjection(now + 1);
        assertFalse(health.isEjected(now + 1));
    }

    @Test
    void aResetClearsEjectionAndFailures() {
        EndpointHealth health = new EndpointHealth();
        health.countConnectionFailure();
        health.eject(10, 0);
        health.reset();
        assertFalse(health.isEjected(1) || health.isUnconfirmed());
        assertEquals(1, health.countConnectionFailure());
    }
}
