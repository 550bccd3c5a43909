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

/** One run of a scenario: builds the world, starts the fleet, asks, does the steps, and counts. */
final class ScenarioRun implements AutoCloseable, EndpointServer.Listener {
    private static final String RUNNERS_NET = Fleet.net(2);
    /** Most sends of one request. */
    static final int ATTEMPTS = 6;
    /** Pairs of dispatcher and runner up to which each has a listener of its own. */
    private static final int PAIRS = 4096;

    private static final int RUNNERS_MOST = 20_000;
    private static final int START_SECONDS = 300;
    private static final double LIMIT_LATE = 20;
    private static final double SECOND = 1000;

    private final Scenario scenario;
    private final Scenario.World world;
    final Vertx vertx;
    private final HttpClient health;
    private final long began = System.nanoTime();
    /** When the load that counts begins, by the lab's clock. */
    private volatile double loadAt = Double.POSITIVE_INFINITY;

    final LinkFaults links;
    final InvariantChecker audit;
    private final LoadBalanceStats spread;
    final List<EndpointModel> models = new CopyOnWriteArrayList<>();
    final List<EndpointServer> runners = new ArrayList<>();
    private final TcpRelay tcp;
    private final Map<String, InetSocketAddress> dials = new java.util.concurrent.ConcurrentHashMap<>();
    final DiscoveryServer discovery;
    private final Map<Integer, InetSocketAddress> discoveries = new LinkedHashMap<>();
    final Fleet fleet;
    final DatagramRelay datagrams;
    private final List<String> peers;
    final Clients clients;
    final Steps steps;
    /** Null where no member has a pool. */
    final Duties duties;

    private final Path folder;
    /** Unix time at the lab clock's beginning. */
    final double wall = System.currentTimeMillis();

    private final Map<EndpointServer, Integer> places = new java.util.concurrent.ConcurrentHashMap<>();
    /** Set from outside: what the run was for has happened. */
    volatile boolean enough;

    private final HoldUps holdUps;
    private final Histogram lateness = new Histogram(60_000, 3);
    private final Map<String, Double> figures = new LinkedHashMap<>();
    private final List<Results.Second> seconds = new ArrayList<>();

    ScenarioRun(Scenario scenario, Path folder) throws Exception {
        this.scenario = scenario;
        world = scenario.world();
        vertx = Vertx.vertx(new VertxOptions()
                .setEventLoopPoolSize(Math.max(4, Runtime.getRuntime().availableProcessors() / 2))
                .setFileSystemOptions(
                        new FileSystemOptions().setFileCachingEnabled(false).setClassPathResolvingEnabled(false)));
        health = vertx.createHttpClient(
                new HttpClientOptions().setConnectTimeout(500).setKeepAlive(false),
                new PoolOptions().setHttp1MaxSize(4));
        links = new LinkFaults(scenario.links(), world.seed());
        audit = new InvariantChecker(scenario, ATTEMPTS);
        spread = new LoadBalanceStats(models, scenario.load().meanWork());
        tcp = scenario.links().relayed() ? new TcpRelay(vertx, links, this::now) : null;
        discovery = new DiscoveryServer(
                vertx,
                world.dispatchers(),
                world.calls(),
                audit::toldDrain,
                this::now,
                (d, r) -> dials.get(dial(d, places.get(r))));
        for (int r = 0; r < world.runners(); r++) {
            discovery.announceHealth(add(Double.NEGATIVE_INFINITY), "Ready");
        }
        this.folder = folder;
        duties = scenario.duty() == null ? null : new Duties(this, scenario, folder);
        fleet = new Fleet(
                world.dispatchers(),
                folder,
                this::config,
                d -> duties == null ? null : duties.settings(d),
                d -> (duties == null ? 0 : duties.ahead())
                        + world.clocks().getOrDefault("n" + d, 0.0).longValue(),
                new ProcessEvents());
        holdUps = new HoldUps(this::now, fleet);
        for (int d = 0; d < world.dispatchers(); d++) {
            InetSocketAddress direct = discovery.listen(d);
            discoveries.put(d, reach(d, discoveryNumber(), direct));
        }
        datagrams = new DatagramRelay(
                fleet.members.stream().map(m -> m.peer).toList(),
                Fleet.net(1),
                links,
                this::now,
                Math.max(1, Math.min(3, world.dispatchers() / 50)));
        peers = datagrams.addresses().stream().map(ScenarioRun::text).toList();
        clients = new Clients(scenario, fleet, vertx, audit, spread, this::now);
        steps = new Steps(this, world);
        if (duties != null) {
            duties.open();
        }
    }

