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
import nettlewick.net.client.ConnectionLimiter;
import nettlewick.net.client.Frontend;
import nettlewick.net.client.PlatformFrontend;
import nettlewick.net.config.DescriptorBudget;
import nettlewick.net.config.PlatformConfig;
import nettlewick.net.discovery.DiscoveryWatch;
import nettlewick.net.discovery.WatchStalenessTimer;
import nettlewick.net.endpoint.EndpointConnectionPools;
import nettlewick.net.lifecycle.DisabledEndpointStore;
import nettlewick.net.lifecycle.HotRestart;
import nettlewick.net.lifecycle.ServiceState;
import nettlewick.net.peer.PeerSocket;

/** One real dispatcher: puts core, subchannels, resolver watch, peers and the platform's front together. */
public final class DispatcherServer {
    private static final ComponentLogger LOG = ComponentLogger.of("node");
    /** How long a successor waits for discovery's first word; after that the list it was given counts. */
    private static final long FIRST_UPDATE_TIMEOUT_MILLIS = 1000;
    /** How often it is looked whether another process shares the limits. */
    private static final long OTHER_PROCESS_CHECK_MILLIS = 250;
    /**
     * A successor takes clients, and says so, this long after its start at the latest, while its predecessor
     * finishes long jobs: 6 s are allowed.
     */
    private static final long SUCCESSOR_READY_MILLIS = 4500;

    private static final long IDLE_CHECK_MILLIS = 100;
    /** How often it is looked whether another process was called to take a sim runner out. */
    private static final long DISABLED_CHECK_MILLIS = 200;
    /** Connections accepted beyond those a front keeps: the front chooses which of them stays. */
    private static final int SPARE_CONNECTIONS = 8;

    private volatile PlatformConfig config;
    final Clock clock;
    final Vertx vertx;
    private final HotRestart hotRestart;
    final DisabledEndpointStore disabledEndpoints;
    private final int maxClientConnections;
    private final int connectionsPerFrontend;
    final ConnectionLimiter connectionLimiter;
    final Context eventLoop;
    /** When the process that is to succeed this one started; NaN: none is. */
    private double successorStartedAt = Double.NaN;

    PeerSocket peerSocket;
    private UsageRecorder usageRecorder = UsageRecorder.NONE;
    private RequestListener requestListener = RequestListener.NONE;
    RequestCoordinator coordinator;
    EndpointConnectionPools endpointPools;
    private DiscoveryWatch discoveryWatch;
    private final List<Frontend.Maker> frontendFactories;
    private final List<Frontend> frontends = new ArrayList<>();
    private final ServiceState serviceState = new ServiceState();
    private final AdminFrontend adminFrontend;
    private volatile int adminPort;
    private volatile boolean hasEndpointList;
    private volatile boolean warmedUp;
    private volatile List<Integer> ports = List.of();

    public DispatcherServer(PlatformConfig config, Clock clock, Frontend.Maker... frontendFactories) {
        this(config, clock, null, frontendFactories);
    }

    /** One that may share its address with an older or newer process; {@code succession} null: never. */
    public DispatcherServer(
            PlatformConfig config, Clock clock, HotRestart hotRestart, Frontend.Maker... frontendFactories) {
        this.hotRestart = hotRestart;
        disabledEndpoints = new DisabledEndpointStore(hotRestart == null ? null : hotRestart.sharedFile("bans.json"));
        this.frontendFactories = List.of(frontendFactories);
        this.config = config;
        this.clock = clock;
        // The machine has one core and no disk: one event loop, no cache of files, no DNS.
        System.setProperty("vertx.disableDnsResolver", "true");
        // Danger: Netty's allocator brings up the flight recorder at its first buffer: a fifth of a second of
        // CPU at each start, twice that on half a core, while clients wait.
        System.setProperty("io.netty.jfr.enabled", "false");
        maxClientConnections = DescriptorBudget.maxClientConnections(config.maxSockets());
        connectionLimiter = new ConnectionLimiter(maxClientConnections);
        connectionsPerFrontend =
                Math.max(1, maxClientConnections / Math.max(1, frontendFactories.length) - SPARE_CONNECTIONS);
        vertx = Vertx.builder()
                .with(new VertxOptions()
                        .setEventLoopPoolSize(1)
                        .setWorkerPoolSize(1)
                        .setInternalBlockingPoolSize(1)
                        .setFileSystemOptions(new FileSystemOptions()
                                .setFileCachingEnabled(false)
                                .setClassPathResolvingEnabled(false)))
                .withTransport(connectionLimiter)
                .build();
        eventLoop = vertx.getOrCreateContext();
        adminFrontend = config.adminListen() == null
                ? null
                : new AdminFrontend(config.adminListen(), new AdminOperations(this));
    }

