package nettlewick.fleettest;

import com.google.gson.Gson;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.IntFunction;
import java.util.function.IntToLongFunction;
import java.util.stream.Stream;
import nettlewick.stubs.ReservedPorts;

/**
 * The dispatcher processes: each is a {@code serve} of the built jar with its own address, configuration and log.
 * They are killed when the fleet is closed, also when the fleet test is interrupted.
 */
final class Fleet implements AutoCloseable {
    /** The address prefix in which each process has its own address. */
    private static final String DISPATCHER_NET = addressPrefix(0);

    private static final int ADDRESSES_PER_BYTE = 250;
    private static final List<String> JVM_FLAGS = List.of(
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-Xms8m",
            "-Xmx64m",
            "-XX:MaxMetaspaceSize=48m",
            "-XX:ReservedCodeCacheSize=24m",
            "-XX:MaxDirectMemorySize=16m",
            "-Xss256k",
            "-XX:-UsePerfData",
            // Each of the many processes handles few requests, so methods are compiled after fewer calls.
            "-XX:CompileThresholdScaling=0.1");
    private static final double MILLIS_PER_CLOCK_TICK = 10;

    /** A dispatcher and its current process, if any. */
    static final class DispatcherProcess {
        final int number;
        final InetSocketAddress listenAddress;
        final InetSocketAddress peerAddress;
        final InetSocketAddress adminAddress;
        final InetSocketAddress leaseAddress;
        volatile Process process;
        volatile boolean ready;
        volatile boolean paused;
        /** Whether the test itself ended the process. */
        volatile boolean endedByTest;
        /** CPU time of its processes that have ended, in milliseconds. */
        double earlierCpuMillis;

        int incarnationCount;

        DispatcherProcess(
                int number,
                InetSocketAddress listenAddress,
                InetSocketAddress peerAddress,
                InetSocketAddress adminAddress,
                InetSocketAddress leaseAddress) {
            this.leaseAddress = leaseAddress;
            this.number = number;
            this.listenAddress = listenAddress;
            this.peerAddress = peerAddress;
            this.adminAddress = adminAddress;
        }

        boolean alive() {
            Process p = process;
            return p != null && p.isAlive();
        }

        /** Returns whether the process ended without being told to. */
        boolean crashed() {
            return process != null && !endedByTest && !process.isAlive();
        }
    }

    /** Receives events of the processes, on any thread. */
    interface ProcessListener {
        /** This class sent SIGKILL to a process. */
        void killed(int number);

        /** A process has ended, for whatever reason. */
        void exited(int number, int exitCode);
    }

    private final ProcessListener listener;
    private final Path folder;
    private final List<String> command;
    private final IntFunction<Map<String, Object>> config;
    private final IntFunction<String> settingsText;
    private final IntToLongFunction clockAheadMillis;
    final List<DispatcherProcess> dispatchers = new ArrayList<>();
    private final ChildProcessRegistry processes;

    /**
     * @param config the platform's configuration of a process, read whenever that starts
     * @param settingsText the operator's settings of a process; null for none
     * @param clockAheadMillis by how many milliseconds a process's clock is ahead
     */
    Fleet(
            int size,
            Path folder,
            IntFunction<Map<String, Object>> config,
            IntFunction<String> settingsText,
            IntToLongFunction clockAheadMillis,
            ProcessListener listener)
            throws IOException {
        this.listener = listener;
        this.clockAheadMillis = clockAheadMillis;
        this.settingsText = settingsText;
        this.folder = Files.createDirectories(folder);
        this.config = config;
        command = command();
        // Each process has its own address, so all may use the same ports. The ports are reserved because a process
        // that is down for a while must find them free again.
        int listenPort = ReservedPorts.reserve();
        int peerPort = ReservedPorts.reserve();
        int adminPort = ReservedPorts.reserve();
        int leasePort = ReservedPorts.reserve();
        for (int i = 0; i < size; i++) {
            InetAddress own = address(DISPATCHER_NET, i);
            dispatchers.add(new DispatcherProcess(
                    i,
                    new InetSocketAddress(own, listenPort),
                    new InetSocketAddress(own, peerPort),
                    new InetSocketAddress(own, adminPort),
                    new InetSocketAddress(own, leasePort)));
        }
        processes = new ChildProcessRegistry();
    }

    /**
     * Returns one of the four address prefixes of a fleet test. They depend on the process id, because two fleet
     * tests in the same network would take each other's reserved ports.
     */
    static String addressPrefix(int index) {
        return "127." + (16 + 4 * (ProcessHandle.current().pid() % 56) + index) + ".";
    }

    /** Returns the address of a number in a network such as {@code 127.41.}; no two numbers share one. */
    static InetAddress address(String prefix, int number) throws IOException {
        return InetAddress.getByName(prefix + number / ADDRESSES_PER_BYTE + "." + (number % ADDRESSES_PER_BYTE + 1));
    }

