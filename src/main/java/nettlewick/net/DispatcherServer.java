package nettlewick.net;

import io.vertx.core.CompositeFuture;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.file.FileSystemOptions;
import io.vertx.core.net.SocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import nettlewick.admin.AdminFrontend;
import nettlewick.core.Clock;
import nettlewick.core.RequestCoordinator;
import nettlewick.core.RequestListener;
import nettlewick.core.UsageRecorder;
import nettlewick.decision.SchedulerSettings;
import nettlewick.log.ComponentLogger;

/** One real dispatcher: puts core, subchannels, resolver watch, peers and the platform's front together. */
public final class DispatcherServer {
    private static final ComponentLogger LOG = ComponentLogger.of("node");
    /** How long a successor waits for discovery's first word; after that the list it was given counts. */
    private static final long TOLD = 1000;
    /** How often it is looked whether another process shares the limits. */
    private static final long SHARE = 250;
    /**
     * A successor takes clients, and says so, this long after its start at the latest, while its predecessor
     * finishes long jobs: 6 s are allowed.
     */
    private static final long HEIR = 4500;

    private static final long SAVED = 100;
    /** How often it is looked whether another process was called to take a sim runner out. */
    private static final long BANS = 200;
    /** One descriptor in so many is for clients. */
    static final int CLIENTS_PART = 3;
    /** Connections accepted beyond those a front keeps: the front chooses which of them stays. */
    private static final int SPARE = 8;
    /** Descriptors of the operators' front: its callers, its listener, its two selectors. */
    static final int ADMIN = AdminFrontend.CALLERS_MOST + 8;

    private volatile PlatformConfig config;
    final Clock clock;
    final Vertx vertx;
    private final HotRestart succession;
    final DisabledEndpointStore bans;
    private final int clients;
    private final int perFront;
    final ConnectionLimiter gate;
    final Context loop;
    /** When the process that is to succeed this one started; NaN: none is. */
    private double heirAt = Double.NaN;

    PeerSocket peers;
    private UsageRecorder books = UsageRecorder.NONE;
    private RequestListener witness = RequestListener.NONE;
    RequestCoordinator core;
    EndpointConnectionPools subchannels;
    private DiscoveryWatch watch;
    private final List<Frontend.Maker> makers;
    private final List<Frontend> fronts = new ArrayList<>();
    private final ServiceState state = new ServiceState();
    private final AdminFrontend admin;
    private volatile int adminPort;
    private volatile boolean holdsList;
    private volatile boolean warm;
    private volatile List<Integer> ports = List.of();

    public DispatcherServer(PlatformConfig config, Clock clock, Frontend.Maker... makers) {
        this(config, clock, null, makers);
    }

    /** One that may share its address with an older or newer process; {@code succession} null: never. */
    public DispatcherServer(PlatformConfig config, Clock clock, HotRestart succession, Frontend.Maker... makers) {
        this.succession = succession;
        bans = new DisabledEndpointStore(succession == null ? null : succession.file("bans.json"));
        this.makers = List.of(makers);
        this.config = config;
        this.clock = clock;
        // The machine has one core and no disk: one event loop, no cache of files, no DNS.
        System.setProperty("vertx.disableDnsResolver", "true");
        // Danger: Netty's allocator brings up the flight recorder at its first buffer: a fifth of a second of
        // CPU at each start, twice that on half a core, while clients wait.
        System.setProperty("io.netty.jfr.enabled", "false");
        clients = config.sockets() / CLIENTS_PART;
        gate = new ConnectionLimiter(clients);
        perFront = Math.max(1, clients / Math.max(1, makers.length) - SPARE);
        vertx = Vertx.builder()
                .with(new VertxOptions()
                        .setEventLoopPoolSize(1)
                        .setWorkerPoolSize(1)
                        .setInternalBlockingPoolSize(1)
                        .setFileSystemOptions(new FileSystemOptions()
                                .setFileCachingEnabled(false)
                                .setClassPathResolvingEnabled(false)))
                .withTransport(gate)
                .build();
        loop = vertx.getOrCreateContext();
        admin = config.adminAddr() == null ? null : new AdminFrontend(config.adminAddr(), new AdminOperations(this));
    }

    /** Has the books kept; before the start. */
    public DispatcherServer keep(UsageRecorder kept) {
        books = kept;
        return this;
    }

