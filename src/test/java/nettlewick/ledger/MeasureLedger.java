package nettlewick.ledger;

import com.google.gson.Gson;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.Stream;
import nettlewick.cli.ChildProcess;
import nettlewick.core.Clock;
import nettlewick.core.Request;
import nettlewick.core.UsageRecorder;
import nettlewick.net.DispatcherOnStubPlatform;
import org.HdrHistogram.Histogram;

/**
 * {@code make measure-ledger}: measures the throughput, size and latency of the ledger; the last lines are {@code
 * name=value}.
 */
public final class MeasureLedger {
    private static final double NOW = 1793491200000.0;
    private static final int MILLION = 1_000_000;
    private static final int ORIGINS = 5;
    private static final int RUNNERS = 24;
    private static final long SLICE_SECONDS = 1;
    private static final int ROUNDS = 5;
    private static final int OUTSTANDING = 4000;
    private static final long THROUGHPUT_NANOS = 2_000_000_000L;

    private final Path folder;
    private final List<String> lines = new ArrayList<>();

    private MeasureLedger(Path folder) {
        this.folder = folder;
    }

    public static void main(String[] args) throws Exception {
        if (args.length == 3 && args[0].equals("fill")) {
            fill(Path.of(args[1]), Integer.parseInt(args[2]));
            // Ends like a killed process: no close, no checkpoint.
            Runtime.getRuntime().halt(9);
        }
        Path folder = Files.createTempDirectory("nettlewick-measure");
        try {
            MeasureLedger measure = new MeasureLedger(folder);
            if (args.length > 0 && args[0].equals("throughput")) {
                measure.measureThroughput("batch", false);
                measure.lines.forEach(System.out::println);
                System.exit(0);
            }
            if (args.length == 0 || !args[0].equals("answers")) {
                measure.measureThroughput("sync", true);
                measure.measureThroughput("batch", false);
                measure.measureMillionEntries();
            }
            measure.measureServing();
            measure.lines.forEach(System.out::println);
        } finally {
            try (Stream<Path> files = Files.walk(folder)) {
                files.sorted(Comparator.reverseOrder()).forEach(f -> f.toFile().delete());
            }
        }
        System.exit(0);
    }

    private void addResult(String name, double value, String format) {
        lines.add(name + "=" + String.format(Locale.ROOT, format, value));
    }

    private static LedgerSettings settings(Path store, boolean sync) {
        return new LedgerSettings(
                store,
                sync,
                20,
                250,
                60_000,
                MILLION,
                new BillingCalendar(java.time.ZoneOffset.UTC, List.of()),
                15_000,
                List.of(),
                null);
    }

    // Entries per second through the whole ledger: intent, answer, entry

    private void measureThroughput(String name, boolean sync) throws Exception {
        Ledger ledger = new Ledger("a", settings(folder.resolve(name), sync), Clock.system());
        ledger.start();
        ledger.awaitReady();
        Semaphore outstanding = new Semaphore(OUTSTANDING);
        long startNanos = System.nanoTime();
        long jobs = 0;
        while (System.nanoTime() - startNanos < THROUGHPUT_NANOS) {
            outstanding.acquire();
            ledger.record(
                    new UsageRecorder.FinishedRequest(
                            new Request(
                                    "00c0ffee" + jobs++,
                                    "step-view",
                                    "college-nord",
                                    null,
                                    0,
                                    1,
                                    0,
                                    0,
                                    false,
                                    null,
                                    null),
                            UsageRecorder.Ending.SERVED,
                            NOW,
                            1,
                            120_000,
                            false,
                            0),
                    receipt -> {
                        receipt.onDelivered();
                        outstanding.release();
                    });
        }
        ledger.close();
        addResult(
                "entries_per_s_" + name,
                ledger.metrics().get("ledger.entries").doubleValue() / ((System.nanoTime() - startNanos) / 1e9),
                "%.0f");
    }

    // A million entries

    private static void fill(Path store, int count) throws Exception {
        try (Store s = Store.open(store, "a", FaultInjection.NONE)) {
            for (int o = 0; o < ORIGINS; o++) {
                ChainOrigin origin = s.beginIncarnation(NOW);
                for (int done = 0; done < count / ORIGINS; done += 10_000) {
                    s.append(origin, drafts(10_000, done));
                }
            }
            Runtime.getRuntime().halt(9);
        }
    }

