package nettlewick.fleettest;

import com.google.gson.Gson;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.file.FileSystemOptions;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
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
    /** Cap on the attempts of one request. */
    static final int MAX_ATTEMPTS = 6;

    private static final int MAX_ENDPOINTS = 20_000;
    private static final double MAX_LATENESS_MILLIS = 20;
    /** Of how many processes the memory is read. */
    private static final int MAX_MEMORY_SAMPLES = 8;

    private static final int MAX_RECORDED_LATENESS_MILLIS = 60_000;
    private static final long LOOP_SLEEP_MICROS = 500;
    private static final double SECOND_MILLIS = 1000;

    private final Scenario scenario;
    private final Scenario.FleetSettings fleetSettings;
    final Vertx vertx;
    private final long beganNanos = System.nanoTime();
    /** When the measured load begins, by the test's clock. */
    private volatile double loadBeginsAt = Double.POSITIVE_INFINITY;

    final LinkFaults linkFaults;
    final InvariantChecker checker;
    private final LoadBalanceStats loadStats;
    final StubEndpoints endpoints;
    private final TcpRelay tcpRelay;
    final DiscoveryServer discovery;
    private final Map<Integer, InetSocketAddress> discoveryAddresses = new LinkedHashMap<>();
    final Fleet fleet;
    private final FleetReadiness readiness;
    final DatagramRelay datagramRelay;
    private final List<String> peerAddresses;
    final LoadGenerator loadGenerator;
    final StepExecutor stepExecutor;
    /** Null if the scenario has no tenant pools. */
    final TenantPoolEnvironment tenantPools;

    private final Path folder;
    /** Unix time in milliseconds at which the test's clock began. */
    final double beganAtUnixMillis = System.currentTimeMillis();

    /** Set by a test to end the run early. */
    volatile boolean stopRequested;

    private final StallMonitor stallMonitor;
    private final Histogram generatorLateness = new Histogram(MAX_RECORDED_LATENESS_MILLIS, 3);
    private final Map<String, Double> figures = new LinkedHashMap<>();
    private final List<Results.Second> secondSummaries = new ArrayList<>();
    private int submittedCount;
    /** Since the measured load began; null before. */
    private FleetCost loadCost;

    ScenarioRun(Scenario scenario, Path folder) throws Exception {
        this.scenario = scenario;
        fleetSettings = scenario.fleet();
        vertx = Vertx.vertx(new VertxOptions()
                .setEventLoopPoolSize(Math.max(4, Runtime.getRuntime().availableProcessors() / 2))
                .setFileSystemOptions(
                        new FileSystemOptions().setFileCachingEnabled(false).setClassPathResolvingEnabled(false)));
        linkFaults = new LinkFaults(scenario.links(), fleetSettings.seed());
        checker = new InvariantChecker(scenario, MAX_ATTEMPTS);
        tcpRelay = scenario.links().isTcpRelayed() ? new TcpRelay(vertx, linkFaults, this::now) : null;
        endpoints = new StubEndpoints(fleetSettings, vertx, tcpRelay, this, this::now);
        loadStats = new LoadBalanceStats(endpoints.models(), scenario.load().meanWorkMillis());
        discovery = new DiscoveryServer(
                vertx,
                fleetSettings.dispatchers(),
                fleetSettings.discoveryCallMillis(),
                checker::drainSent,
                this::now,
                endpoints::address);
        for (int r = 0; r < fleetSettings.endpoints(); r++) {
            discovery.announceHealth(endpoints.add(Double.NEGATIVE_INFINITY), "Ready");
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
        readiness = new FleetReadiness(fleet, vertx);
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

    /** Starts all processes, waits until each is ready and measures what that cost. */
    Map<String, Double> startFleet(Consumer<String> progress) throws Exception {
        double beganAt = now();
        readiness.startAll(progress);
        figures.put("processes", (double) fleet.dispatchers.size());
        figures.put("ready_s", (now() - beganAt) / SECOND_MILLIS);
        figures.put("start_cpu_s", fleet.cpuMillis() / SECOND_MILLIS / fleet.dispatchers.size());
        int sampleSize = Math.min(MAX_MEMORY_SAMPLES, fleet.dispatchers.size());
        figures.put(
                "megabytes",
                IntStream.range(0, sampleSize).mapToDouble(fleet::megabytes).sum() / sampleSize);
        return figures;
    }

    /** Measures the cost of the fleet without any requests, over some milliseconds. */
    void measureIdle(double millis) throws InterruptedException {
        double beganAt = now();
        FleetCost cost = new FleetCost(fleet, datagramRelay);
        TimeUnit.MILLISECONDS.sleep((long) millis);
        double elapsedMillis = now() - beganAt;
        figures.put("idle_cores_per_100", cost.cores(elapsedMillis) / fleet.dispatchers.size() * 100);
        figures.put("idle_datagrams_per_s", cost.datagramsPerSecond(elapsedMillis));
    }

    /** Generates the load and executes the steps until every request has an outcome. */
    Map<String, Double> run(Consumer<String> progress) throws Exception {
        List<RequestTrace.PlannedRequest> trace = RequestTrace.draw(scenario);
        scheduleAll();
        double reportedAt = -scenario.load().warmUpMillis();
        while (!stopRequested && !isDone()) {
            submitDue(trace);
            if (loadCost == null && millisSinceLoadBegan() >= 0) {
                loadCost = new FleetCost(fleet, datagramRelay);
            }
            double stepsBegan = now();
            stepExecutor.runDue();
            stallMonitor.recordStall("the execution of steps", stepsBegan, now());
            if (millisSinceLoadBegan() - reportedAt >= SECOND_MILLIS) {
                reportedAt += SECOND_MILLIS;
                readiness.checkHealth();
                summarizeSecond(progress);
                recordLoadCost();
            }
            TimeUnit.MICROSECONDS.sleep(LOOP_SLEEP_MICROS);
        }
        checker.checkUnanswered(now());
        stallMonitor.close();
        checker.explainViolations(stallMonitor);
        if (tenantPools != null) {
            figures.putAll(tenantPools.close(
                    DispatcherLogs.read(folder, beganAtUnixMillis), loadGenerator.outcomes(), checker, loadBeginsAt));
        }
        long requestCount = trace.stream().filter(request -> request.at() >= 0).count();
        figures.putAll(new OutcomeFigures(this, scenario.load()).collect(requestCount));
        double lateness = generatorLateness.getValueAtPercentile(99);
        figures.put("generator_late_p99", lateness);
        figures.put("longest_hold_up", stallMonitor.longestOwnStallMillis());
        figures.put("limited_by_machine", lateness > MAX_LATENESS_MILLIS ? 1.0 : 0.0);
        return figures;
    }

    /** Sets the beginning of the measured load and schedules the steps and samples from there. */
    private void scheduleAll() {
        loadBeginsAt = now() + scenario.load().warmUpMillis();
        checker.measureFrom(loadBeginsAt);
        loadGenerator.measureFrom(loadBeginsAt);
        scenario.steps().forEach(s -> stepExecutor.schedule(loadBeginsAt + s.at(), s));
        for (double at = 0; at < scenario.load().lengthMillis(); at += LoadBalanceStats.SAMPLE_INTERVAL_MILLIS) {
            double sampledAt = at;
            stepExecutor.schedule(loadBeginsAt + at, () -> loadStats.sample(sampledAt));
        }
    }

    /** Returns whether load and steps are over and every request has its answer, or is past any time for it. */
    private boolean isDone() {
        double endsAt = scenario.load().lengthMillis();
        if (millisSinceLoadBegan() < endsAt || !stepExecutor.isDone()) {
            return false;
        }
        double longestDeadline = scenario.load().classes().stream()
                .mapToDouble(Scenario.RequestClass::deadlineMillis)
                .max()
                .orElse(0);
        return loadGenerator.openRequests.get() <= 0
                || millisSinceLoadBegan() >= endsAt + longestDeadline + 2 * InvariantChecker.ANSWER_TOLERANCE_MILLIS;
    }

    private void submitDue(List<RequestTrace.PlannedRequest> trace) {
        while (submittedCount < trace.size() && trace.get(submittedCount).at() <= millisSinceLoadBegan()) {
            RequestTrace.PlannedRequest request = trace.get(submittedCount);
            submittedCount++;
            if (request.at() >= 0) {
                double lateness = Math.min(MAX_RECORDED_LATENESS_MILLIS, millisSinceLoadBegan() - request.at());
                generatorLateness.recordValue((long) lateness);
            }
            loadGenerator.submit(request, loadBeginsAt + request.at());
        }
    }

    private void summarizeSecond(Consumer<String> progress) {
        Map<String, Integer> outcomes = loadGenerator.outcomes();
        secondSummaries.add(new Results.Second(
                millisSinceLoadBegan(),
                (int) readiness.countReady(),
                submittedCount,
                outcomes.getOrDefault("in_time", 0),
                outcomes.getOrDefault("late", 0),
                loadGenerator.rejections.get(),
                loadGenerator.openRequests.get()));
        progress.accept(String.format(
                "%.0f s: %d ready, %d sent, %d served, %d rejections, %d open, %d violations",
                millisSinceLoadBegan() / SECOND_MILLIS,
                readiness.countReady(),
                submittedCount,
                loadGenerator.served.get(),
                loadGenerator.rejections.get(),
                loadGenerator.openRequests.get(),
                checker.violations().size()));
    }

    private void recordLoadCost() {
        double elapsedMillis = millisSinceLoadBegan();
        if (loadCost != null && elapsedMillis < scenario.load().lengthMillis()) {
            figures.put("cores", loadCost.cores(elapsedMillis));
            figures.put("datagrams_per_s", loadCost.datagramsPerSecond(elapsedMillis));
            figures.put("datagram_bytes_per_s", loadCost.datagramBytesPerSecond(elapsedMillis));
        }
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
