package nettlewick.fleettest;

import com.google.gson.Gson;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.file.FileSystemOptions;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import nettlewick.stubs.DiscoveryServer;
import nettlewick.stubs.EndpointModel;
import nettlewick.stubs.EndpointServer;
import nettlewick.stubs.StubPlatform;
import org.HdrHistogram.Histogram;

/**
 * One run of a scenario: sets up stubs, relays and the fleet, generates the load, executes the steps, and collects
 * figures.
 */
final class ScenarioRun implements AutoCloseable, EndpointServer.Listener {
    private static final String ENDPOINT_NET = Fleet.addressPrefix(2);
    /** Cap on the attempts of one request. */
    static final int MAX_ATTEMPTS = 6;
    /** Up to this many pairs of dispatcher and endpoint, each pair has its own relay listener. */
    private static final int MAX_SEPARATE_RELAYS = 4096;

    private static final int MAX_ENDPOINTS = 20_000;
    private static final int START_TIMEOUT_SECONDS = 300;
    private static final double MAX_LATENESS_MILLIS = 20;
    private static final double SECOND_MILLIS = 1000;

    private final Scenario scenario;
    private final Scenario.FleetSettings fleetSettings;
    final Vertx vertx;
    private final HttpClient healthClient;
    private final long beganNanos = System.nanoTime();
    /** When the measured load begins, by the test's clock. */
    private volatile double loadBeginsAt = Double.POSITIVE_INFINITY;

    final LinkFaults linkFaults;
    final InvariantChecker checker;
    private final LoadBalanceStats loadStats;
    final List<EndpointModel> endpointModels = new CopyOnWriteArrayList<>();
    final List<EndpointServer> endpoints = new ArrayList<>();
    private final TcpRelay tcpRelay;
    private final Map<String, InetSocketAddress> endpointAddresses = new java.util.concurrent.ConcurrentHashMap<>();
    final DiscoveryServer discovery;
    private final Map<Integer, InetSocketAddress> discoveryAddresses = new LinkedHashMap<>();
    final Fleet fleet;
    final DatagramRelay datagramRelay;
    private final List<String> peerAddresses;
    final LoadGenerator loadGenerator;
    final StepExecutor stepExecutor;
    /** Null if the scenario has no tenant pools. */
    final TenantPoolEnvironment tenantPools;

    private final Path folder;
    /** Unix time in milliseconds at which the test's clock began. */
    final double beganAtUnixMillis = System.currentTimeMillis();

    private final Map<EndpointServer, Integer> endpointNumbers = new java.util.concurrent.ConcurrentHashMap<>();
    /** Set by a test to end the run early. */
    volatile boolean stopRequested;

    private final StallMonitor stallMonitor;
    private final Histogram generatorLateness = new Histogram(60_000, 3);
    private final Map<String, Double> figures = new LinkedHashMap<>();
    private final List<Results.Second> secondSummaries = new ArrayList<>();

