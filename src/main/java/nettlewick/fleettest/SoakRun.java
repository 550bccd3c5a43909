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
 * One soak: a small fleet of real processes under clients of all kinds, each process restarted by SIGTERM with SIGKILL at
 * the earliest time that the protocol allows. Belongs to one thread, which sends all signals.
 */
final class SoakRun implements AutoCloseable, EndpointServer.Listener {
    /** What a soak found. */
    record Verdict(
            List<SoakChecks.Break> breaks,
            int requests,
            int crossings,
            double maxHoldUpMillis,
            double maxKillLateMillis) {
        /** One line that tells it. */
        String text() {
            return String.format(
                    "%s, %d requests, %d crossed the end of a resting connection, %d breaks;"
                            + " held up for %.0f ms at most, SIGKILL at most %.1f ms late",
                    breaks.isEmpty() ? "rules kept" : "BROKEN",
                    requests,
                    crossings,
                    breaks.size(),
                    maxHoldUpMillis,
                    maxKillLateMillis);
        }
    }

    /** Something to do at a moment of the run's clock. */
    private record Due(double at, int order, Action action) {}

    /** A step of the run. */
    private interface Action {
        void run() throws IOException;
    }

    private static final double START_TIMEOUT_MILLIS = 60_000;
    private static final double TAIL_MILLIS = 1000;
    private static final long STEP_MICROS = 300;
    private static final long HEALTH_CHECK_MILLIS = 25;
    private static final int CONNECT_TIMEOUT_MILLIS = 500;
    private static final double NANOS_PER_MILLI = 1e6;

    private final SoakPlan plan;
    private final SoakConfig config;
    private final Path folder;
    private final Vertx vertx = Vertx.vertx();
    private final long beganNanos = System.nanoTime();
    private final SoakJournal journal = new SoakJournal();
    private final List<EndpointServer> runners = new ArrayList<>();
    private final Map<EndpointServer, InetSocketAddress> addresses = new ConcurrentHashMap<>();
    private final DiscoveryServer discovery;
    /** Two addresses of discovery for each dispatcher; a reload moves it from one to the other. */
    private final List<List<InetSocketAddress>> discoveryAddresses = new ArrayList<>();

    private final int[] discoveryInUse;
    private final Fleet fleet;
    private final HoldUps holdUps;
    /** Dispatchers that the clients' load balancer connects to, with the process that serves there. */
    private final Map<Integer, SoakClient.Target> balanced = new ConcurrentHashMap<>();

    private final PriorityQueue<Due> due =
            new PriorityQueue<>(Comparator.comparingDouble(Due::at).thenComparingInt(Due::order));
    private final List<Thread> clients = new ArrayList<>();
    private final IdleCrowd crowd = new IdleCrowd();
    private double loadBeganAt;
    private int pendingRestarts;
    private volatile boolean stopped;

    SoakRun(SoakPlan plan, Path folder) throws Exception {
        this.plan = plan;
        config = new SoakConfig(plan);
        this.folder = folder;
        discoveryInUse = new int[plan.dispatchers()];
        discovery = new DiscoveryServer(
                vertx, plan.dispatchers(), 0, journal::drainTold, this::now, (d, runner) -> addresses.get(runner));
        for (int r = 0; r < plan.runners(); r++) {
            EndpointModel model =
                    new EndpointModel("s" + r, SoakConfig.ZONE, 1, SoakConfig.ENDPOINTS, Double.NEGATIVE_INFINITY);
            EndpointServer runner = new EndpointServer("127.0.0.1", model, vertx, this, this::now);
            addresses.put(runner, runner.listen());
            runners.add(runner);
            discovery.announceHealth(runner, "Ready");
        }
        for (int d = 0; d < plan.dispatchers(); d++) {
            discoveryAddresses.add(List.of(discovery.listen(d), discovery.listen(d)));
        }
        fleet = new Fleet(plan.dispatchers(), folder, this::config, d -> null, d -> 0, new ProcessEvents());
        holdUps = new HoldUps(this::now, fleet);
    }

    private double now() {
        return (System.nanoTime() - beganNanos) / NANOS_PER_MILLI;
    }