    /** Has the books kept; before the start. */
    public DispatcherServer keep(UsageRecorder recorder) {
        usageRecorder = recorder;
        return this;
    }

    /** Has all told to it; before the start. */
    public DispatcherServer tell(RequestListener listener) {
        requestListener = listener;
        return this;
    }

    /** Starts all parts; done once the sockets listen. */
    public Future<Void> start() {
        Promise<Void> started = Promise.promise();
        eventLoop.runOnContext(v -> {
            boolean isSuccessor = hotRestart != null && hotRestart.hasOtherProcess();
            peerSocket = new PeerSocket(vertx, config);
            endpointPools = new EndpointConnectionPools(vertx, eventLoop, config, clock, peerSocket);
            coordinator = new RequestCoordinator(
                    clock, config.settings(), seedFor(isSuccessor), config.maxInFlight(), endpointPools, usageRecorder);
            coordinator.setListener(requestListener);
            requestListener.joins(coordinator);
            endpointPools.bind(coordinator);
            Frontend.Base environment = new Frontend.Base(
                    vertx,
                    eventLoop,
                    config,
                    clock,
                    coordinator,
                    () -> hasEndpointList && warmedUp,
                    serviceState,
                    connectionsPerFrontend);
            frontendFactories.forEach(maker -> frontends.add(maker.create(environment)));
            Thread thread = new Thread(coordinator, "core");
            thread.setDaemon(true);
            thread.start();
            disabledEndpoints.readChanges().forEach(this::applyDisabledEndpoint);
            vertx.setPeriodic(
                    DISABLED_CHECK_MILLIS, id -> disabledEndpoints.readChanges().forEach(this::applyDisabledEndpoint));
            Promise<Void> firstUpdate = Promise.promise();
            WatchStalenessTimer stalenessTimer = WatchStalenessTimer.of(config.settings(), ~seedFor(isSuccessor));
            discoveryWatch = new DiscoveryWatch(vertx, config.discovery(), clock, stalenessTimer, snapshot -> {
                endpointPools.applySnapshot(snapshot);
                hasEndpointList = true;
                if (snapshot != config.knownEndpoints()) {
                    firstUpdate.tryComplete();
                }
            });
            discoveryWatch.start(config.knownEndpoints());
            vertx.setTimer(FIRST_UPDATE_TIMEOUT_MILLIS, id -> firstUpdate.tryComplete());
            listenAdmin()
                    .compose(v2 -> isSuccessor ? startAsSuccessor(firstUpdate.future(), environment) : startAlone())
                    .onSuccess(v2 -> startServing())
                    .onComplete(started);
        });
        return started.future()
                .onSuccess(v -> LOG.info(
                        "listens",
                        "dispatcher " + config.name()
                                + " listens on "
                                + config.listen().hostAddress() + ":" + ports.get(0)));
    }

    void applyDisabledEndpoint(DisabledEndpointStore.Entry entry) {
        endpointPools.setDisabled(entry.endpoint(), entry.disabled(), entry.sinceMillis());
    }

