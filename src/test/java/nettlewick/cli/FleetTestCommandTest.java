package nettlewick.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import nettlewick.stubs.StubPlatform;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Runs {@code fleet-test} in a process, under its alias {@code lab}. */
@Timeout(60)
class FleetTestCommandTest {
    private static final String SCENARIO = """
            world {
                dispatchers 3
                runners 2
            }
            load {
                rate 5
                length 10m
                class step-view 100% 50ms 500ms
            }
            """;

    @TempDir
    private Path dir;

    private Process fleetTest(String action, String scenario) throws Exception {
        Path file = Files.writeString(dir.resolve("scenario.conf"), scenario);
        return ChildProcess.start(
                dir.resolve("log"),
                Map.of("LC_ALL", "C"),
                "lab",
                action,
                file.toString(),
                "--out",
                dir.resolve("out").toString());
    }

    @Test
    void aBadScenarioPrintsOneLineAndStartsNothing() throws Exception {
        Process process = fleetTest("run", SCENARIO + "steps {\n at 1s pause s1 for 2s\n}\n");
        assertTrue(process.waitFor(30, TimeUnit.SECONDS));
        assertEquals(2, process.exitValue());
        List<String> lines = Files.readAllLines(dir.resolve("log"));
        assertEquals(1, lines.size(), lines::toString);
        assertTrue(lines.get(0).contains("scenario.conf:11: at is s1, but has to be dispatchers"), lines.get(0));
        assertTrue(Files.notExists(dir.resolve("out")));
    }

    /** Terminating a fleet test must terminate the processes that it started. */
    @Test
    void anInterruptedFleetTestLeavesNoProcess() throws Exception {
        Process process = fleetTest("run", SCENARIO);
        ChildProcess.awaitCondition(
                process, dir.resolve("log"), () -> process.descendants().count() >= 3);
        List<ProcessHandle> startedProcesses = process.descendants().toList();
        process.destroy();
        assertTrue(process.waitFor(30, TimeUnit.SECONDS));
        StubPlatform.waitUntil(() -> startedProcesses.stream().noneMatch(ProcessHandle::isAlive));
    }
}
