package nettlewick.net;

import io.vertx.core.CompositeFuture;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.net.SocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import nettlewick.core.Clock;
import nettlewick.core.RequestCoordinator;
import nettlewick.core.RequestListener;
import nettlewick.core.UsageRecorder;
import nettlewick.decision.SchedulerSettings;
import nettlewick.log.ComponentLogger;
import nettlewick.net.client.ConnectionLimiter;
import nettlewick.net.client.Frontend;
import nettlewick.net.config.DescriptorBudget;
import nettlewick.net.config.PlatformConfig;
import nettlewick.net.discovery.DiscoveryWatch;
import nettlewick.net.discovery.WatchStalenessTimer;
import nettlewick.net.endpoint.EndpointConnectionPools;
import nettlewick.net.lifecycle.DisabledEndpointStore;
import nettlewick.net.lifecycle.HotRestart;
import nettlewick.net.lifecycle.ServiceState;
import nettlewick.net.peer.PeerSocket;

/**
 * Assembles a dispatcher from its parts (request coordinator, endpoint connections, discovery watch, peer
 * socket, frontends) and runs its start, reload and close. Public methods may be called from any thread; the
 * parts run on one event loop.
 */
public final class DispatcherServer {
    private static final ComponentLogger LOG = ComponentLogger.of("node");
    /**
     * How long a successor waits for the first update from discovery before it uses the list from its
     * configuration.
     */
    private static final long FIRST_UPDATE_TIMEOUT_MILLIS = 1000;
    /** Interval between checks whether another process of this dispatcher shares the limits. */
    private static final long OTHER_PROCESS_CHECK_MILLIS = 250;
    /** Interval between checks whether another process has changed the disabled endpoints. */
    private static final long DISABLED_CHECK_MILLIS = 200;
    /** Connections accepted beyond the limits of the frontends, which then choose a connection to evict. */
    private static final int SPARE_CONNECTIONS = 8;

    private volatile PlatformConfig config;
    private final Clock clock;
    private final Vertx vertx;
    private final HotRestart hotRestart;
    private final DisabledEndpointStore disabledEndpoints;
    private final int maxClientConnections;
    private final int connectionsPerFrontend;
    private final ConnectionLimiter connectionLimiter;
    private final Context eventLoop;
    private PeerSocket peerSocket;
    private UsageRecorder usageRecorder = UsageRecorder.NONE;
    private RequestListener requestListener = RequestListener.NONE;
    private RequestCoordinator coordinator;
    private EndpointConnectionPools endpointPools;
    private DiscoveryWatch discoveryWatch;
    /** Null where this process never shares its address. */
    private HotRestartHandover handover;

    private final List<Frontend.Factory> frontendFactories;
    private final List<Frontend> frontends = new ArrayList<>();
    private final ServiceState serviceState = new ServiceState();
    /** Null if no admin address is configured. */
    private AdminServer adminServer;

    private volatile int adminPort;
    private volatile boolean hasEndpointList;
    private volatile boolean warmedUp;
    private volatile List<Integer> ports = List.of();

    /** Creates a dispatcher that never shares its address with another process. */
    public DispatcherServer(PlatformConfig config, Clock clock, Frontend.Factory... frontendFactories) {
        this(config, clock, null, frontendFactories);
    }

    /**
     * Creates a dispatcher that may share its address with an older or newer process.
     *
     * @param hotRestart the registration among the processes of this dispatcher; null for one that never
     *     shares
     */
    public DispatcherServer(
            PlatformConfig config, Clock clock, HotRestart hotRestart, Frontend.Factory... frontendFactories) {
        this.hotRestart = hotRestart;
        disabledEndpoints = new DisabledEndpointStore(hotRestart == null ? null : hotRestart.sharedFile("bans.json"));
        this.frontendFactories = List.of(frontendFactories);
        this.config = config;
        this.clock = clock;
        maxClientConnections = DescriptorBudget.maxClientConnections(config.maxSockets());
        connectionLimiter = new ConnectionLimiter(clock, maxClientConnections);
        connectionsPerFrontend =
                Math.max(1, maxClientConnections / Math.max(1, frontendFactories.length) - SPARE_CONNECTIONS);
        vertx = VertxFactory.create(connectionLimiter);
        eventLoop = vertx.getOrCreateContext();
    }

    /** Sets the recorder of usage; to be called before {@link #start}. */
    public DispatcherServer withUsageRecorder(UsageRecorder recorder) {
        usageRecorder = recorder;
        return this;
    }