    ScenarioRun(Scenario scenario, Path folder) throws Exception {
        this.scenario = scenario;
        fleetSettings = scenario.fleet();
        vertx = Vertx.vertx(new VertxOptions()
                .setEventLoopPoolSize(Math.max(4, Runtime.getRuntime().availableProcessors() / 2))
                .setFileSystemOptions(
                        new FileSystemOptions().setFileCachingEnabled(false).setClassPathResolvingEnabled(false)));
        healthClient = vertx.createHttpClient(
                new HttpClientOptions().setConnectTimeout(500).setKeepAlive(false),
                new PoolOptions().setHttp1MaxSize(4));
        linkFaults = new LinkFaults(scenario.links(), fleetSettings.seed());
        checker = new InvariantChecker(scenario, MAX_ATTEMPTS);
        loadStats = new LoadBalanceStats(endpointModels, scenario.load().meanWorkMillis());
        tcpRelay = scenario.links().isTcpRelayed() ? new TcpRelay(vertx, linkFaults, this::now) : null;
        discovery = new DiscoveryServer(
                vertx,
                fleetSettings.dispatchers(),
                fleetSettings.discoveryCallMillis(),
                checker::drainSent,
                this::now,
                (dispatcher, r) -> endpointAddresses.get(addressKey(dispatcher, endpointNumbers.get(r))));
        for (int r = 0; r < fleetSettings.endpoints(); r++) {
            discovery.announceHealth(addEndpoint(Double.NEGATIVE_INFINITY), "Ready");
        }
        this.folder = folder;
        tenantPools = scenario.tenantPools() == null ? null : new TenantPoolEnvironment(this, scenario, folder);
        fleet = new Fleet(
                fleetSettings.dispatchers(),
                folder,
                this::dispatcherConfig,
                dispatcher -> tenantPools == null ? null : tenantPools.settings(dispatcher),
                dispatcher -> (tenantPools == null ? 0 : tenantPools.clockAheadMillis())
                        + fleetSettings
                                .clockOffsets()
                                .getOrDefault("n" + dispatcher, 0.0)
                                .longValue(),
                new ProcessEvents());
        stallMonitor = new StallMonitor(this::now, fleet);
        for (int dispatcher = 0; dispatcher < fleetSettings.dispatchers(); dispatcher++) {
            InetSocketAddress direct = discovery.listen(dispatcher);
            discoveryAddresses.put(dispatcher, relayedAddress(dispatcher, discoveryParty(), direct));
        }
        datagramRelay = new DatagramRelay(
                fleet.dispatchers.stream().map(process -> process.peerAddress).toList(),
                Fleet.addressPrefix(1),
                linkFaults,
                this::now,
                Math.max(1, Math.min(3, fleetSettings.dispatchers() / 50)));
        peerAddresses =
                datagramRelay.addresses().stream().map(ScenarioRun::addressText).toList();
        loadGenerator = new LoadGenerator(scenario, fleet, vertx, checker, loadStats, this::now);
        stepExecutor = new StepExecutor(this, fleetSettings);
        if (tenantPools != null) {
            tenantPools.open();
        }
    }

    /** Reports process events to the checker. */
    private final class ProcessEvents implements Fleet.ProcessListener {
        @Override
        public void killed(int number) {
            checker.processEvent(number, now(), "SIGKILL sent");
            checker.killed(number, now());
        }

        @Override
        public void exited(int number, int exitCode) {
            checker.processEvent(number, now(), "exited with code " + exitCode);
            checker.ended(number, now(), fleetSettings.deathNoticeMillis());
        }
    }

    /** Returns the milliseconds since the test began. Monotonic, because its readings are stored and compared. */
    double now() {
        return (System.nanoTime() - beganNanos) / 1e6;
    }

    /** Returns the milliseconds since the measured load began; negative before. */
    private double millisSinceLoadBegan() {
        return now() - loadBeginsAt;
    }