    /** Has all told to it; before the start. */
    public DispatcherServer tell(RequestListener one) {
        witness = one;
        return this;
    }

    /** Starts all parts; done once the sockets listen. */
    public Future<Void> start() {
        Promise<Void> started = Promise.promise();
        loop.runOnContext(v -> {
            boolean heir = succession != null && succession.shared();
            peers = new PeerSocket(vertx, config);
            subchannels = new EndpointConnectionPools(vertx, loop, config, clock, peers);
            core = new RequestCoordinator(clock, config.settings(), seed(heir), config.maxOpen(), subchannels, books);
            core.setListener(witness);
            witness.joins(core);
            subchannels.bind(core);
            Frontend.Base base =
                    new Frontend.Base(vertx, loop, config, clock, core, () -> holdsList && warm, state, perFront);
            makers.forEach(maker -> fronts.add(maker.make(base)));
            Thread thread = new Thread(core, "core");
            thread.setDaemon(true);
            thread.start();
            bans.news().forEach(this::heed);
            vertx.setPeriodic(BANS, id -> bans.news().forEach(this::heed));
            Promise<Void> told = Promise.promise();
            WatchStalenessTimer lists = WatchStalenessTimer.of(config.settings(), ~seed(heir));
            watch = new DiscoveryWatch(vertx, config.discovery(), clock, lists, news -> {
                subchannels.update(news);
                holdsList = true;
                if (news != config.known()) {
                    told.tryComplete();
                }
            });
            watch.start(config.known());
            vertx.setTimer(TOLD, id -> told.tryComplete());
            listenAdmin()
                    .compose(v2 -> heir ? succeed(told.future(), base) : begin())
                    .onSuccess(v2 -> serve())
                    .onComplete(started);
        });
        return started.future()
                .onSuccess(v -> LOG.info(
                        "listens",
                        "dispatcher " + config.name()
                                + " listens on "
                                + config.listen().hostAddress() + ":" + ports.get(0)));
    }

    void heed(DisabledEndpointStore.DisabledEndpoint ban) {
        subchannels.ban(ban.runner(), ban.out(), ban.since());
    }

    /** Starts where nobody serves at this address: listens at once and says yes once warm. */
    private Future<Void> begin() {
        return listen().compose(all -> peers.listen(core::receivePeerMessage)).compose(all -> warmUp(ports.get(0)));
    }

    /**
     * Starts beside a process that serves at this address. Danger: a client that the kernel deals to this one
     * is lost to the other, and a health that says no turns the front away from both. All else comes first.
     */
    private Future<Void> succeed(Future<Void> told, Frontend.Base base) {
        LOG.info("succeeds", "another process serves here; this one is to succeed it");
        peers.await(core::receivePeerMessage);
        Frontend own = new PlatformFrontend(
                new Frontend.Base(vertx, loop, config.atFreePort(), clock, core, () -> true, state, perFront));
        return own.listen()
                .compose(this::warmUp)
                .compose(v -> own.shut(0))
                .compose(v -> told)
                .compose(v -> spared())
                .compose(v -> listen())
                .mapEmpty();
    }

    /** Done once the predecessor has nothing left that waiting saves, or at the latest time for a yes. */
    private Future<Void> spared() {
        Promise<Void> done = Promise.promise();
        awaitSpared(done);
        return done.future();
    }

    private void awaitSpared(Promise<Void> done) {
        if (clock.now() >= succession.startedAt() + HEIR || !succession.awaited()) {
            done.complete();
        } else {
            vertx.setTimer(SAVED, id -> awaitSpared(done));
        }
    }

    /** Looks whether another process is to succeed this one, and tells it when nothing is left to save. */
    private void foresee() {
        double heir = state.leaving() ? Double.NaN : succession.heir();
        if (!Double.isNaN(heir) && heirAt != heir) {
            heirAt = heir;
            core.expectSuccessor(heir + HEIR, heir + HEIR + killSpan());
            LOG.info("awaits-successor", "another process is to succeed this one; long jobs are held back");
            spare();
        } else if (Double.isNaN(heir) && !Double.isNaN(heirAt) && !state.leaving() && !succession.successor()) {
            heirAt = Double.NaN;
            core.cancelDraining();
        }
    }

