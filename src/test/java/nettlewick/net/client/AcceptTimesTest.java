package nettlewick.net.client;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** When connections may have been made, as the listener accepts them at once, busy, or after a pause. */
class AcceptTimesTest {
    private final AcceptTimes times = new AcceptTimes();

    @BeforeEach
    void waitForConnections() {
        times.waitAgain(0);
    }

    /** Guards against a connection that counts from before its listener was open. */
    @Test
    void noConnectionIsMadeBeforeTheListenerFirstWaits() {
        assertEquals(1, times.beginAccept(1));
    }

    @Test
    void aConnectionThatIsWaitedForIsMadeNow() {
        assertEquals(500, times.beginAccept(500));
    }

    /** Guards against time in the kernel's queue while the listener hands on what it accepted before. */
    @Test
    void aConnectionFoundAfterBusyTimeMayHaveBeenMadeSinceTheQueueWasEmpty() {
        times.beginAccept(500);
        times.queueWasEmpty(501);
        times.waitAgain(800);
        assertEquals(501, times.beginAccept(802));
    }

    @Test
    void allOfOneRoundMayHaveBeenMadeSinceItBegan() {
        times.beginAccept(500);
        assertEquals(500, times.beginAccept(900));
    }

    /** Guards against time in the kernel's queue while the listener is paused at its limit. */
    @Test
    void aConnectionFoundAfterAPauseMayHaveBeenMadeSinceThePause() {
        times.beginAccept(500);
        times.waitAgain(3000);
        assertEquals(500, times.beginAccept(3001));
    }

    @Test
    void aRoundThatDidNotEmptyTheQueueGoesOn() {
        times.beginAccept(500);
        times.waitAgain(700);
        times.beginAccept(701);
        times.waitAgain(900);
        assertEquals(500, times.beginAccept(901));
        times.queueWasEmpty(902);
        times.waitAgain(903);
        assertEquals(1000, times.beginAccept(1000));
    }
}
