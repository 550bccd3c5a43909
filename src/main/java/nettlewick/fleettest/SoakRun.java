package nettlewick.fleettest;

import com.google.gson.Gson;
import io.vertx.core.Vertx;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import nettlewick.fleettest.SoakJournal.Arrival;
import nettlewick.fleettest.SoakJournal.Incarnation;
import nettlewick.stubs.DiscoveryServer;
import nettlewick.stubs.EndpointModel;
import nettlewick.stubs.EndpointServer;
import nettlewick.stubs.StubPlatform;

/**
 * One soak: a small fleet of real processes under clients of all kinds. Each process is restarted by SIGTERM, with
 * SIGKILL at the earliest time that the protocol allows. Confined to one thread, which sends all signals.
 */
final class SoakRun implements AutoCloseable, EndpointServer.Listener {
    /** The result of a soak. */
    record Verdict(
            List<SoakChecks.Violation> violations,
            int requests,
            int requestsOnClosedConnections,
            double maxStallMillis,
            double maxKillDelayMillis) {
        /** Returns the verdict in one line. */
        String text() {
            return String.format(
                    "%s, %d requests, %d sent on an idle connection that was closing, %d violations;"
                            + " stalled for at most %.0f ms, SIGKILL at most %.1f ms late",
                    violations.isEmpty() ? "rules kept" : "BROKEN",
                    requests,
                    requestsOnClosedConnections,
                    violations.size(),
                    maxStallMillis,
                    maxKillDelayMillis);
        }
    }

    /** An action at a time of the run's clock. */
    private record ScheduledAction(double at, int order, Action action) {}

    /** A step of the run. */
    private interface Action {
        void run() throws IOException;
    }

    private static final double START_TIMEOUT_MILLIS = 60_000;
    private static final double TRAILING_LOAD_MILLIS = 1000;
    private static final long STEP_MICROS = 300;
    private static final long HEALTH_CHECK_MILLIS = 25;
    private static final int CONNECT_TIMEOUT_MILLIS = 500;
    private static final double NANOS_PER_MILLI = 1e6;

    private final SoakPlan plan;
    private final SoakConfig soakConfig;
    private final Path folder;
    private final Vertx vertx = Vertx.vertx();
    private final long beganNanos = System.nanoTime();
    private final SoakJournal journal = new SoakJournal();
    private final List<EndpointServer> endpoints = new ArrayList<>();
    private final Map<EndpointServer, InetSocketAddress> addresses = new ConcurrentHashMap<>();
    private final DiscoveryServer discovery;
    /** Two addresses of discovery for each dispatcher; a reload switches between them. */
    private final List<List<InetSocketAddress>> discoveryAddresses = new ArrayList<>();

    private final int[] discoveryInUse;
    private final Fleet fleet;
    private final StallMonitor stallMonitor;
    /** The dispatchers that the clients' load balancer connects to, with the process that serves there. */
    private final Map<Integer, SoakClient.Target> balancerTargets = new ConcurrentHashMap<>();

    private final PriorityQueue<ScheduledAction> scheduled = new PriorityQueue<>(
            Comparator.comparingDouble(ScheduledAction::at).thenComparingInt(ScheduledAction::order));
    private final List<Thread> clients = new ArrayList<>();
    private final IdleConnections idleConnections = new IdleConnections();
    private double loadBeganAt;
    private int pendingRestarts;
    private volatile boolean stopped;

    SoakRun(SoakPlan plan, Path folder) throws Exception {
        this.plan = plan;
        soakConfig = new SoakConfig(plan);
        this.folder = folder;
        discoveryInUse = new int[plan.dispatchers()];
        discovery = new DiscoveryServer(
                vertx, plan.dispatchers(), 0, journal::drainTold, this::now, (d, endpoint) -> addresses.get(endpoint));
        for (int r = 0; r < plan.endpoints(); r++) {
            EndpointModel model = new EndpointModel(
                    "s" + r, SoakConfig.ZONE, 1, SoakConfig.ENDPOINT_CONFIG, Double.NEGATIVE_INFINITY);
            EndpointServer endpoint = new EndpointServer("127.0.0.1", model, vertx, this, this::now);
            addresses.put(endpoint, endpoint.listen());
            endpoints.add(endpoint);
            discovery.announceHealth(endpoint, "Ready");
        }
        for (int d = 0; d < plan.dispatchers(); d++) {
            discoveryAddresses.add(List.of(discovery.listen(d), discovery.listen(d)));
        }
        fleet = new Fleet(plan.dispatchers(), folder, this::dispatcherConfig, d -> null, d -> 0, new ProcessEvents());
        stallMonitor = new StallMonitor(this::now, fleet);
    }

    private double now() {
        return (System.nanoTime() - beganNanos) / NANOS_PER_MILLI;
    }

