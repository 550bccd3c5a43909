package nettlewick.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Batches whose time goes back or starts below 0. */
class SchedulerClockTest {
    @Test
    void timeNeverGoesBackAndMayStartAtAnyValue() {
        SchedulerClock clock = new SchedulerClock();
        clock.advanceTo(-5);
        assertEquals(-5, clock.now());
        clock.advanceTo(7);
        clock.advanceTo(3);
        assertEquals(7, clock.now());
    }
}