    static String addressText(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    int endpointParty(int endpoint) {
        return fleetSettings.dispatchers() + endpoint;
    }

    int discoveryParty() {
        return fleetSettings.dispatchers() + MAX_ENDPOINTS;
    }

    int providerParty() {
        return discoveryParty() + 1;
    }

    /** Returns the address at which a dispatcher reaches a server that all dispatchers share. */
    InetSocketAddress relayedAddress(int dispatcher, int party, InetSocketAddress direct) throws Exception {
        return tcpRelay == null ? direct : tcpRelay.open(dispatcher, party, direct);
    }

    /** Returns the dispatcher that holds a tenant's lease task, according to the logs. */
    int leaseHolder(String tenant) throws IOException {
        return DispatcherLogs.read(folder, beganAtUnixMillis, "duty-held").leaseHolder(tenant);
    }

    /** Returns the first dispatcher of the group that shares a relay listener. */
    private int relayGroup(int dispatcher) {
        return fleetSettings.dispatchers() * fleetSettings.endpoints() <= MAX_SEPARATE_RELAYS
                ? dispatcher
                : dispatcher % fleetSettings.zones().size();
    }

    private String addressKey(int dispatcher, int endpoint) {
        return (tcpRelay == null ? "" : relayGroup(dispatcher) + " ") + endpoint;
    }

    EndpointServer addEndpoint(double bornAt) throws Exception {
        return addEndpoint(bornAt, "s" + endpoints.size());
    }

    EndpointServer addEndpoint(double bornAt, String name) throws Exception {
        int number = endpoints.size();
        EndpointModel model = new EndpointModel(
                name, fleetSettings.zone(number), fleetSettings.speed(number), fleetSettings.endpoint(), bornAt);
        EndpointServer server =
                new EndpointServer(Fleet.address(ENDPOINT_NET, number).getHostAddress(), model, vertx, this, this::now);
        InetSocketAddress direct = server.listen();
        for (int dispatcher = 0; dispatcher < fleetSettings.dispatchers(); dispatcher++) {
            String key = addressKey(dispatcher, number);
            if (!endpointAddresses.containsKey(key)) {
                endpointAddresses.put(
                        key,
                        tcpRelay == null
                                ? direct
                                : tcpRelay.open(relayGroup(dispatcher), endpointParty(number), direct));
            }
        }
        endpointNumbers.put(server, number);
        endpoints.add(server);
        endpointModels.add(model);
        return server;
    }

    private Map<String, Object> dispatcherConfig(int number) {
        Fleet.DispatcherProcess process = fleet.dispatchers.get(number);
        Map<String, Object> config = new LinkedHashMap<>();
        config.put("name", "n" + number);
        config.put("listen", addressText(process.listenAddress));
        config.put("admin_addr", addressText(process.adminAddress));
        config.put("discovery", addressText(discoveryAddresses.get(number)));
        config.put(
                "seed",
                String.format(
                        "%016x",
                        new SplittableRandom(fleetSettings.seed() + 1000L * number + process.incarnationCount)
                                .nextLong()));
        config.put("peer_listen", addressText(process.peerAddress));
        config.put("peers", peerAddresses);
        if (process.incarnationCount > 1 && fleetSettings.keepsEndpointList()) {
            config.put("known", new Gson().fromJson(new Gson().toJson(discovery.lastSentList(number)), Map.class));
        }
        config.put("settings", PlatformSettings.of(scenario, number));
        return config;
    }

    /** Starts all processes, a few at a time, and waits until each is ready. */
    Map<String, Double> startFleet(Consumer<String> progress) throws Exception {
        double beganAt = now();
        int next = 0;
        int maxStarting = Runtime.getRuntime().availableProcessors() + 2;
        while (fleet.dispatchers.stream().anyMatch(process -> !process.ready)) {
            long starting = fleet.dispatchers.stream()
                    .filter(process -> process.incarnationCount > 0 && !process.ready)
                    .count();
            for (; next < fleet.dispatchers.size() && starting < maxStarting; next++, starting++) {
                fleet.start(next);
            }
            checkHealth();
            for (Fleet.DispatcherProcess process : fleet.dispatchers.subList(0, next)) {
                if (!process.alive()) {
                    throw new IOException("n" + process.number + " exited before it was ready, with code "
                            + process.process.exitValue() + "; see its log in the result folder");
                }
            }
            if (now() - beganAt > START_TIMEOUT_SECONDS * SECOND_MILLIS) {
                throw new IOException("the fleet was not ready after " + START_TIMEOUT_SECONDS + " s");
            }
            TimeUnit.MILLISECONDS.sleep(50);
            progress.accept(countReady() + " of " + fleet.dispatchers.size() + " ready");
        }
        figures.put("processes", (double) fleet.dispatchers.size());
        figures.put("ready_s", (now() - beganAt) / SECOND_MILLIS);
        figures.put("start_cpu_s", fleet.cpuMillis() / SECOND_MILLIS / fleet.dispatchers.size());
        int sampleSize = Math.min(8, fleet.dispatchers.size());
        figures.put(
                "megabytes",
                IntStream.range(0, sampleSize).mapToDouble(fleet::megabytes).sum() / sampleSize);
        return figures;
    }

    /** Measures the cost of the fleet without any requests, over some milliseconds. */
    void measureIdle(double millis) throws InterruptedException {
        double beganAt = now();
        double cpuBefore = fleet.cpuMillis();
        long sentBefore = datagramRelay.sent();
        TimeUnit.MILLISECONDS.sleep((long) millis);
        double elapsedMillis = now() - beganAt;
        figures.put(
                "idle_cores_per_100", (fleet.cpuMillis() - cpuBefore) / elapsedMillis / fleet.dispatchers.size() * 100);
        figures.put(
                "idle_datagrams_per_s",
                (datagramRelay.sent() - sentBefore) / elapsedMillis * SECOND_MILLIS / fleet.dispatchers.size());
    }

    private long countReady() {
        return fleet.dispatchers.stream().filter(process -> process.ready).count();
    }

    /** Sends a health check to each running process that is not known to be ready. */
    private void checkHealth() {
        for (Fleet.DispatcherProcess process : fleet.dispatchers) {
            if (process.alive() && !process.ready && !process.paused) {
                Process checkedProcess = process.process;
                healthClient
                        .request(
                                HttpMethod.GET,
                                process.listenAddress.getPort(),
                                process.listenAddress.getHostString(),
                                "/_health")
                        .compose(r -> r.send())
                        .onSuccess(r -> process.ready = r.statusCode() == 200 && process.process == checkedProcess);
            }
        }
    }

    /** Generates the load and executes the steps until every request has an outcome. */
    Map<String, Double> run(Consumer<String> progress) throws Exception {
        List<RequestTrace.PlannedRequest> trace = RequestTrace.draw(scenario);
        loadBeginsAt = now() + scenario.load().warmUpMillis();
        checker.measureFrom(loadBeginsAt);
        loadGenerator.measureFrom(loadBeginsAt);
        scenario.steps().forEach(s -> stepExecutor.schedule(loadBeginsAt + s.at(), s));
        for (double at = 0; at < scenario.load().lengthMillis(); at += LoadBalanceStats.SAMPLE_INTERVAL_MILLIS) {
            double sampledAt = at;
            stepExecutor.schedule(loadBeginsAt + at, () -> loadStats.sample(sampledAt));
        }
        double cpuBefore = 0;
        long sentBefore = 0;
        long bytesBefore = 0;
        boolean isMeasuring = false;
        int next = 0;
        double reportedAt = -scenario.load().warmUpMillis();
        double endsAt = scenario.load().lengthMillis();
        double longestDeadline = scenario.load().classes().stream()
                .mapToDouble(Scenario.RequestClass::deadlineMillis)
                .max()
                .orElse(0);
        while (!stopRequested
                && (millisSinceLoadBegan() < endsAt
                        || !stepExecutor.isDone()
                        || loadGenerator.openRequests.get() > 0
                                && millisSinceLoadBegan()
                                        < endsAt + longestDeadline + 2 * InvariantChecker.ANSWER_TOLERANCE_MILLIS)) {
            while (next < trace.size() && trace.get(next).at() <= millisSinceLoadBegan()) {
                RequestTrace.PlannedRequest request = trace.get(next++);
                if (request.at() >= 0) {
                    generatorLateness.recordValue((long) Math.min(60_000, millisSinceLoadBegan() - request.at()));
                }
                loadGenerator.submit(request, loadBeginsAt + request.at());
            }
            if (!isMeasuring && millisSinceLoadBegan() >= 0) {
                isMeasuring = true;
                cpuBefore = fleet.cpuMillis();
                sentBefore = datagramRelay.sent();
                bytesBefore = datagramRelay.bytes();
            }
            double stepsBegan = now();
            stepExecutor.runDue();
            stallMonitor.recordStall("the execution of steps", stepsBegan, now());
            if (millisSinceLoadBegan() - reportedAt >= SECOND_MILLIS) {
                reportedAt += SECOND_MILLIS;
                checkHealth();
                Map<String, Integer> outcomes = loadGenerator.outcomes();
                secondSummaries.add(new Results.Second(
                        millisSinceLoadBegan(),
                        (int) countReady(),
                        next,
                        outcomes.getOrDefault("in_time", 0),
                        outcomes.getOrDefault("late", 0),
                        loadGenerator.rejections.get(),
                        loadGenerator.openRequests.get()));
                progress.accept(String.format(
                        "%.0f s: %d ready, %d sent, %d served, %d rejections, %d open, " + "%d violations",
                        millisSinceLoadBegan() / SECOND_MILLIS,
                        countReady(),
                        next,
                        loadGenerator.served.get(),
                        loadGenerator.rejections.get(),
                        loadGenerator.openRequests.get(),
                        checker.violations().size()));
                double elapsedMillis = millisSinceLoadBegan();
                if (isMeasuring && elapsedMillis < endsAt) {
                    figures.put("cores", (fleet.cpuMillis() - cpuBefore) / elapsedMillis);
                    figures.put(
                            "datagrams_per_s",
                            (datagramRelay.sent() - sentBefore)
                                    / elapsedMillis
                                    * SECOND_MILLIS
                                    / fleet.dispatchers.size());
                    figures.put(
                            "datagram_bytes_per_s",
                            (datagramRelay.bytes() - bytesBefore)
                                    / elapsedMillis
                                    * SECOND_MILLIS
                                    / fleet.dispatchers.size());
                }
            }
            TimeUnit.MICROSECONDS.sleep(500);
        }
        checker.checkUnanswered(now());
        stallMonitor.close();
        checker.explainViolations(stallMonitor);
        if (tenantPools != null) {
            figures.putAll(tenantPools.close(
                    DispatcherLogs.read(folder, beganAtUnixMillis), loadGenerator.outcomes(), checker, loadBeginsAt));
        }
        return collectFigures(
                (int) trace.stream().filter(request -> request.at() >= 0).count());
    }

    private Map<String, Double> collectFigures(int requestCount) {
        figures.put("jobs", (double) requestCount);
        for (String outcome : List.of("in_time", "late", "unserved", "failed", "broken_off", "unanswered")) {
            figures.put(outcome, (double) loadGenerator.outcomes().getOrDefault(outcome, 0));
        }
        for (Scenario.Tenant tenant : scenario.load().tenants()) {
            if (scenario.load().tenants().size() > 1) {
                figures.put(
                        "asked_" + tenant.name(),
                        loadGenerator.outcomes().entrySet().stream()
                                .filter(e -> e.getKey().endsWith(" " + tenant.name()))
                                .mapToDouble(Map.Entry::getValue)
                                .sum());
                figures.put("in_time_" + tenant.name(), (double)
                        loadGenerator.outcomes().getOrDefault("in_time " + tenant.name(), 0));
            }
        }
        figures.put("refusals", (double) loadGenerator.rejections.get());
        figures.put("attempts", (double) checker.count("attempts"));
        figures.put("sent_to_full", checker.count("sent_to_full") / Math.max(1.0, checker.count("attempts")));
        figures.put("run_again", (double) checker.count("run_again"));
        figures.putAll(loadStats.figures());
        figures.put("latency_p50", (double) loadGenerator.latency.getValueAtPercentile(50));
        figures.put("latency_p99", (double) loadGenerator.latency.getValueAtPercentile(99));
        figures.put("discovery_calls", (double) discovery.callCount.get());
        figures.put("too_long", (double) datagramRelay.oversized());
        figures.put("crashed", (double) fleet.dispatchers.stream()
                .filter(Fleet.DispatcherProcess::crashed)
                .count());
        figures.put("rules_broken", (double) checker.violations().size());
        figures.put("generator_late_p99", (double) generatorLateness.getValueAtPercentile(99));
        figures.put("longest_hold_up", stallMonitor.longestOwnStallMillis());
        figures.put("limited_by_machine", generatorLateness.getValueAtPercentile(99) > MAX_LATENESS_MILLIS ? 1.0 : 0.0);
        return figures;
    }

    @Override
    public void attemptArrived(String id, EndpointModel endpoint, EndpointModel.Admission admission, double now) {
        if (now >= loadBeginsAt) {
            loadStats.arrived(endpoint, now);
        }
        checker.attemptArrived(id, endpoint, admission, now);
        if (admission == EndpointModel.Admission.FULL || admission == EndpointModel.Admission.DRAINS) {
            loadStats.rejected();
        }
    }

    @Override
    public void executionStarted(String id, EndpointModel endpoint, double now) {
        checker.executionStarted(id, endpoint, now);
    }

    @Override
    public void endpointOverloaded(EndpointModel endpoint, double now) {
        checker.endpointOverloaded(endpoint.name, now);
    }

    InvariantChecker checker() {
        return checker;
    }

    LoadBalanceStats loadStats() {
        return loadStats;
    }

    List<Results.Second> secondSummaries() {
        return secondSummaries;
    }

    Histogram latency() {
        return loadGenerator.latency;
    }

    @Override
    public void close() throws Exception {
        try {
            // Closed first; otherwise each connection that an ending process resets would be logged.
            StubPlatform.awaitResult(vertx.close());
        } finally {
            fleet.close();
            datagramRelay.close();
            if (tenantPools != null) {
                tenantPools.close();
            }
        }
    }
}