    private Map<String, Object> dispatcherConfig(int number) {
        Fleet.DispatcherProcess dispatcher = fleet.dispatchers.get(number);
        InetSocketAddress discoveryAddress = discoveryAddresses.get(number).get(discoveryInUse[number]);
        Map<String, Object> known = dispatcher.incarnationCount > 1 ? discovery.lastSentList(number) : null;
        return soakConfig.dispatcherConfig(dispatcher, discoveryAddress, known);
    }

    /** Runs the plan and checks the journal. */
    Verdict run() throws Exception {
        for (int d = 0; d < plan.dispatchers(); d++) {
            start(d);
        }
        runUntil(() -> balancerTargets.size() == plan.dispatchers(), START_TIMEOUT_MILLIS);
        loadBeganAt = now();
        schedulePlan();
        for (int c = 0; c < plan.clients().size(); c++) {
            SoakClient client = new SoakClient(c, plan, this::pick, journal, this::now, () -> stopped);
            Thread thread = new Thread(client, "soak-client-" + c);
            thread.start();
            clients.add(thread);
        }
        runUntil(() -> scheduled.isEmpty() && pendingRestarts == 0, Double.POSITIVE_INFINITY);
        runUntil(this::areAllReadyOrOverdue, Double.POSITIVE_INFINITY);
        plan(now() + TRAILING_LOAD_MILLIS, () -> stopped = true);
        runUntil(() -> stopped, Double.POSITIVE_INFINITY);
        for (Thread client : clients) {
            client.join();
        }
        stallMonitor.close();
        SoakChecks checks =
                new SoakChecks(journal, plan, SoakConfig.DRAIN_GRACE_MILLIS, ScenarioRun.MAX_ATTEMPTS, loadBeganAt);
        List<SoakChecks.Violation> violations = checks.run();
        double killLate = journal.allIncarnations().stream()
                .mapToDouble(p -> p.killedAt() - p.killDueAt())
                .filter(late -> !Double.isNaN(late))
                .max()
                .orElse(0);
        return new Verdict(
                violations,
                journal.entries().size(),
                checks.requestsOnClosedConnections(),
                stallMonitor.longestOwnStallMillis(),
                killLate);
    }

    private boolean areAllReadyOrOverdue() {
        return IntStream.range(0, plan.dispatchers())
                .mapToObj(journal::latest)
                .allMatch(p -> !Double.isNaN(p.readyAt()) || now() > p.startedAt() + SoakChecks.READY_TIMEOUT_MILLIS);
    }

    private void plan(double at, Action action) {
        scheduled.add(new ScheduledAction(at, scheduled.size(), action));
    }

    private void schedulePlan() {
        for (SoakPlan.Restart restart : plan.restarts()) {
            plan(loadBeganAt + restart.termAt(), () -> terminate(restart));
            restart.reloads()
                    .forEach(after -> plan(loadBeganAt + restart.termAt() + after, () -> reload(restart.dispatcher())));
            if (!Double.isNaN(restart.secondTermAfter())) {
                plan(loadBeganAt + restart.termAt() + restart.secondTermAfter(), () -> terminateAgain(restart));
            }
        }
        plan(
                loadBeganAt + plan.hang().from(),
                () -> plan.hungEndpoints()
                        .forEach(r -> endpoints.get(r).hungUntil =
                                loadBeganAt + plan.hang().to()));
        plan(loadBeganAt + plan.drainAt(), () -> {
            discovery.announceHealth(endpoints.get(plan.drainedEndpoint()), "Terminating");
            endpoints.get(plan.drainedEndpoint()).model.drain();
        });
        if (plan.idleConnections() > 0) {
            plan(loadBeganAt + plan.idleConnectionsSpan().from(), this::openIdleConnections);
            plan(loadBeganAt + plan.idleConnectionsSpan().to(), idleConnections::close);
        }
    }

    /** Executes scheduled actions until the condition holds. */
    private void runUntil(java.util.function.BooleanSupplier condition, double timeoutMillis) throws Exception {
        double until = now() + timeoutMillis;
        while (!condition.getAsBoolean()) {
            while (!scheduled.isEmpty() && scheduled.peek().at() <= now()) {
                scheduled.poll().action().run();
            }
            if (now() > until) {
                throw new IOException("not all dispatchers were ready in time: " + journal.allIncarnations());
            }
            TimeUnit.MICROSECONDS.sleep(STEP_MICROS);
        }
    }

    private void start(int dispatcher) throws IOException {
        Incarnation incarnation = journal.started(dispatcher, now());
        fleet.start(dispatcher);
        CompletableFuture.runAsync(() -> awaitHealth(incarnation));
    }