    private Map<String, Object> config(int number) {
        Fleet.DispatcherProcess member = fleet.members.get(number);
        InetSocketAddress discoveryAddress = discoveryAddresses.get(number).get(discoveryInUse[number]);
        Map<String, Object> known = member.lives > 1 ? discovery.lastSentList(number) : null;
        return config.of(member, discoveryAddress, known);
    }

    /** Plays the plan and checks the journal. */
    Verdict play() throws Exception {
        for (int d = 0; d < plan.dispatchers(); d++) {
            start(d);
        }
        runUntil(() -> balanced.size() == plan.dispatchers(), START_TIMEOUT_MILLIS);
        loadBeganAt = now();
        schedulePlan();
        for (int c = 0; c < plan.clients().size(); c++) {
            SoakClient client = new SoakClient(c, plan, this::pick, journal, this::now, () -> stopped);
            Thread thread = new Thread(client, "soak-client-" + c);
            thread.start();
            clients.add(thread);
        }
        runUntil(() -> due.isEmpty() && pendingRestarts == 0, Double.POSITIVE_INFINITY);
        runUntil(this::areAllReadyOrOverdue, Double.POSITIVE_INFINITY);
        plan(now() + TAIL_MILLIS, () -> stopped = true);
        runUntil(() -> stopped, Double.POSITIVE_INFINITY);
        for (Thread client : clients) {
            client.join();
        }
        holdUps.close();
        SoakChecks checks =
                new SoakChecks(journal, plan, SoakConfig.DRAIN_GRACE_MILLIS, ScenarioRun.ATTEMPTS, loadBeganAt);
        List<SoakChecks.Break> breaks = checks.run();
        double killLate = journal.allIncarnations().stream()
                .mapToDouble(p -> p.killedAt() - p.killDueAt())
                .filter(late -> !Double.isNaN(late))
                .max()
                .orElse(0);
        return new Verdict(breaks, journal.entries().size(), checks.crossings(), holdUps.longestOwnMillis(), killLate);
    }

    private boolean areAllReadyOrOverdue() {
        return IntStream.range(0, plan.dispatchers())
                .mapToObj(journal::latest)
                .allMatch(p -> !Double.isNaN(p.readyAt()) || now() > p.startedAt() + SoakChecks.READY_MILLIS);
    }

