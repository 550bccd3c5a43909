package nettlewick.fleettest;

import com.google.gson.Gson;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.IntFunction;
import java.util.function.IntToLongFunction;
import java.util.stream.Stream;
import nettlewick.stubs.EndpointServer;
import nettlewick.stubs.ReservedPorts;

/**
 * The real processes: each a {@code serve} of the built jar with an address, a configuration and a log of
 * its own. Ended by their own handles, also when the lab is interrupted.
 */
final class Fleet implements AutoCloseable {
    /** Each process has an address of its own in this net. */
    private static final String NET = net(0);

    private static final int PER_BYTE = 250;
    private static final List<String> FLAGS = List.of(
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-Xms8m",
            "-Xmx64m",
            "-XX:MaxMetaspaceSize=48m",
            "-XX:ReservedCodeCacheSize=24m",
            "-XX:MaxDirectMemorySize=16m",
            "-Xss256k",
            "-XX:-UsePerfData",
            // Many processes that each see little: what they run seldom is compiled soon all the same.
            "-XX:CompileThresholdScaling=0.1");
    private static final double TICKS = 10;

    /** One process of the fleet, alive or not. */
    static final class DispatcherProcess {
        final int number;
        final InetSocketAddress listen;
        final InetSocketAddress peer;
        final InetSocketAddress admin;
        final InetSocketAddress duty;
        volatile Process process;
        volatile boolean ready;
        volatile boolean paused;
        /** Whether its end was the lab's doing. */
        volatile boolean killed;
        /** CPU of its processes that have ended, in milliseconds. */
        double cpuBefore;

        int lives;

        DispatcherProcess(
                int number,
                InetSocketAddress listen,
                InetSocketAddress peer,
                InetSocketAddress admin,
                InetSocketAddress duty) {
            this.duty = duty;
            this.number = number;
            this.listen = listen;
            this.peer = peer;
            this.admin = admin;
        }

        boolean alive() {
            Process p = process;
            return p != null && p.isAlive();
        }

        /** Whether it has ended by itself. */
        boolean crashed() {
            return process != null && !killed && !process.isAlive();
        }
    }

    /** Is told of what becomes of the processes; called by any thread. */
    interface ProcessListener {
        /** A process was sent SIGKILL by this class. */
        void killed(int number);

        /** A process has ended, by itself or not. */
        void exited(int number, int exitCode);
    }

    private final ProcessListener listener;
    private final Path folder;
    private final List<String> command;
    private final IntFunction<Map<String, Object>> config;
    private final IntFunction<String> more;
    private final IntToLongFunction ahead;
    final List<DispatcherProcess> members = new ArrayList<>();
    private final Thread hook = new Thread(this::end, "lab-end");

    /**
     * @param config the configuration of each process, as it is when that starts
     * @param more   settings of our own; null: none
     * @param ahead  by how many milliseconds a process's clock is ahead
     */
    Fleet(
            int size,
            Path folder,
            IntFunction<Map<String, Object>> config,
            IntFunction<String> more,
            IntToLongFunction ahead,
            ProcessListener listener)
            throws IOException {
        this.listener = listener;
        this.ahead = ahead;
        this.more = more;
        this.folder = Files.createDirectories(folder);
        this.config = config;
        command = command();
        // Each process has an address of its own, so all may use the same ports; reserved ones, since a process that is
        // dead for a while must find them free again.
        int listen = ReservedPorts.reserve();
        int peer = ReservedPorts.reserve();
        int admin = ReservedPorts.reserve();
        int duty = ReservedPorts.reserve();
        for (int i = 0; i < size; i++) {
            InetAddress own = address(NET, i);
            members.add(new DispatcherProcess(
                    i,
                    new InetSocketAddress(own, listen),
                    new InetSocketAddress(own, peer),
                    new InetSocketAddress(own, admin),
                    new InetSocketAddress(own, duty)));
        }
        Runtime.getRuntime().addShutdownHook(hook);
    }

