package nettlewick.net.client;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** The earliest arrival time of data that an event loop reads on time, and after a stall. */
class EventLoopTicksTest {
    private final EventLoopTicks ticks = new EventLoopTicks(0);

    @Test
    void readWithoutStallArrivedNow() {
        ticks.tick(50);
        assertEquals(100, ticks.earliestArrival(100));
    }

    @Test
    void readAfterAStallMayHaveArrivedSinceItBegan() {
        ticks.tick(50);
        assertEquals(50, ticks.earliestArrival(800));
    }

    @Test
    void stallThatIsOverHasNoEffect() {
        ticks.tick(50);
        ticks.tick(800);
        assertEquals(805, ticks.earliestArrival(805));
    }
}