    private void plan(double at, Action action) {
        due.add(new Due(at, due.size(), action));
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
                () -> plan.hungRunners()
                        .forEach(r -> runners.get(r).hungUntil =
                                loadBeganAt + plan.hang().to()));
        plan(loadBeganAt + plan.drainAt(), () -> {
            discovery.announceHealth(runners.get(plan.drainedRunner()), "Terminating");
            runners.get(plan.drainedRunner()).model.drain();
        });
        if (plan.crowd() > 0) {
            plan(loadBeganAt + plan.crowdSpan().from(), this::gather);
            plan(loadBeganAt + plan.crowdSpan().to(), crowd::close);
        }
    }

    /** Does what is due, again and again, until the condition holds. */
    private void runUntil(java.util.function.BooleanSupplier condition, double timeoutMillis) throws Exception {
        double until = now() + timeoutMillis;
        while (!condition.getAsBoolean()) {
            while (!due.isEmpty() && due.peek().at() <= now()) {
                due.poll().action().run();
            }
            if (now() > until) {
                throw new IOException("not ready in time: " + journal.allIncarnations());
            }
            TimeUnit.MICROSECONDS.sleep(STEP_MICROS);
        }
    }

    private void start(int dispatcher) throws IOException {
        Incarnation incarnation = journal.started(dispatcher, now());
        fleet.start(dispatcher);
        CompletableFuture.runAsync(() -> awaitHealth(incarnation));
    }

    /** The load balancer takes a dispatcher in once its health check has succeeded. */
    private void awaitHealth(Incarnation incarnation) {
        Fleet.DispatcherProcess member = fleet.members.get(incarnation.dispatcher());
        try {
            while (!stopped && Double.isNaN(incarnation.exitedAt()) && !isHealthy(member)) {
                TimeUnit.MILLISECONDS.sleep(HEALTH_CHECK_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return;
        }
        if (!stopped && Double.isNaN(incarnation.termAt()) && Double.isNaN(incarnation.exitedAt())) {
            incarnation.ready(now());
            balanced.put(
                    incarnation.dispatcher(),
                    new SoakClient.Target(member.listen, incarnation.dispatcher(), incarnation.number()));
        }
    }

    private static boolean isHealthy(Fleet.DispatcherProcess member) {
        try (Socket socket = new Socket()) {
            socket.connect(member.listen, CONNECT_TIMEOUT_MILLIS);
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
        List<SoakClient.Target> all = List.copyOf(balanced.values());
        return all.isEmpty() ? null : all.get(random.nextInt(all.size()));
    }

    private void terminate(SoakPlan.Restart restart) {
        int dispatcher = restart.dispatcher();
        Incarnation incarnation = journal.latest(dispatcher);
        pendingRestarts++;
        double termAt = now();
        fleet.end(dispatcher);
        double killAt = termAt + plan.killDelayMillis();
        incarnation.told(termAt, killAt);
        plan(termAt + restart.acceptMillis(), () -> balanced.remove(dispatcher));
        plan(killAt, () -> kill(incarnation));
        awaitExit(incarnation);
    }

    private void terminateAgain(SoakPlan.Restart restart) {
        fleet.end(restart.dispatcher());
    }

    private void kill(Incarnation incarnation) {
        if (Double.isNaN(incarnation.exitedAt())) {
            incarnation.killed(now());
            fleet.kill(incarnation.dispatcher());
        }
    }

    /** Starts the next process at the same address as soon as this one has ended. */
    private void awaitExit(Incarnation incarnation) {
        plan(now() + 1, () -> {
            if (Double.isNaN(incarnation.exitedAt())) {
                awaitExit(incarnation);
            } else {
                balanced.remove(incarnation.dispatcher());
                start(incarnation.dispatcher());
                pendingRestarts--;
            }
        });
    }

    /** Changes the configuration file, which moves discovery, and sends SIGHUP. */
    private void reload(int dispatcher) throws IOException {
        Fleet.DispatcherProcess member = fleet.members.get(dispatcher);
        if (!member.alive() || !Double.isNaN(journal.latest(dispatcher).exitedAt())) {
            return;
        }
        discoveryInUse[dispatcher] = 1 - discoveryInUse[dispatcher];
        Path file = folder.resolve("n" + dispatcher + "-" + (member.lives - 1)).resolve("config.json");
        Path next = Files.writeString(file.resolveSibling("next.json"), new Gson().toJson(config(dispatcher)));
        Files.move(next, file, StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
        new ProcessBuilder("kill", "-HUP", Long.toString(member.process.pid())).start();
    }

    /** Idle clients connect to all dispatchers, and discovery falls silent. */
    private void gather() {
        discovery.muteUntil(loadBeganAt + plan.crowdSpan().to());
        List<InetSocketAddress> targets =
                balanced.values().stream().map(SoakClient.Target::address).toList();
        crowd.gather(targets, plan.crowd());
    }

    /** Notes when processes end. */
    private final class ProcessEvents implements Fleet.ProcessListener {
        @Override
        public void killed(int number) {
            // The journal has it from the step that kills.
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
            String id, EndpointModel runner, EndpointModel.Admission how, double seconds, double now) {
        journal.arrived(id, new Arrival(runner.name, how, now, seconds * 1000));
    }

    @Override
    public void attemptArrived(String id, EndpointModel runner, EndpointModel.Admission how, double now) {
        // The journal has it with the time that was told.
    }

    @Override
    public void executionStarted(String id, EndpointModel runner, double now) {
        journal.ran(id, now);
    }

    @Override
    public void endpointOverloaded(EndpointModel runner, double now) {
        throw new IllegalStateException("an endpoint that is never cold fell over");
    }

    @Override
    public void close() throws Exception {
        stopped = true;
        holdUps.close();
        crowd.close();
        fleet.close();
        StubPlatform.awaitResult(vertx.close());
    }
}
