package nettlewick.decision;

import static nettlewick.decision.Samples.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Reports of different sites in slots. */
class EndpointCapacityTest {
    private static final double NONE = Double.NaN;
    private final EndpointCapacity capacity = new EndpointCapacity();

    private void report(double free, double waiting, double inHand, double busyShare, EndpointKindStats kind) {
        capacity.applyReport(
                new EndpointLoad(free, NONE, waiting, inHand, busyShare), SECOND, kind, new LargestRequest());
    }

    @Test
    void freeSlotsComeFromWhicheverValueIsReported() {
        EndpointKindStats kind = new EndpointKindStats();
        report(3, NONE, NONE, NONE, kind);
        assertEquals(3, capacity.freeSlots());
        report(NONE, 2, NONE, NONE, kind);
        assertEquals(0, capacity.freeSlots());
        assertEquals(2, capacity.queuedSlots());
        report(NONE, NONE, NONE, 0.5, kind);
        assertEquals(2, capacity.freeSlots());
        report(NONE, NONE, 3, NONE, kind);
        assertEquals(0.25, capacity.freeSlots());
    }

    @Test
    void withoutAReportedQueueWhatIsHeldBeyondTheSlotsWaits() {
        EndpointKindStats kind = new EndpointKindStats();
        report(2, NONE, 2, NONE, kind);
        assertEquals(4, kind.maxFreeSlots());
        report(0, NONE, 7, NONE, kind);
        assertEquals(3, capacity.queuedSlots());
        assertFalse(capacity.reportsQueue());
    }

    @Test
    void aReportIsFreshForOneInterval() {
        report(1, NONE, NONE, NONE, new EndpointKindStats());
        assertTrue(capacity.isFresh(2 * SECOND));
        assertFalse(capacity.isFresh(2 * SECOND + 1));
        capacity.reset();
        assertFalse(capacity.isFresh(SECOND));
    }
}
