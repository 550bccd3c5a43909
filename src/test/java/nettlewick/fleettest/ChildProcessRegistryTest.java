package nettlewick.fleettest;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Forces the orders of starting and killing processes that may leave a process behind. */
@Timeout(30)
class ChildProcessRegistryTest {
    private static final long EXIT_TIMEOUT_SECONDS = 10;

    private ChildProcessRegistry registry;
    private Process launched;

    private static ProcessBuilder longRunningCommand() {
        return new ProcessBuilder("sleep", "300");
    }

    @AfterEach
    void killLaunchedProcess() {
        if (launched != null) {
            launched.destroyForcibly();
        }
    }

    /** The process exists already, but its starter has not returned when everything is killed. */
    @Test
    void aProcessWhoseStartIsUnderWayIsKilled() throws Exception {
        Thread closer = new Thread(() -> registry.close(), "closer");
        registry = new ChildProcessRegistry(builder -> {
            launched = builder.start();
            closeUntilEndedOrBlocked(closer);
            return launched;
        });
        registry.start(longRunningCommand());
        closer.join();
        assertTrue(launched.waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS), "the process was left running");
    }

    private static void closeUntilEndedOrBlocked(Thread closer) {
        closer.start();
        await().atMost(Duration.ofSeconds(EXIT_TIMEOUT_SECONDS))
                .until(() ->
                        Set.of(Thread.State.BLOCKED, Thread.State.TERMINATED).contains(closer.getState()));
    }

    /** Other threads go on while the JVM shuts down, so they may still start processes. */
    @Test
    void noProcessIsStartedAfterTheOthersWereKilled() {
        registry = new ChildProcessRegistry(builder -> launched = builder.start());
        registry.close();
        assertThrows(IOException.class, () -> registry.start(longRunningCommand()));
        assertNull(launched, "a process was started");
    }

    @Test
    void closingKillsEveryProcess() throws Exception {
        registry = new ChildProcessRegistry();
        launched = registry.start(longRunningCommand());
        Process second = registry.start(longRunningCommand());
        registry.close();
        assertTrue(launched.waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS));
        assertTrue(second.waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS));
    }

    /** A process that could not be started must not keep the others from being killed. */
    @Test
    void aFailedStartLeavesTheOthersToBeKilled() throws Exception {
        registry = new ChildProcessRegistry();
        launched = registry.start(longRunningCommand());
        assertThrows(IOException.class, () -> registry.start(new ProcessBuilder("/nonexistent/program")));
        registry.close();
        assertTrue(launched.waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS));
    }
}
