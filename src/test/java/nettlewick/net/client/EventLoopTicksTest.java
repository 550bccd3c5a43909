package nettlewick.net.client;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** The earliest arrival of what is found before, during and after a hold-up of the event loop. */
class EventLoopTicksTest {
    private final EventLoopTicks ticks = new EventLoopTicks(0);

    @Test
    void whatIsReadInTimeHasArrivedNow() {
        ticks.tick(50);
        assertEquals(100, ticks.earliestArrival(100));
        assertEquals(90, ticks.earliestConnect(90));
    }

    @Test
    void whatIsReadAfterAHoldUpMayHaveArrivedSinceItBegan() {
        ticks.tick(50);
        assertEquals(50, ticks.earliestArrival(800));
    }

    /** Guards against time lost by connections that the accepting thread found only when the process went on. */
    @Test
    void aConnectionAcceptedAsAHoldUpEndsMayHaveBeenMadeSinceItBegan() {
        ticks.tick(50);
        ticks.tick(800);
        assertEquals(50, ticks.earliestConnect(845));
        assertEquals(50, ticks.earliestConnect(755));
    }

    /** Guards against requests that are rejected as overdue, since they count from a hold-up that was over. */
    @Test
    void aConnectionAcceptedLaterCountsFromThen() {
        ticks.tick(50);
        ticks.tick(800);
        assertEquals(860, ticks.earliestConnect(860));
        assertEquals(600, ticks.earliestConnect(600), "the accepting thread was not held up");
    }

    @Test
    void nothingArrivesBeforeARestart() {
        ticks.tick(50);
        ticks.tick(800);
        ticks.restart(805);
        assertEquals(805, ticks.earliestArrival(900));
        assertEquals(803, ticks.earliestConnect(803));
    }
}
