package nettlewick.core;

import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
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
}
