package nettlewick.core;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Timers are due in the order of their times, then in insertion order. */
class TimerQueueTest {
    private final TimerQueue timers = new TimerQueue();
    private final List<String> ran = new ArrayList<>();

    @Test
    void dueTasksComeInTheOrderOfTheirTimesThenOfTheirAddition() {
        timers.add(20, () -> ran.add("later"));
        timers.add(10, () -> ran.add("first"));
        timers.add(10, () -> ran.add("second"));
        timers.add(21, () -> ran.add("not due"));
        timers.removeDue(20).forEach(Runnable::run);
        assertEquals(List.of("first", "second", "later"), ran);
    }

    @Test
    void theWaitEndsWhenTheNextTaskIsDue() {
        assertEquals(1000, timers.millisUntilNext(5, 1000));
        timers.add(20, () -> {});
        assertEquals(15, timers.millisUntilNext(5, 1000));
        assertEquals(0, timers.millisUntilNext(25, 1000));
    }
}