    /** Returns the command for the jar that this runs from, or for its classes where there is no jar yet. */
    private static List<String> command() {
        List<String> commandLine = new ArrayList<>(
                List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString()));
        commandLine.addAll(JVM_FLAGS);
        Path source = Path.of(
                Fleet.class.getProtectionDomain().getCodeSource().getLocation().getPath());
        if (Files.isRegularFile(source)) {
            Path archive = source.resolveSibling("nettlewick.jsa");
            if (Files.isRegularFile(archive)) {
                commandLine.addAll(
                        List.of("-XX:SharedArchiveFile=" + archive, "-Xlog:cds=off", "-Xlog:cds+dynamic=off"));
            }
            commandLine.addAll(List.of("-jar", source.toString()));
        } else {
            commandLine.addAll(List.of(
                    "-cp",
                    System.getProperty("surefire.test.class.path", System.getProperty("java.class.path")),
                    "nettlewick.cli.Main"));
        }
        commandLine.add("serve");
        return commandLine;
    }

    /** Starts a process for a dispatcher unless it has one. */
    synchronized void start(int number) throws IOException {
        DispatcherProcess dispatcher = dispatchers.get(number);
        if (dispatcher.alive()) {
            return;
        }
        Path directory = Files.createDirectories(folder.resolve("n" + number + "-" + dispatcher.incarnationCount++));
        Path file = Files.writeString(directory.resolve("config.json"), new Gson().toJson(config.apply(number)));
        List<String> commandLine = new ArrayList<>(command);
        commandLine.add(1, "-Djava.io.tmpdir=" + directory);
        if (clockAheadMillis.applyAsLong(number) != 0) {
            commandLine.addAll(List.of("--clock-ahead", Long.toString(clockAheadMillis.applyAsLong(number))));
        }
        String settings = settingsText.apply(number);
        if (settings != null) {
            commandLine.addAll(List.of(
                    "--settings",
                    Files.writeString(directory.resolve("settings"), settings).toString()));
        }
        ProcessBuilder builder = new ProcessBuilder(commandLine)
                .redirectErrorStream(true)
                .redirectOutput(directory.resolve("log").toFile());
        builder.environment().put("ROUTER_CONFIG", file.toString());
        dispatcher.ready = false;
        dispatcher.paused = false;
        dispatcher.endedByTest = false;
        Process started = processes.start(builder);
        dispatcher.process = started;
        started.onExit().thenAccept(ended -> listener.exited(number, ended.exitValue()));
    }

    /** Sends SIGKILL, which ends a process as a power loss would. */
    void kill(int number) {
        DispatcherProcess dispatcher = dispatchers.get(number);
        if (dispatcher.alive()) {
            dispatcher.earlierCpuMillis += cpuMillis(dispatcher.process);
            dispatcher.endedByTest = true;
            listener.killed(number);
            dispatcher.process.destroyForcibly();
        }
    }

    /** Sends SIGTERM for a graceful shutdown. */
    void terminate(int number) {
        DispatcherProcess dispatcher = dispatchers.get(number);
        if (dispatcher.alive()) {
            dispatcher.endedByTest = true;
            dispatcher.process.destroy();
        }
    }

    /** The clients' load balancer notices that a process is down. */
    void markDown(int number) {
        DispatcherProcess dispatcher = dispatchers.get(number);
        dispatcher.ready &= dispatcher.alive();
    }

    /** Suspends a process with SIGSTOP, or resumes it; meanwhile its state becomes stale. */
    void pause(int number, boolean stop) throws IOException, InterruptedException {
        DispatcherProcess dispatcher = dispatchers.get(number);
        if (dispatcher.alive()) {
            dispatcher.paused = stop;
            new ProcessBuilder("kill", stop ? "-STOP" : "-CONT", Long.toString(dispatcher.process.pid()))
                    .start()
                    .waitFor();
        }
    }

    /** Returns the CPU time that all processes have used together, in milliseconds. */
    double cpuMillis() {
        return dispatchers.stream()
                .mapToDouble(dispatcher ->
                        dispatcher.earlierCpuMillis + (dispatcher.alive() ? cpuMillis(dispatcher.process) : 0))
                .sum();
    }

    private static double cpuMillis(Process process) {
        try {
            String stat = Files.readString(Path.of("/proc/" + process.pid() + "/stat"));
            String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
            return (Long.parseLong(fields[11]) + Long.parseLong(fields[12])) * MILLIS_PER_CLOCK_TICK;
        } catch (IOException | NumberFormatException e) {
            return 0;
        }
    }

    /** Returns the proportional set size of a process in megabytes; 0 if it cannot be read. */
    double megabytes(int number) {
        DispatcherProcess dispatcher = dispatchers.get(number);
        if (!dispatcher.alive()) {
            return 0;
        }
        try (Stream<String> lines = Files.lines(Path.of("/proc/" + dispatcher.process.pid() + "/smaps_rollup"))) {
            return lines.filter(l -> l.startsWith("Pss:"))
                            .mapToDouble(l -> Double.parseDouble(l.replaceAll("\\D+", "")))
                            .sum()
                    / 1024;
        } catch (IOException | UncheckedIOException e) {
            return 0;
        }
    }

    /** Kills all processes and waits until they have exited. */
    @Override
    public void close() {
        processes.close();
    }
}
