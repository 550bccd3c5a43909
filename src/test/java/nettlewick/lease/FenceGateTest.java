package nettlewick.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Operations under the fence of a former holder. */
class FenceGateTest {
    @Test
    void lowerFenceIsRejectedOnceAHigherOneWasSeen() {
        FenceGate gate = new FenceGate();
        assertTrue(gate.admits("a", 5));
        assertTrue(gate.admits("a", 5));
        assertFalse(gate.admits("a", 4));
        assertTrue(gate.admits("b", 4));
        assertEquals(1, gate.rejectedCount());
    }
}