    private void spare() {
        core.askWhetherWaitingHelps(
                killSpan(),
                saves -> loop.runOnContext(v -> {
                    if (!saves) {
                        // From now on the successor may take clients at any time.
                        core.expectSuccessor(heirAt + HEIR, clock.now() + killSpan());
                        succession.spared();
                    } else {
                        vertx.setTimer(SAVED, id -> spare());
                    }
                }));
    }

    /** From SIGTERM to SIGKILL at the least, in milliseconds. */
    private long killSpan() {
        return GracefulShutdown.killSpan(config.settings());
    }

    private Future<CompositeFuture> listen() {
        return Future.all(fronts.stream().map(Frontend::listen).toList()).onSuccess(all -> ports = all.list());
    }

    private void serve() {
        state.serve();
        if (succession != null) {
            succession.takesClients();
            share();
            vertx.setPeriodic(SHARE, id -> share());
        }
    }

    /** Danger: two processes with all descriptors each would hold more than the dispatcher may. */
    private void share() {
        foresee();
        boolean shared = succession.shared();
        subchannels.share(shared);
        gate.bound(shared ? clients / 2 : clients);
    }

    /**
     * Danger: both processes of an upgrade are given the same seed. Peers know a life by a number drawn from
     * it, and would pass over the gifts of a second life with the number of the first.
     */
    private long seed(boolean heir) {
        return heir ? config.seed() ^ ProcessHandle.current().pid() * 0x9e3779b97f4a7c15L : config.seed();
    }

    private Future<Void> listenAdmin() {
        if (admin == null) {
            return Future.succeededFuture();
        }
        return admin.listen().onSuccess(port -> adminPort = port).mapEmpty();
    }

    private Future<Void> warmUp(int port) {
        if (port <= 0) {
            warm = true;
            return Future.succeededFuture();
        }
        SocketAddress own =
                SocketAddress.inetSocketAddress(port, config.listen().hostAddress());
        WarmUp.module(config.settings());
        return WarmUp.sockets(subchannels.client(), own).onComplete(v -> warm = true);
    }

    /** The ways in, for tests. */
    List<Frontend> fronts() {
        return fronts;
    }

    /** The ports held, in the order of the fronts. */
    public List<Integer> ports() {
        return ports;
    }

    /** The port that operators call, or 0. */
    public int adminPort() {
        return adminPort;
    }

    /** Whether this process takes clients and can serve them. */
    boolean ready() {
        return state.takesClients() && holdsList && warm;
    }

    /** Figures beside the core's own. */
    Map<String, Number> moreFigures() {
        Map<String, Number> more = new java.util.TreeMap<>(books.figures());
        more.putAll(witness.figures());
        more.putAll(peers == null ? Map.of() : peers.passedOver());
        return more;
    }

    /** The site's settings in force. */
    SchedulerSettings settings() {
        return config.settings();
    }

    /** Where the watch is on now. */
    SocketAddress discovery() {
        return config.discovery();
    }

    ServiceState state() {
        return state;
    }

    /** Whether the peers' port is this process's. */
    boolean hearsPeers() {
        return peers.bound();
    }

    /** Whether a list of sim runners is held. */
    public boolean holdsList() {
        return holdsList;
    }

    /** A planned end: goes on accepting for a while, then answers all that was taken. Blocks until then. */
    public void shutDown() {
        new GracefulShutdown(this, succession != null && succession.successor()).run();
    }

    /** Takes a configuration that was read anew over, as far as that can be done while serving. */
    public void reload(PlatformConfig next) {
        loop.runOnContext(v -> {
            List<String> stay = config.needRestart(next);
            config = config.changed(next);
            watch.move(config.discovery());
            subchannels.reload(config);
            core.setMaxInFlight(config.maxOpen());
            LOG.info(
                    "reread",
                    "configuration reread, discovery at " + config.discovery().hostAddress() + ":"
                            + config.discovery().port() + (stay.isEmpty() ? "" : "; only a restart changes " + stay));
        });
    }

    /** Ends at once, whatever is still open. */
    public Future<Void> close() {
        Promise<Void> stopped = Promise.promise();
        loop.runOnContext(v -> {
            watch.stop();
            core.stop();
            stopped.complete();
        });
        if (succession != null) {
            succession.close();
        }
        return stopped.future()
                .compose(v -> admin == null ? Future.succeededFuture() : admin.close())
                .compose(v -> vertx.close());
    }
}