    /** Sets the listener that is notified of every request; to be called before {@link #start}. */
    public DispatcherServer withRequestListener(RequestListener listener) {
        requestListener = listener;
        return this;
    }

    /**
     * Sets the factory of the admin server, which is created if the configuration has an address for it; to be called
     * before {@link #start}.
     */
    public DispatcherServer withAdminServer(AdminServer.Factory factory) {
        adminServer =
                config.adminListen() == null ? null : factory.create(config.adminListen(), new AdminOperations(this));
        return this;
    }

    /** Starts all parts; completes once the sockets listen and this process accepts clients. */
    public Future<Void> start() {
        Promise<Void> started = Promise.promise();
        eventLoop.runOnContext(v -> startOnEventLoop().onComplete(started));
        return started.future()
                .onSuccess(v -> LOG.info(
                        "listens",
                        "dispatcher " + config.name()
                                + " listens on "
                                + config.listen().hostAddress() + ":" + ports.get(0)));
    }

    private Future<Void> startOnEventLoop() {
        boolean isSuccessor = hotRestart != null && hotRestart.hasOtherProcess();
        createCoordinator(isSuccessor);
        Frontend.Environment environment = new Frontend.Environment(
                vertx,
                eventLoop,
                config,
                clock,
                coordinator,
                () -> hasEndpointList && warmedUp,
                serviceState,
                connectionsPerFrontend);
        frontendFactories.forEach(factory -> frontends.add(factory.create(environment)));
        Thread thread = new Thread(coordinator, "core");
        thread.setDaemon(true);
        thread.start();
        disabledEndpoints.readChanges().forEach(this::applyDisabledEndpoint);
        vertx.setPeriodic(
                DISABLED_CHECK_MILLIS, id -> disabledEndpoints.readChanges().forEach(this::applyDisabledEndpoint));
        Future<Void> firstUpdate = startDiscoveryWatch(isSuccessor);
        return listenAdmin()
                .compose(v -> isSuccessor ? startAsSuccessor(firstUpdate, environment) : startAlone(environment))
                .onSuccess(v -> startServing());
    }

    private void createCoordinator(boolean isSuccessor) {
        peerSocket = new PeerSocket(vertx, config);
        endpointPools = new EndpointConnectionPools(vertx, eventLoop, config, clock, peerSocket);
        coordinator = new RequestCoordinator(
                clock,
                config.settings(),
                config.processSeed(isSuccessor),
                config.maxInFlight(),
                endpointPools,
                usageRecorder);
        coordinator.setListener(requestListener);
        requestListener.onAttached(coordinator);
        endpointPools.bind(coordinator);
        if (hotRestart != null) {
            coordinator.setAcceptedIds(hotRestart.acceptedIds()::claim);
            handover = new HotRestartHandover(
                    vertx,
                    eventLoop,
                    clock,
                    hotRestart,
                    coordinator,
                    serviceState,
                    GracefulShutdown.minKillDelayMillis(config.settings()));
        }
    }

    /** Starts the watch; completes with the first update or after {@link #FIRST_UPDATE_TIMEOUT_MILLIS}. */
    private Future<Void> startDiscoveryWatch(boolean isSuccessor) {
        Promise<Void> firstUpdate = Promise.promise();
        WatchStalenessTimer stalenessTimer =
                WatchStalenessTimer.of(config.settings(), ~config.processSeed(isSuccessor));
        discoveryWatch = new DiscoveryWatch(vertx, config.discovery(), clock, stalenessTimer, snapshot -> {
            endpointPools.applySnapshot(snapshot);
            hasEndpointList = true;
            if (snapshot != config.knownEndpoints()) {
                firstUpdate.tryComplete();
            }
        });
        discoveryWatch.start(config.knownEndpoints());
        vertx.setTimer(FIRST_UPDATE_TIMEOUT_MILLIS, id -> firstUpdate.tryComplete());
        return firstUpdate.future();
    }

    /** Applies an entry of the disabled endpoints; on the event loop. */
    void applyDisabledEndpoint(DisabledEndpointStore.Entry entry) {
        endpointPools.setDisabled(entry.endpoint(), entry.disabled(), entry.sinceMillis());
    }

    /**
     * Starts when no other process serves this address. Listens last: a request accepted while code is still being
     * loaded and compiled would wait for that and might miss its deadline.
     */
    private Future<Void> startAlone(Frontend.Environment environment) {
        return peerSocket
                .listen(coordinator::receivePeerMessage)
                .compose(v -> warmUp(environment))
                .compose(v -> listenOnFrontends())
                .mapEmpty();
    }

