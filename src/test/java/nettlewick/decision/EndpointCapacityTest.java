package nettlewick.decision;

import static nettlewick.decision.Samples.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Conversion of the load values that different sites report to slots. */
class EndpointCapacityTest {
    private static final double NOT_REPORTED = Double.NaN;
    private final EndpointCapacity capacity = new EndpointCapacity();

    private void report(double free, double queued, double outstanding, double busyShare, EndpointKindStats stats) {
        capacity.applyReport(
                new EndpointLoad(free, NOT_REPORTED, queued, outstanding, busyShare),
                SECOND,
                stats,
                new LargestRequest());
    }

    @Test
    void freeSlotsComeFromWhicheverValueIsReported() {
        EndpointKindStats stats = new EndpointKindStats();
        report(3, NOT_REPORTED, NOT_REPORTED, NOT_REPORTED, stats);
        assertEquals(3, capacity.freeSlots());
        report(NOT_REPORTED, 2, NOT_REPORTED, NOT_REPORTED, stats);
        assertEquals(0, capacity.freeSlots());
        assertEquals(2, capacity.queuedSlots());
        report(NOT_REPORTED, NOT_REPORTED, NOT_REPORTED, 0.5, stats);
        assertEquals(2, capacity.freeSlots());
        report(NOT_REPORTED, NOT_REPORTED, 3, NOT_REPORTED, stats);
        assertEquals(0.25, capacity.freeSlots());
    }

    @Test
    void withoutAReportedQueueRequestsBeyondTheSlotsCountAsQueued() {
        EndpointKindStats stats = new EndpointKindStats();
        report(2, NOT_REPORTED, 2, NOT_REPORTED, stats);
        assertEquals(4, stats.maxFreeSlots());
        report(0, NOT_REPORTED, 7, NOT_REPORTED, stats);
        assertEquals(3, capacity.queuedSlots());
        assertFalse(capacity.reportsQueue());
    }

    @Test
    void aReportIsFreshForOneInterval() {
        report(1, NOT_REPORTED, NOT_REPORTED, NOT_REPORTED, new EndpointKindStats());
        assertTrue(capacity.isFresh(2 * SECOND));
        assertFalse(capacity.isFresh(2 * SECOND + 1));
        capacity.reset();
        assertFalse(capacity.isFresh(SECOND));
    }
}