    private static List<Entry> drafts(int count, int from) {
        List<Entry> drafts = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            drafts.add(new Entry(
                    new EntryRef(new ChainOrigin("", 0), 0),
                    Entry.Kind.JOB,
                    NOW + from + i,
                    "college-nord",
                    i % 4 == 0 ? "save-run" : "step-view",
                    String.format("%016x", (from + i) * 2654435761L),
                    i % 4 == 0 ? Entry.hashKey("k" + from + i) : null,
                    UsageRecorder.Ending.SERVED,
                    120_000 + i,
                    false,
                    0,
                    1,
                    from + i,
                    null,
                    null,
                    null));
        }
        return drafts;
    }

    private static long size(Path store) throws IOException {
        long size = 0;
        try (Stream<Path> files = Files.list(store)) {
            for (Path file : files.toList()) {
                size += Files.size(file);
            }
        }
        return size;
    }

    private void measureMillionEntries() throws Exception {
        Path one = folder.resolve("million");
        Files.createDirectories(one);
        Process filler = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-cp",
                        System.getProperty("java.class.path"),
                        MeasureLedger.class.getName(),
                        "fill",
                        one.toString(),
                        Integer.toString(MILLION))
                .inheritIO()
                .start();
        filler.waitFor();
        long startNanos = System.nanoTime();
        ChainOrigin own;
        try (Store store = Store.open(one, "a", FaultInjection.NONE)) {
            Recovery.run(store, NOW, settings(one, true).calendar());
            own = store.beginIncarnation(NOW);
            store.append(own, drafts(1, 0));
        }
        addResult("open_1m_s", (System.nanoTime() - startNanos) / 1e9, "%.3f");
        addResult("bytes_per_entry", (double) size(one) / MILLION, "%.0f");
        Path two = folder.resolve("other");
        Files.createDirectories(two);
        Files.copy(one.resolve(Store.FILE_NAME), two.resolve(Store.FILE_NAME));
        byte[] key = "0123456789abcdef0123456789abcdef".getBytes();
        Vertx vertx = Vertx.vertx();
        try (Store store = Store.open(one, "a", FaultInjection.NONE);
                Store other = Store.open(two)) {
            long ledger = 0;
            for (ChainOrigin origin : store.heads().keySet()) {
                store.append(origin, drafts(100 / (ORIGINS + 1) + 1, MILLION));
                for (Store.Row row : store.rows(origin, 1, 1000)) {
                    ledger += row.bytes().length;
                }
            }
            ledger = ledger / (ORIGINS * 1000 + 1) * MILLION;
            PeerServer server = new PeerServer(
                    new PeerSettings(
                            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                            null,
                            List.of(new inet.ipaddr.IPAddressString("127.0.0.0/8")
                                    .getAddress()
                                    .toPrefixBlock()),
                            List.of(),
                            10,
                            5000,
                            2000),
                    one,
                    new MessageAuthenticator(key),
                    Clock.system());
            int port = DispatcherOnStubPlatform.awaitResult(server.listen());
            PeerClient client = new PeerClient(
                    vertx,
                    new InetSocketAddress(InetAddress.getLoopbackAddress(), port),
                    new MessageAuthenticator(key),
                    Clock.system(),
                    5000);
            startNanos = System.nanoTime();
            Reconciler.Report report = new Reconciler(other, client, 2000).runRound();
            addResult("reconcile_s", (System.nanoTime() - startNanos) / 1e9, "%.3f");
            addResult("reconcile_entries", report.entries(), "%.0f");
            addResult("reconcile_bytes", client.bytesTransferred(), "%.0f");
            addResult("reconcile_share", (double) client.bytesTransferred() / ledger, "%.7f");
            server.close();
        }
        DispatcherOnStubPlatform.awaitResult(vertx.close());
        startNanos = System.nanoTime();
        StatementCalculator calculator =
                new StatementCalculator(new BillingCalendar(java.time.ZoneOffset.UTC, List.of()), 15_000);
        try (Store store = Store.read(one)) {
            store.forEachEntry(calculator::add);
        }
        calculator.periods();
        addResult("statement_1m_s", (System.nanoTime() - startNanos) / 1e9, "%.2f");
    }

    // Latency and CPU of requests without a ledger, in batch mode and in sync mode, by turns

    private static final class Dispatcher {
        final Process process;
        final int port;
        final Map<Integer, Histogram> histograms = new HashMap<>();
        final Map<Integer, Double> cpu = new HashMap<>();
        final Map<Integer, Long> jobs = new HashMap<>();

        Dispatcher(Process process, int port) {
            this.process = process;
            this.port = port;
        }

        /** CPU seconds that the process has used. */
        double cpuSeconds() throws IOException {
            String stat = Files.readString(Path.of("/proc/" + process.pid() + "/stat"));
            String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
            return (Long.parseLong(fields[11]) + Long.parseLong(fields[12])) / 100.0;
        }
    }

    private void measureServing() throws Exception {
        try (DispatcherOnStubPlatform platform = new DispatcherOnStubPlatform()) {
            platform.executionMillis = 6;
            for (int i = 0; i < RUNNERS; i++) {
                platform.addEndpoint("s-" + i);
            }
            Map<String, Dispatcher> dispatchers = new java.util.LinkedHashMap<>();
            for (String mode : List.of("off", "batch", "sync")) {
                int port;
                try (ServerSocket free = new ServerSocket(0)) {
                    port = free.getLocalPort();
                }
                Map<String, Object> config = platform.config();
                config.put("listen", "127.0.0.1:" + port);
                Path file = Files.writeString(folder.resolve(mode + ".json"), new Gson().toJson(config));
                Path conf = Files.writeString(
                        folder.resolve(mode + ".conf"),
                        mode.equals("off")
                                ? ""
                                : "ledger {\n"
                                        + "store " + folder.resolve("store-" + mode) + "\nmode " + mode
                                        + (mode.equals("batch") ? " 20ms" : "") + "\n}\n");
                dispatchers.put(
                        mode,
                        new Dispatcher(
                                ChildProcess.start(
                                        folder.resolve(mode + ".log"),
                                        Map.of("ROUTER_CONFIG", file.toString()),
                                        "serve",
                                        "--settings",
                                        conf.toString()),
                                port));
            }
            Vertx vertx = Vertx.vertx();
            HttpClient client = vertx.createHttpClient(
                    new HttpClientOptions().setTcpNoDelay(true), new PoolOptions().setHttp1MaxSize(100));
            TimeUnit.SECONDS.sleep(2);
            for (Dispatcher dispatcher : dispatchers.values()) {
                load(client, dispatcher, 1000, 2, false);
            }
            List<Dispatcher> order = new ArrayList<>(dispatchers.values());
            for (int round = 0; round < ROUNDS; round++) {
                for (int rate : new int[] {200, 1000}) {
                    for (Dispatcher dispatcher : order) {
                        load(client, dispatcher, rate, SLICE_SECONDS, true);
                    }
                }
                java.util.Collections.rotate(order, 1);
            }
            Dispatcher off = dispatchers.get("off");
            for (int rate : new int[] {200, 1000}) {
                dispatchers.forEach((mode, dispatcher) -> {
                    Histogram h = dispatcher.histograms.get(rate);
                    addResult("p50_ms_" + mode + "_" + rate, h.getValueAtPercentile(50) / 1000.0, "%.2f");
                    addResult("p99_ms_" + mode + "_" + rate, h.getValueAtPercentile(99) / 1000.0, "%.2f");
                    addResult(
                            "cpu_ms_a_job_" + mode + "_" + rate,
                            1000 * dispatcher.cpu.get(rate) / dispatcher.jobs.get(rate),
                            "%.3f");
                });
            }
            for (String mode : List.of("batch", "sync")) {
                Dispatcher dispatcher = dispatchers.get(mode);
                for (int rate : new int[] {200, 1000}) {
                    String suffix = rate == 1000 ? "" : "_200";
                    addResult(
                            "p99_ratio_" + mode + suffix,
                            (double) dispatcher.histograms.get(rate).getValueAtPercentile(99)
                                    / off.histograms.get(rate).getValueAtPercentile(99),
                            "%.3f");
                    addResult("cpu_ratio_" + mode + suffix, dispatcher.cpu.get(rate) / off.cpu.get(rate), "%.3f");
                }
            }
            for (Dispatcher dispatcher : dispatchers.values()) {
                dispatcher.process.destroyForcibly();
                dispatcher.process.waitFor();
            }
            DispatcherOnStubPlatform.awaitResult(vertx.close());
        }
    }

    private final AtomicLong number = new AtomicLong();

    /** Open loop: latency counts from the time at which a request was due to be sent. */
    private void load(HttpClient client, Dispatcher dispatcher, int rate, long seconds, boolean count)
            throws Exception {
        Histogram histogram = dispatcher.histograms.computeIfAbsent(rate, r -> new Histogram(60_000_000, 3));
        double cpu = dispatcher.cpuSeconds();
        long jobs = rate * seconds;
        Semaphore done = new Semaphore(0);
        long startNanos = System.nanoTime();
        for (long i = 0; i < jobs; i++) {
            long intended = startNanos + i * 1_000_000_000L / rate;
            for (long wait = intended - System.nanoTime(); wait > 0; wait = intended - System.nanoTime()) {
                LockSupport.parkNanos(wait);
            }
            client.request(new RequestOptions()
                            .setMethod(HttpMethod.POST)
                            .setHost("127.0.0.1")
                            .setPort(dispatcher.port)
                            .setURI("/api")
                            .putHeader("X-Request-Id", "q" + number.incrementAndGet())
                            .putHeader("X-Class", "step-view")
                            .putHeader("X-Tenant", "red")
                            .putHeader("X-Deadline", "4"))
                    .compose(r -> r.send(Buffer.buffer("{}")))
                    .compose(r -> r.body())
                    .onComplete(r -> {
                        if (count) {
                            synchronized (histogram) {
                                histogram.recordValue(Math.min(60_000_000, (System.nanoTime() - intended) / 1000));
                            }
                        }
                        done.release();
                    });
        }
        if (!done.tryAcquire((int) jobs, 20, TimeUnit.SECONDS)) {
            throw new IllegalStateException("answers are missing");
        }
        if (count) {
            dispatcher.cpu.merge(rate, dispatcher.cpuSeconds() - cpu, Double::sum);
            dispatcher.jobs.merge(rate, jobs, Long::sum);
        }
    }
}
