package nettlewick.net.endpoint;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import org.junit.jupiter.api.Test;

/** Which of the progress reports of one event-loop turn are passed on. */
class ProgressCoalescerTest {
    private final List<Double> passedOn = new ArrayList<>();
    private final Queue<Runnable> endOfTurn = new ArrayDeque<>();
    private final ProgressCoalescer coalescer = new ProgressCoalescer(passedOn::add, endOfTurn::add);

    private void endTurn() {
        while (!endOfTurn.isEmpty()) {
            endOfTurn.poll().run();
        }
    }

    @Test
    void passesOnTheFirstReportAtOnceAndOfTheOthersTheNewestOfEachTurn() {
        coalescer.report(0);
        assertEquals(List.of(0.0), passedOn);
        for (int i = 1; i <= 1000; i++) {
            coalescer.report(i / 2000.0);
        }
        assertEquals(List.of(0.0), passedOn);
        endTurn();
        assertEquals(List.of(0.0, 0.5), passedOn);
        coalescer.report(0.75);
        endTurn();
        endTurn();
        assertEquals(List.of(0.0, 0.5, 0.75), passedOn);
    }

    @Test
    void passesOnAPendingReportBeforeTheOutcomeAndOnlyOnce() {
        coalescer.report(0);
        coalescer.report(0.5);
        coalescer.flush();
        assertEquals(List.of(0.0, 0.5), passedOn);
        endTurn();
        coalescer.flush();
        assertEquals(List.of(0.0, 0.5), passedOn);
    }
}