    /** Keeps what becomes of the processes beside the requests. */
    private final class ProcessEvents implements Fleet.ProcessListener {
        @Override
        public void killed(int number) {
            audit.processEvent(number, now(), "SIGKILL sent");
            audit.killed(number, now());
        }

        @Override
        public void exited(int number, int exitCode) {
            audit.processEvent(number, now(), "exited with code " + exitCode);
            audit.ended(number, now(), world.notice());
        }
    }

    /** The lab's clock: milliseconds since the lab began. Danger: many keep its times, so it never jumps. */
    double now() {
        return (System.nanoTime() - began) / 1e6;
    }

    /** Milliseconds since the load began that counts; below 0 before. */
    private double load() {
        return now() - loadAt;
    }

    static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    int number(int runner) {
        return world.dispatchers() + runner;
    }

    int discoveryNumber() {
        return world.dispatchers() + RUNNERS_MOST;
    }

    int providerNumber() {
        return discoveryNumber() + 1;
    }

    /** Where a dispatcher reaches a party that is there for all. */
    InetSocketAddress reach(int dispatcher, int party, InetSocketAddress direct) throws Exception {
        return tcp == null ? direct : tcp.open(dispatcher, party, direct);
    }

    /** Who holds a member's duty, by what the processes have said. */
    int holder(String member) throws IOException {
        return MigrationAudit.read(folder, wall, "duty-held").holder(member);
    }

    /** The dispatchers that share a listener go by the first of them. */
    private int group(int dispatcher) {
        return world.dispatchers() * world.runners() <= PAIRS
                ? dispatcher
                : dispatcher % world.zones().size();
    }

    private String dial(int dispatcher, int runner) {
        return (tcp == null ? "" : group(dispatcher) + " ") + runner;
    }

    EndpointServer add(double born) throws Exception {
        return add(born, "s" + runners.size());
    }

    EndpointServer add(double born, String name) throws Exception {
        int r = runners.size();
        EndpointModel model = new EndpointModel(name, world.zone(r), world.speed(r), world.runner(), born);
        EndpointServer server =
                new EndpointServer(Fleet.address(RUNNERS_NET, r).getHostAddress(), model, vertx, this, this::now);
        InetSocketAddress direct = server.listen();
        for (int d = 0; d < world.dispatchers(); d++) {
            String key = dial(d, r);
            if (!dials.containsKey(key)) {
                dials.put(key, tcp == null ? direct : tcp.open(group(d), number(r), direct));
            }
        }
        places.put(server, r);
        runners.add(server);
        models.add(model);
        return server;
    }

    private Map<String, Object> config(int number) {
        Fleet.DispatcherProcess m = fleet.members.get(number);
        Map<String, Object> config = new LinkedHashMap<>();
        config.put("name", "n" + number);
        config.put("listen", text(m.listen));
        config.put("admin_addr", text(m.admin));
        config.put("discovery", text(discoveries.get(number)));
        config.put(
                "seed",
                String.format("%016x", new SplittableRandom(world.seed() + 1000L * number + m.lives).nextLong()));
        config.put("peer_listen", text(m.peer));
        config.put("peers", peers);
        if (m.lives > 1 && world.known()) {
            config.put("known", new Gson().fromJson(new Gson().toJson(discovery.lastSentList(number)), Map.class));
        }
        config.put("settings", Fleet.settings(scenario, number));
        return config;
    }

