package nettlewick.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.fail;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import nettlewick.decision.Dispatcher;
import nettlewick.decision.Event;
import nettlewick.decision.Event.Abandoned;
import org.junit.jupiter.api.Test;

/** The loop's state may be accessed only by the first thread that runs the loop. */
class CoreLoopTest {
    @Test
    void onlyTheThreadThatRunsTheLoopMayAddEvents() throws InterruptedException {
        CoreLoop loop =
                new CoreLoop(Clock.stoppedAt(0), (now, events) -> List.of(), new Metrics(List.of()), action -> {});
        loop.runIteration(0);
        loop.addEvent(new Abandoned("here"));
        CompletableFuture<Void> elsewhere = CompletableFuture.runAsync(() -> loop.addEvent(new Abandoned("elsewhere")));
        ExecutionException failure = assertThrows(ExecutionException.class, () -> elsewhere.get(20, TimeUnit.SECONDS));
        assertInstanceOf(AssertionError.class, failure.getCause());
    }

    /** Guards against a process that lives on without its core thread and answers nobody. */
    @Test
    void theLoopSurvivesATaskThatRunsOutOfMemory() throws InterruptedException {
        CoreLoop loop =
                new CoreLoop(Clock.stoppedAt(0), (now, events) -> List.of(), new Metrics(List.of()), action -> {});
        List<String> tasksRun = new ArrayList<>();
        loop.post(CoreLoopTest::runOutOfMemory);
        loop.post(() -> tasksRun.add("queued"));
        loop.post(() -> {
            loop.schedule(0, CoreLoopTest::runOutOfMemory);
            loop.schedule(0, () -> tasksRun.add("due"));
        });
        runIteration(loop);
        assertEquals(List.of("queued", "due"), tasksRun);
    }

    /** Guards against the end of the core thread when the decision module runs out of memory. */
    @Test
    void theLoopSurvivesADecisionThatRunsOutOfMemory() throws InterruptedException {
        List<Event> handled = new ArrayList<>();
        Dispatcher module = (now, events) -> {
            handled.addAll(events);
            throw new OutOfMemoryError("in a test");
        };
        CoreLoop loop = new CoreLoop(Clock.stoppedAt(0), module, new Metrics(List.of()), action -> {});
        loop.post(() -> loop.addEvent(new Abandoned("first")));
        runIteration(loop);
        loop.post(() -> loop.addEvent(new Abandoned("second")));
        runIteration(loop);
        assertEquals(List.of(new Abandoned("first"), new Abandoned("second")), handled);
    }

    /** JUnit would end the whole test process if it saw the error itself. */
    private static void runIteration(CoreLoop loop) throws InterruptedException {
        try {
            loop.runIteration(0);
        } catch (OutOfMemoryError e) {
            fail("the error ended the iteration", e);
        }
    }

    private static void runOutOfMemory() {
        throw new OutOfMemoryError("in a test");
    }
}
