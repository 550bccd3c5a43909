package nettlewick.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/** Runs the program in child processes, which a test can kill. */
public final class ChildProcess {
    private ChildProcess() {}

    /** Starts a sub-command; its output is appended to the log file. */
    public static Process start(Path log, Map<String, String> environment, String... arguments) throws IOException {
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-Xshare:auto",
                "-cp",
                System.getProperty("surefire.test.class.path", System.getProperty("java.class.path")),
                "nettlewick.cli.Main"));
        command.addAll(List.of(arguments));
        ProcessBuilder builder = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        builder.environment().putAll(environment);
        return builder.start();
    }

    /** Waits for a condition; fails with the log of the process if it ends before the condition holds. */
    public static void awaitCondition(Process child, Path log, BooleanSupplier condition) throws Exception {
        while (!condition.getAsBoolean()) {
            if (!child.isAlive()) {
                throw new AssertionError(
                        "the process exited with code " + child.exitValue() + ": " + Files.readString(log));
            }
            TimeUnit.MILLISECONDS.sleep(5);
        }
    }
}