    /** Starts all processes, a few at a time, until each says that it is ready. */
    Map<String, Double> start(Consumer<String> progress) throws Exception {
        double from = now();
        int next = 0;
        int most = Runtime.getRuntime().availableProcessors() + 2;
        while (fleet.members.stream().anyMatch(m -> !m.ready)) {
            long starting =
                    fleet.members.stream().filter(m -> m.lives > 0 && !m.ready).count();
            for (; next < fleet.members.size() && starting < most; next++, starting++) {
                fleet.start(next);
            }
            look();
            for (Fleet.DispatcherProcess m : fleet.members.subList(0, next)) {
                if (!m.alive()) {
                    throw new IOException("n" + m.number + " ended with code " + m.process.exitValue()
                            + "; its log is in the folder");
                }
            }
            if (now() - from > START_SECONDS * SECOND) {
                throw new IOException("not all are ready after " + START_SECONDS + " s");
            }
            TimeUnit.MILLISECONDS.sleep(50);
            progress.accept(ready() + " of " + fleet.members.size() + " ready");
        }
        figures.put("processes", (double) fleet.members.size());
        figures.put("ready_s", (now() - from) / SECOND);
        figures.put("start_cpu_s", fleet.cpu() / SECOND / fleet.members.size());
        int some = Math.min(8, fleet.members.size());
        figures.put(
                "megabytes",
                IntStream.range(0, some).mapToDouble(fleet::megabytes).sum() / some);
        return figures;
    }

    /** What the fleet costs with no request at all, over that many milliseconds. */
    void idle(double millis) throws InterruptedException {
        double from = now();
        double cpu = fleet.cpu();
        long sent = datagrams.sent();
        TimeUnit.MILLISECONDS.sleep((long) millis);
        double took = now() - from;
        figures.put("idle_cores_per_100", (fleet.cpu() - cpu) / took / fleet.members.size() * 100);
        figures.put("idle_datagrams_per_s", (datagrams.sent() - sent) / took * SECOND / fleet.members.size());
    }

    private long ready() {
        return fleet.members.stream().filter(m -> m.ready).count();
    }

    /** Asks those that are not known to be ready, and forgets those that have been dead for a while. */
    private void look() {
        for (Fleet.DispatcherProcess m : fleet.members) {
            if (m.alive() && !m.ready && !m.paused) {
                Process asked = m.process;
                health.request(HttpMethod.GET, m.listen.getPort(), m.listen.getHostString(), "/_health")
                        .compose(r -> r.send())
                        .onSuccess(r -> m.ready = r.statusCode() == 200 && m.process == asked);
            }
        }
    }

    /** Asks and does the steps; done once every job has its end. */
    Map<String, Double> run(Consumer<String> progress) throws Exception {
        List<RequestTrace.Arrival> trace = RequestTrace.of(scenario);
        loadAt = now() + scenario.load().warm();
        audit.countFrom(loadAt);
        clients.countFrom(loadAt);
        scenario.steps().forEach(s -> steps.plan(loadAt + s.at(), s));
        for (double t = 0; t < scenario.load().length(); t += LoadBalanceStats.EACH) {
            double sampled = t;
            steps.plan(loadAt + t, () -> spread.sample(sampled));
        }
        double cpu = 0;
        long sent = 0;
        long bytes = 0;
        boolean counts = false;
        int next = 0;
        double told = -scenario.load().warm();
        double until = scenario.load().length();
        double longest = scenario.load().classes().stream()
                .mapToDouble(Scenario.JobClass::deadline)
                .max()
                .orElse(0);
        while (!enough
                && (load() < until
                        || !steps.done()
                        || clients.open.get() > 0 && load() < until + longest + 2 * InvariantChecker.SPARE)) {
            while (next < trace.size() && trace.get(next).at() <= load()) {
                RequestTrace.Arrival a = trace.get(next++);
                if (a.at() >= 0) {
                    lateness.recordValue((long) Math.min(60_000, load() - a.at()));
                }
                clients.ask(a, loadAt + a.at());
            }
            if (!counts && load() >= 0) {
                counts = true;
                cpu = fleet.cpu();
                sent = datagrams.sent();
                bytes = datagrams.bytes();
            }
            double stepsBegan = now();
            steps.doDue();
            holdUps.recordPause("the steps", stepsBegan, now());
            if (load() - told >= SECOND) {
                told += SECOND;
                look();
                Map<String, Integer> ends = clients.ends();
                seconds.add(new Results.Second(
                        load(),
                        (int) ready(),
                        next,
                        ends.getOrDefault("in_time", 0),
                        ends.getOrDefault("late", 0),
                        clients.refusals.get(),
                        clients.open.get()));
                progress.accept(String.format(
                        "%.0f s: %d ready, %d asked, %d served, %d refusals, %d open, " + "%d breaks",
                        load() / SECOND,
                        ready(),
                        next,
                        clients.served.get(),
                        clients.refusals.get(),
                        clients.open.get(),
                        audit.breaks().size()));
                double took = load();
                if (counts && took < until) {
                    figures.put("cores", (fleet.cpu() - cpu) / took);
                    figures.put("datagrams_per_s", (datagrams.sent() - sent) / took * SECOND / fleet.members.size());
                    figures.put(
                            "datagram_bytes_per_s", (datagrams.bytes() - bytes) / took * SECOND / fleet.members.size());
                }
            }
            TimeUnit.MICROSECONDS.sleep(500);
        }
        audit.close(now());
        holdUps.close();
        audit.explainBreaks(holdUps);
        if (duties != null) {
            figures.putAll(duties.close(MigrationAudit.read(folder, wall), clients.ends(), audit, loadAt));
        }
        return count((int) trace.stream().filter(a -> a.at() >= 0).count());
    }

