package nettlewick.stubs;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** When something may have arrived that a loop reads in time, in a hold-up, and just after one. */
class ReadTimesTest {
    private final ReadTimes times = new ReadTimes(0);

    @Test
    void whatIsReadInTimeHasArrivedNow() {
        times.tick(20);
        assertEquals(50, times.earliestArrival(50));
    }

    @Test
    void whatIsReadLateMayHaveArrivedSinceTheLastTick() {
        times.tick(20);
        assertEquals(20, times.earliestArrival(400));
    }

    /** Guards against a late read by a new connection, which comes after the tick that ends the hold-up. */
    @Test
    void whatIsReadJustAfterAHoldUpMayHaveArrivedSinceItBegan() {
        times.tick(20);
        times.tick(400);
        assertEquals(20, times.earliestArrival(410));
        times.tick(420);
        assertEquals(445, times.earliestArrival(445));
    }
}