    /**
     * Starts while another process serves this address. Listens last: before it is ready, this process would take
     * clients from the one that can serve them, and its failing health check would make the load balancer avoid both.
     */
    private Future<Void> startAsSuccessor(Future<Void> firstUpdate, Frontend.Environment environment) {
        LOG.info("succeeds", "another process serves this address; starting as its successor");
        peerSocket.listenWhenPortIsFree(coordinator::receivePeerMessage);
        return warmUp(environment)
                .compose(v -> firstUpdate)
                .compose(v -> handover.whenPredecessorIdle())
                .compose(v -> listenOnFrontends())
                .mapEmpty();
    }

    private Future<Void> warmUp(Frontend.Environment environment) {
        return WarmUp.run(environment, endpointPools.client()).onComplete(v -> warmedUp = true);
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

    /**
     * Halves the limits while another process of this dispatcher is alive: together they must not exceed the descriptor
     * limit of one.
     */
    private void adjustSharedLimits() {
        handover.checkForSuccessor();
        boolean hasOtherProcess = hotRestart.hasOtherProcess();
        endpointPools.setDescriptorsShared(hasOtherProcess);
        connectionLimiter.setMaxConnections(hasOtherProcess ? maxClientConnections / 2 : maxClientConnections);
    }

    private Future<Void> listenAdmin() {
        return adminServer == null
                ? Future.succeededFuture()
                : adminServer.listen().onSuccess(port -> adminPort = port).mapEmpty();
    }

    /** The frontends, in the order of their factories. */
    List<Frontend> frontends() {
        return frontends;
    }

    /** The ports listened on, in the order of the frontends. */
    public List<Integer> ports() {
        return ports;
    }

    /** The port of the admin frontend, or 0 if there is none. */
    public int adminPort() {
        return adminPort;
    }

    /** Whether this process accepts clients and can serve them. */
    boolean isReady() {
        return serviceState.isServing() && hasEndpointList && warmedUp;
    }

    /** Metrics in addition to those of the request coordinator, by name. */
    Map<String, Number> additionalMetrics() {
        Map<String, Number> metrics = new TreeMap<>(usageRecorder.metrics());
        metrics.putAll(requestListener.metrics());
        metrics.putAll(peerSocket == null ? Map.of() : peerSocket.ignoredDatagrams());
        return metrics;
    }

    /** The scheduler settings in force. */
    SchedulerSettings settings() {
        return config.settings();
    }

    /** The address of the discovery service that is watched. */
    SocketAddress discovery() {
        return config.discovery();
    }

    /** The state of this process towards clients. */
    ServiceState serviceState() {
        return serviceState;
    }

    Clock clock() {
        return clock;
    }

    Vertx vertx() {
        return vertx;
    }

    Context eventLoop() {
        return eventLoop;
    }

    ConnectionLimiter connectionLimiter() {
        return connectionLimiter;
    }

    DisabledEndpointStore disabledEndpoints() {
        return disabledEndpoints;
    }

    /** The request coordinator; null before the start. */
    RequestCoordinator coordinator() {
        return coordinator;
    }

    /** The connections to endpoints; null before the start. */
    EndpointConnectionPools endpointPools() {
        return endpointPools;
    }

    /** The socket for peer messages; null before the start. */
    PeerSocket peerSocket() {
        return peerSocket;
    }

    /** Whether a list of endpoints has been received or configured. */
    public boolean hasEndpointList() {
        return hasEndpointList;
    }

    /** Shuts down gracefully; blocks until all accepted requests are answered or the longest deadline has passed. */
    public void shutDown() {
        new GracefulShutdown(this, hotRestart != null && hotRestart.hasServingSuccessor()).run();
    }

    /** Applies the parts of a reloaded configuration that can change while the dispatcher serves. */
    public void reload(PlatformConfig next) {
        eventLoop.runOnContext(v -> {
            List<String> restartOnly = config.restartOnlyChanges(next);
            config = config.withReloaded(next);
            discoveryWatch.moveTo(config.discovery());
            endpointPools.reload(config);
            coordinator.setMaxInFlight(config.maxInFlight());
            LOG.info(
                    "reread",
                    "configuration reloaded; discovery is at "
                            + config.discovery().hostAddress() + ":"
                            + config.discovery().port()
                            + (restartOnly.isEmpty() ? "" : "; a restart is needed to change " + restartOnly));
        });
    }

    /** Closes all parts immediately; requests in flight are dropped. */
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
                .compose(v -> adminServer == null ? Future.succeededFuture() : adminServer.close())
                .compose(v -> vertx.close());
    }
}