    private Map<String, Double> count(int asked) {
        figures.put("jobs", (double) asked);
        for (String end : List.of("in_time", "late", "unserved", "failed", "broken_off", "unanswered")) {
            figures.put(end, (double) clients.ends().getOrDefault(end, 0));
        }
        for (Scenario.Member m : scenario.load().members()) {
            if (scenario.load().members().size() > 1) {
                figures.put(
                        "asked_" + m.name(),
                        clients.ends().entrySet().stream()
                                .filter(e -> e.getKey().endsWith(" " + m.name()))
                                .mapToDouble(Map.Entry::getValue)
                                .sum());
                figures.put("in_time_" + m.name(), (double) clients.ends().getOrDefault("in_time " + m.name(), 0));
            }
        }
        figures.put("refusals", (double) clients.refusals.get());
        figures.put("attempts", (double) audit.count("attempts"));
        figures.put("sent_to_full", audit.count("sent_to_full") / Math.max(1.0, audit.count("attempts")));
        figures.put("run_again", (double) audit.count("run_again"));
        figures.putAll(spread.figures());
        figures.put("latency_p50", (double) clients.latency.getValueAtPercentile(50));
        figures.put("latency_p99", (double) clients.latency.getValueAtPercentile(99));
        figures.put("discovery_calls", (double) discovery.callCount.get());
        figures.put("too_long", (double) datagrams.tooLong());
        figures.put("crashed", (double)
                fleet.members.stream().filter(Fleet.DispatcherProcess::crashed).count());
        figures.put("rules_broken", (double) audit.breaks().size());
        figures.put("generator_late_p99", (double) lateness.getValueAtPercentile(99));
        figures.put("longest_hold_up", holdUps.longestOwnMillis());
        figures.put("limited_by_machine", lateness.getValueAtPercentile(99) > LIMIT_LATE ? 1.0 : 0.0);
        return figures;
    }

    @Override
    public void attemptArrived(String id, EndpointModel runner, EndpointModel.Admission how, double now) {
        if (now >= loadAt) {
            spread.arrived(runner, now);
        }
        audit.arrived(id, runner, how, now);
        if (how == EndpointModel.Admission.FULL || how == EndpointModel.Admission.DRAINS) {
            spread.refused();
        }
    }

    @Override
    public void executionStarted(String id, EndpointModel runner, double now) {
        audit.ran(id, runner, now);
    }

    @Override
    public void endpointOverloaded(EndpointModel runner, double now) {
        audit.fell(runner.name, now);
    }

    InvariantChecker audit() {
        return audit;
    }

    LoadBalanceStats spread() {
        return spread;
    }

    List<Results.Second> seconds() {
        return seconds;
    }

    Histogram latency() {
        return clients.latency;
    }

    @Override
    public void close() throws Exception {
        try {
            // First: connections that processes reset as they end would each be logged.
            StubPlatform.awaitResult(vertx.close());
        } finally {
            fleet.close();
            datagrams.close();
            if (duties != null) {
                duties.close();
            }
        }
    }
}