    /** Starts where nobody serves at this address: listens at once and says yes once warm. */
    private Future<Void> startAlone() {
        return listenOnFrontends()
                .compose(all -> peerSocket.listen(coordinator::receivePeerMessage))
                .compose(all -> warmUp(ports.get(0)));
    }

    /**
     * Starts beside a process that serves at this address. Danger: a client that the kernel deals to this one
     * is lost to the other, and a health that says no turns the front away from both. All else comes first.
     */
    private Future<Void> startAsSuccessor(Future<Void> firstUpdate, Frontend.Base environment) {
        LOG.info("succeeds", "another process serves here; this one is to succeed it");
        peerSocket.listenWhenPortIsFree(coordinator::receivePeerMessage);
        Frontend privateFrontend = new PlatformFrontend(new Frontend.Base(
                vertx,
                eventLoop,
                config.withFreeListenPort(),
                clock,
                coordinator,
                () -> true,
                serviceState,
                connectionsPerFrontend));
        return privateFrontend
                .listen()
                .compose(this::warmUp)
                .compose(v -> privateFrontend.shut(0))
                .compose(v -> firstUpdate)
                .compose(v -> whenPredecessorIdle())
                .compose(v -> listenOnFrontends())
                .mapEmpty();
    }

    /** Done once the predecessor has nothing left that waiting saves, or at the latest time for a yes. */
    private Future<Void> whenPredecessorIdle() {
        Promise<Void> done = Promise.promise();
        pollPredecessor(done);
        return done.future();
    }

    private void pollPredecessor(Promise<Void> done) {
        if (clock.now() >= hotRestart.startedAt() + SUCCESSOR_READY_MILLIS || !hotRestart.isPredecessorBusy()) {
            done.complete();
        } else {
            vertx.setTimer(IDLE_CHECK_MILLIS, id -> pollPredecessor(done));
        }
    }

    /** Looks whether another process is to succeed this one, and tells it when nothing is left to save. */
    private void checkForSuccessor() {
        double isSuccessor = serviceState.leaving() ? Double.NaN : hotRestart.successorStartedAt();
        if (!Double.isNaN(isSuccessor) && successorStartedAt != isSuccessor) {
            successorStartedAt = isSuccessor;
            coordinator.expectSuccessor(
                    isSuccessor + SUCCESSOR_READY_MILLIS, isSuccessor + SUCCESSOR_READY_MILLIS + minKillDelayMillis());
            LOG.info("awaits-successor", "another process is to succeed this one; long jobs are held back");
            pollOwnWork();
        } else if (Double.isNaN(isSuccessor)
                && !Double.isNaN(successorStartedAt)
                && !serviceState.leaving()
                && !hotRestart.hasServingSuccessor()) {
            successorStartedAt = Double.NaN;
            coordinator.cancelDraining();
        }
    }

    private void pollOwnWork() {
        coordinator.askWhetherWaitingHelps(
                minKillDelayMillis(),
                worthWaiting -> eventLoop.runOnContext(v -> {
                    if (!worthWaiting) {
                        // From now on the successor may take clients at any time.
                        coordinator.expectSuccessor(
                                successorStartedAt + SUCCESSOR_READY_MILLIS, clock.now() + minKillDelayMillis());
                        hotRestart.markIdle();
                    } else {
                        vertx.setTimer(IDLE_CHECK_MILLIS, id -> pollOwnWork());
                    }
                }));
    }

    /** From SIGTERM to SIGKILL at the least, in milliseconds. */
    private long minKillDelayMillis() {
        return GracefulShutdown.minKillDelayMillis(config.settings());
    }

    private Future<CompositeFuture> listenOnFrontends() {
        return Future.all(frontends.stream().map(Frontend::listen).toList()).onSuccess(all -> ports = all.list());
    }

    private void startServing() {
        serviceState.startServing();
        if (hotRestart != null) {
            hotRestart.markServing();
            adjustSharedLimits();
            vertx.setPeriodic(OTHER_PROCESS_CHECK_MILLIS, id -> adjustSharedLimits());
        }
    }