    /** One of a lab's four nets. Danger: two labs at once in one net take ports that the other asked for. */
    static String net(int which) {
        return "127." + (16 + 4 * (ProcessHandle.current().pid() % 56) + which) + ".";
    }

    /** The address of a number in a net such as {@code 127.41.}: no two share one. */
    static InetAddress address(String net, int number) throws IOException {
        return InetAddress.getByName(net + number / PER_BYTE + "." + (number % PER_BYTE + 1));
    }

    /** The jar that this runs from, or its classes where there is none yet. */
    private static List<String> command() {
        List<String> line = new ArrayList<>(
                List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString()));
        line.addAll(FLAGS);
        Path source = Path.of(
                Fleet.class.getProtectionDomain().getCodeSource().getLocation().getPath());
        if (Files.isRegularFile(source)) {
            Path archive = source.resolveSibling("nettlewick.jsa");
            if (Files.isRegularFile(archive)) {
                line.addAll(List.of("-XX:SharedArchiveFile=" + archive, "-Xlog:cds=off", "-Xlog:cds+dynamic=off"));
            }
            line.addAll(List.of("-jar", source.toString()));
        } else {
            line.addAll(List.of(
                    "-cp",
                    System.getProperty("surefire.test.class.path", System.getProperty("java.class.path")),
                    "nettlewick.cli.Main"));
        }
        line.add("serve");
        return line;
    }

    /** Starts a process for this member, unless it has one. */
    synchronized void start(int number) throws IOException {
        DispatcherProcess m = members.get(number);
        if (m.alive()) {
            return;
        }
        Path own = Files.createDirectories(folder.resolve("n" + number + "-" + m.lives++));
        Path file = Files.writeString(own.resolve("config.json"), new Gson().toJson(config.apply(number)));
        List<String> line = new ArrayList<>(command);
        line.add(1, "-Djava.io.tmpdir=" + own);
        if (ahead.applyAsLong(number) != 0) {
            line.addAll(List.of("--clock-ahead", Long.toString(ahead.applyAsLong(number))));
        }
        String settings = more.apply(number);
        if (settings != null) {
            line.addAll(List.of(
                    "--settings",
                    Files.writeString(own.resolve("settings"), settings).toString()));
        }
        ProcessBuilder builder = new ProcessBuilder(line)
                .redirectErrorStream(true)
                .redirectOutput(own.resolve("log").toFile());
        builder.environment().put("ROUTER_CONFIG", file.toString());
        m.ready = false;
        m.paused = false;
        m.killed = false;
        Process started = builder.start();
        m.process = started;
        started.onExit().thenAccept(ended -> listener.exited(number, ended.exitValue()));
    }

    /** Ends a process at once, as a power loss would. */
    void kill(int number) {
        DispatcherProcess m = members.get(number);
        if (m.alive()) {
            m.cpuBefore += cpu(m.process);
            m.killed = true;
            listener.killed(number);
            m.process.destroyForcibly();
        }
    }

    /** A planned end, by SIGTERM. */
    void end(int number) {
        DispatcherProcess m = members.get(number);
        if (m.alive()) {
            m.killed = true;
            m.process.destroy();
        }
    }

    /** The clients' front finds that a process is dead. */
    void noticed(int number) {
        DispatcherProcess m = members.get(number);
        m.ready &= m.alive();
    }

    /** Stops a process where it is, or lets it go on: what it believes grows old meanwhile. */
    void pause(int number, boolean stop) throws IOException, InterruptedException {
        DispatcherProcess m = members.get(number);
        if (m.alive()) {
            m.paused = stop;
            new ProcessBuilder("kill", stop ? "-STOP" : "-CONT", Long.toString(m.process.pid()))
                    .start()
                    .waitFor();
        }
    }

    /** CPU that all processes have used together, in milliseconds. */
    double cpu() {
        return members.stream()
                .mapToDouble(m -> m.cpuBefore + (m.alive() ? cpu(m.process) : 0))
                .sum();
    }

    private static double cpu(Process process) {
        try {
            String stat = Files.readString(Path.of("/proc/" + process.pid() + "/stat"));
            String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
            return (Long.parseLong(fields[11]) + Long.parseLong(fields[12])) * TICKS;
        } catch (IOException | NumberFormatException e) {
            return 0;
        }
    }

    /** Memory of a process, what it shares with others by its part, in megabytes; 0 where not told. */
    double megabytes(int number) {
        DispatcherProcess m = members.get(number);
        if (!m.alive()) {
            return 0;
        }
        try (Stream<String> lines = Files.lines(Path.of("/proc/" + m.process.pid() + "/smaps_rollup"))) {
            return lines.filter(l -> l.startsWith("Pss:"))
                            .mapToDouble(l -> Double.parseDouble(l.replaceAll("\\D+", "")))
                            .sum()
                    / 1024;
        } catch (IOException | java.io.UncheckedIOException e) {
            return 0;
        }
    }

    private void end() {
        for (DispatcherProcess m : members) {
            Process p = m.process;
            if (p != null) {
                p.destroyForcibly();
            }
        }
    }

    @Override
    public void close() {
        end();
        for (DispatcherProcess m : members) {
            try {
                if (m.process != null) {
                    m.process.waitFor(10, TimeUnit.SECONDS);
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        try {
            Runtime.getRuntime().removeShutdownHook(hook);
        } catch (IllegalStateException e) {
            // the lab is being ended: the hook runs already
        }
    }

    /** The platform's configuration of a dispatcher in this world, but for its addresses. */
    static Map<String, Object> settings(Scenario scenario, int rank) {
        Scenario.World w = scenario.world();
        List<Map<String, Object>> classes = new ArrayList<>();
        for (Scenario.JobClass c : scenario.load().classes()) {
            classes.add(Map.of(
                    "name",
                    c.name(),
                    "repeat",
                    c.repeat(),
                    "aim",
                    nanos(c.aim()),
                    "deadline",
                    nanos(c.deadline()),
                    "worth",
                    1,
                    "window",
                    nanos(scenario.load().window()),
                    "dedup_scope",
                    "zone"));
        }
        Map<String, Object> settings = new LinkedHashMap<>();
        settings.put("rank", rank);
        settings.put("fleet_size", w.dispatchers());
        settings.put("zone", w.zone(rank));
        settings.put("zones", w.zones());
        settings.put("models", List.of("std"));
        settings.put("membership_mode", w.asked() ? "on_request" : "pushed");
        settings.put("classes", classes);
        settings.put(
                "tenants",
                scenario.load().members().stream()
                        .map(m -> Map.of("name", m.name(), "fraction", m.share()))
                        .toList());
        settings.put("report", Map.of("source", "on_probe", "names", List.of("depth", "concurrent", "x0", "x1")));
        settings.put(
                "family_info", Map.of("progress", nanos(EndpointServer.PROGRESS_INTERVAL_MILLIS), "tells_start", true));
        settings.put(
                "ceilings",
                Map.of(
                        "attempts_cap",
                        ScenarioRun.ATTEMPTS,
                        "cancel",
                        w.runner().cancelsOnDisconnect(),
                        "peers",
                        w.peers(),
                        "probes",
                        true,
                        "retry_after",
                        true,
                        "second_copies",
                        false,
                        "max_retry_after",
                        nanos(2000),
                        "connect_timeout",
                        nanos(200),
                        "conn_idle",
                        nanos(5000)));
        settings.put(
                "rules",
                Map.of(
                        "cold",
                        nanos(w.runner().slowStartMillis()),
                        "cold_share",
                        w.runner().initialSpeedFraction(),
                        "overload_factor",
                        w.runner().overloadFactor(),
                        "drain_grace",
                        nanos(w.grace()),
                        "fall",
                        nanos(w.runner().overloadMillis()),
                        "answer_slack",
                        nanos(20),
                        "ask_within",
                        nanos(10_000)));
        return settings;
    }

    private static long nanos(double millis) {
        return (long) (millis * 1e6);
    }
}
