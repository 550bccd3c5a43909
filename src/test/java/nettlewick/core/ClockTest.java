package nettlewick.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** The clock does not block its readers and never goes back. */
class ClockTest {
    /** Guards against a thread that is suspended while it reads the clock and blocks all others. */
    @Test
    void readersDoNotBlockEachOther() throws Exception {
        Clock clock = Clock.system();
        synchronized (clock) {
            double then = CompletableFuture.supplyAsync(clock::nowMillis).get(20, TimeUnit.SECONDS);
            assertTrue(then > 0);
        }
    }

    @Test
    void timeNeverGoesBack() {
        Clock clock = Clock.stoppedAt(1000);
        clock.advanceTo(2000);
        clock.advanceTo(1500);
        assertEquals(2000, clock.nowMillis());
        Clock system = Clock.system(3_600_000);
        double before = system.nowMillis();
        assertTrue(system.nowMillis() >= before && before > System.currentTimeMillis() + 3_000_000);
        system.advanceTo(5);
        assertTrue(system.nowMillis() >= before);
    }
}