    /** Danger: two processes with all descriptors each would hold more than the dispatcher may. */
    private void adjustSharedLimits() {
        checkForSuccessor();
        boolean hasOtherProcess = hotRestart.hasOtherProcess();
        endpointPools.setDescriptorsShared(hasOtherProcess);
        connectionLimiter.setMaxConnections(hasOtherProcess ? maxClientConnections / 2 : maxClientConnections);
    }

    /**
     * Danger: both processes of an upgrade are given the same seed. Peers know a life by a number drawn from
     * it, and would pass over the gifts of a second life with the number of the first.
     */
    private long seedFor(boolean isSuccessor) {
        return isSuccessor ? config.seed() ^ ProcessHandle.current().pid() * 0x9e3779b97f4a7c15L : config.seed();
    }

    private Future<Void> listenAdmin() {
        if (adminFrontend == null) {
            return Future.succeededFuture();
        }
        return adminFrontend.listen().onSuccess(port -> adminPort = port).mapEmpty();
    }

    private Future<Void> warmUp(int port) {
        if (port <= 0) {
            warmedUp = true;
            return Future.succeededFuture();
        }
        SocketAddress privateFrontend =
                SocketAddress.inetSocketAddress(port, config.listen().hostAddress());
        WarmUp.warmUpScheduler(config.settings());
        return WarmUp.warmUpSockets(endpointPools.client(), privateFrontend).onComplete(v -> warmedUp = true);
    }

    /** The ways in, for tests. */
    List<Frontend> frontends() {
        return frontends;
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
    boolean isReady() {
        return serviceState.isServing() && hasEndpointList && warmedUp;
    }

    /** Figures beside the core's own. */
    Map<String, Number> additionalMetrics() {
        Map<String, Number> metrics = new java.util.TreeMap<>(usageRecorder.figures());
        metrics.putAll(requestListener.figures());
        metrics.putAll(peerSocket == null ? Map.of() : peerSocket.ignoredDatagrams());
        return metrics;
    }

    /** The site's settings in force. */
    SchedulerSettings settings() {
        return config.settings();
    }

    /** Where the watch is on now. */
    SocketAddress discovery() {
        return config.discovery();
    }

    ServiceState serviceState() {
        return serviceState;
    }

    /** Whether the peers' port is this process's. */
    boolean isPeerSocketBound() {
        return peerSocket.isBound();
    }

    /** Whether a list of sim runners is held. */
    public boolean hasEndpointList() {
        return hasEndpointList;
    }

    /** A planned end: goes on accepting for a while, then answers all that was taken. Blocks until then. */
    public void shutDown() {
        new GracefulShutdown(this, hotRestart != null && hotRestart.hasServingSuccessor()).run();
    }

    /** Takes a configuration that was read anew over, as far as that can be done while serving. */
    public void reload(PlatformConfig next) {
        eventLoop.runOnContext(v -> {
            List<String> restartOnly = config.restartOnlyChanges(next);
            config = config.withReloaded(next);
            discoveryWatch.moveTo(config.discovery());
            endpointPools.reload(config);
            coordinator.setMaxInFlight(config.maxInFlight());
            LOG.info(
                    "reread",
                    "configuration reread, discovery at " + config.discovery().hostAddress() + ":"
                            + config.discovery().port()
                            + (restartOnly.isEmpty() ? "" : "; only a restart changes " + restartOnly));
        });
    }

    /** Ends at once, whatever is still open. */
    public Future<Void> close() {
        Promise<Void> stopped = Promise.promise();
        eventLoop.runOnContext(v -> {
            discoveryWatch.stop();
            coordinator.stop();
            stopped.complete();
        });
        if (hotRestart != null) {
            hotRestart.close();
        }
        return stopped.future()
                .compose(v -> adminFrontend == null ? Future.succeededFuture() : adminFrontend.close())
                .compose(v -> vertx.close());
    }
}
