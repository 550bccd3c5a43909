package nettlewick.fleettest;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Starts child processes and kills all of them when it is closed or the JVM shuts down. Starting and killing exclude
 * each other, so a process whose start is under way at that moment is killed as well, and none is started afterwards:
 * other threads go on while the JVM shuts down. Safe for any thread.
 */
final class ChildProcessRegistry implements AutoCloseable {
    /** Starts one process. */
    interface Launcher {
        /** Returns the process once the operating system has started it. */
        Process launch(ProcessBuilder builder) throws IOException;
    }

    private static final long EXIT_TIMEOUT_SECONDS = 10;

    private final Launcher launcher;
    /** All processes that were started and may be alive. */
    private final List<Process> processes = new ArrayList<>();

    private boolean closed;
    private final Thread shutdownHook = new Thread(this::killAll, "child-process-shutdown");

    ChildProcessRegistry() {
        this(ProcessBuilder::start);
    }

    ChildProcessRegistry(Launcher launcher) {
        this.launcher = launcher;
        Runtime.getRuntime().addShutdownHook(shutdownHook);
    }

    /**
     * Starts a process and registers it before anything can be killed.
     *
     * @throws IOException if the process cannot be started or everything has been killed
     */
    synchronized Process start(ProcessBuilder builder) throws IOException {
        if (closed) {
            throw new IOException("no process is started after the others were killed");
        }
        processes.removeIf(process -> !process.isAlive());
        Process process = launcher.launch(builder);
        processes.add(process);
        return process;
    }

    private synchronized List<Process> killAll() {
        closed = true;
        processes.forEach(Process::destroyForcibly);
        return List.copyOf(processes);
    }

    /** Kills all processes and waits until they have exited. */
    @Override
    public void close() {
        for (Process process : killAll()) {
            awaitExit(process);
        }
        try {
            Runtime.getRuntime().removeShutdownHook(shutdownHook);
        } catch (IllegalStateException e) {
            // The JVM is shutting down and the hook is running already.
        }
    }

    private static void awaitExit(Process process) {
        try {
            process.waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