    /** Adds a dispatcher to the load balancer once its health check has succeeded. */
    private void awaitHealth(Incarnation incarnation) {
        Fleet.DispatcherProcess dispatcher = fleet.dispatchers.get(incarnation.dispatcher());
        try {
            while (!stopped && Double.isNaN(incarnation.exitedAt()) && !isHealthy(dispatcher)) {
                TimeUnit.MILLISECONDS.sleep(HEALTH_CHECK_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return;
        }
        if (!stopped && Double.isNaN(incarnation.termAt()) && Double.isNaN(incarnation.exitedAt())) {
            incarnation.ready(now());
            balancerTargets.put(
                    incarnation.dispatcher(),
                    new SoakClient.Target(dispatcher.listenAddress, incarnation.dispatcher(), incarnation.number()));
        }
    }

    private static boolean isHealthy(Fleet.DispatcherProcess dispatcher) {
        try (Socket socket = new Socket()) {
            socket.connect(dispatcher.listenAddress, CONNECT_TIMEOUT_MILLIS);
            socket.setSoTimeout(CONNECT_TIMEOUT_MILLIS);
            socket.getOutputStream()
                    .write("GET /_health HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
                            .getBytes(StandardCharsets.US_ASCII));
            return new String(socket.getInputStream().readNBytes(12), StandardCharsets.US_ASCII).endsWith("200");
        } catch (IOException e) {
            return false;
        }
    }

    private SoakClient.Target pick(Random random) {
        List<SoakClient.Target> all = List.copyOf(balancerTargets.values());
        return all.isEmpty() ? null : all.get(random.nextInt(all.size()));
    }

    private void terminate(SoakPlan.Restart restart) {
        int dispatcher = restart.dispatcher();
        Incarnation incarnation = journal.latest(dispatcher);
        pendingRestarts++;
        double termAt = now();
        fleet.terminate(dispatcher);
        double killAt = termAt + plan.killDelayMillis();
        incarnation.terminated(termAt, killAt);
        plan(termAt + restart.acceptMillis(), () -> balancerTargets.remove(dispatcher));
        plan(killAt, () -> kill(incarnation));
        awaitExit(incarnation);
    }

    private void terminateAgain(SoakPlan.Restart restart) {
        fleet.terminate(restart.dispatcher());
    }

    private void kill(Incarnation incarnation) {
        if (Double.isNaN(incarnation.exitedAt())) {
            incarnation.killed(now());
            fleet.kill(incarnation.dispatcher());
        }
    }

    /** Starts the next process at the same address as soon as this one has exited. */
    private void awaitExit(Incarnation incarnation) {
        plan(now() + 1, () -> {
            if (Double.isNaN(incarnation.exitedAt())) {
                awaitExit(incarnation);
            } else {
                balancerTargets.remove(incarnation.dispatcher());
                start(incarnation.dispatcher());
                pendingRestarts--;
            }
        });
    }

    /** Replaces the configuration file, which switches the address of discovery, and sends SIGHUP. */
    private void reload(int dispatcher) throws IOException {
        Fleet.DispatcherProcess process = fleet.dispatchers.get(dispatcher);
        if (!process.alive() || !Double.isNaN(journal.latest(dispatcher).exitedAt())) {
            return;
        }
        discoveryInUse[dispatcher] = 1 - discoveryInUse[dispatcher];
        Path file = folder.resolve("n" + dispatcher + "-" + (process.incarnationCount - 1))
                .resolve("config.json");
        Path next =
                Files.writeString(file.resolveSibling("next.json"), new Gson().toJson(dispatcherConfig(dispatcher)));
        Files.move(next, file, StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
        new ProcessBuilder("kill", "-HUP", Long.toString(process.process.pid())).start();
    }

    /** Opens idle connections to all dispatchers and makes discovery silent. */
    private void openIdleConnections() {
        discovery.muteUntil(loadBeganAt + plan.idleConnectionsSpan().to());
        List<InetSocketAddress> targets = balancerTargets.values().stream()
                .map(SoakClient.Target::address)
                .toList();
        idleConnections.open(targets, plan.idleConnections());
    }

    /** Records when processes end. */
    private final class ProcessEvents implements Fleet.ProcessListener {
        @Override
        public void killed(int number) {
            // Recorded in the journal by {@link #kill}.
        }

        @Override
        public void exited(int number, int exitCode) {
            if (!stopped) {
                journal.latest(number).exited(now(), exitCode);
            }
        }
    }

    @Override
    public void deadlineReceived(
            String id, EndpointModel endpoint, EndpointModel.Admission admission, double seconds, double now) {
        journal.arrived(id, new Arrival(endpoint.name, admission, now, seconds * 1000));
    }

    @Override
    public void attemptArrived(String id, EndpointModel endpoint, EndpointModel.Admission admission, double now) {
        // Recorded in the journal together with the time that the endpoint was given.
    }

    @Override
    public void executionStarted(String id, EndpointModel endpoint, double now) {
        journal.ran(id, now);
    }

    @Override
    public void endpointOverloaded(EndpointModel endpoint, double now) {
        throw new IllegalStateException("an endpoint without slow start collapsed");
    }

    @Override
    public void close() throws Exception {
        stopped = true;
        stallMonitor.close();
        idleConnections.close();
        fleet.close();
        StubPlatform.awaitResult(vertx.close());
    }
}
