package nettlewick.net.endpoint;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClientAgent;
import io.vertx.core.http.HttpClientOptions;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import nettlewick.core.Attempt;
import nettlewick.core.Clock;
import nettlewick.core.Probe;
import nettlewick.core.RequestCoordinator;
import nettlewick.core.Transport;
import nettlewick.net.config.DescriptorBudget;
import nettlewick.net.config.PlatformConfig;
import nettlewick.net.discovery.EndpointListSnapshot;
import nettlewick.net.peer.PeerSocket;

/**
 * The endpoints on the list from discovery, the connections to them, and the requests in flight on these. Carries out
 * the transport actions of the request coordinator. Runs on the event loop, unless a method says otherwise.
 */
public final class EndpointConnectionPools implements Transport {
    private static final long IDLE_SWEEP_MILLIS = 250;

    private final Vertx vertx;
    private final Context eventLoop;
    private PlatformConfig config;
    private final Clock clock;
    private final HttpClientAgent client;
    private final PeerSocket peerSocket;
    private final Map<String, EndpointConnections> endpoints = new LinkedHashMap<>();
    private final Map<Object, OutboundRequest> requests = new IdentityHashMap<>();
    private final Map<OutboundRequest, Object> owners = new IdentityHashMap<>();
    private final Set<String> disabledEndpoints = new HashSet<>();
    private final ConnectionReusePolicy reusePolicy = new ConnectionReusePolicy();
    private RequestCoordinator coordinator;
    private int openConnections;
    private volatile int pendingConnects;
    private boolean descriptorsShared;

    /** Creates pools without endpoints. */
    public EndpointConnectionPools(
            Vertx vertx, Context eventLoop, PlatformConfig config, Clock clock, PeerSocket peerSocket) {
        this.vertx = vertx;
        this.eventLoop = eventLoop;
        this.config = config;
        this.clock = clock;
        this.peerSocket = peerSocket;
        // Connections are managed here one by one, so nothing is pooled, pipelined, redirected or retried by the
        // client. Vert.x 5.0.7 ignores the timeout of a single connect; that of the client applies.
        int timeout = (int) Math.max(1, Math.ceil(config.connectTimeoutMillis()));
        client = vertx.createHttpClient(new HttpClientOptions()
                .setConnectTimeout(timeout)
                .setKeepAlive(true)
                .setPipelining(false)
                .setTcpNoDelay(true)
                .setMaxRedirects(0));
    }

    /** Sets the coordinator that outcomes are reported to; called before any request is sent. */
    public void bind(RequestCoordinator target) {
        coordinator = target;
        vertx.setPeriodic(
                IDLE_SWEEP_MILLIS,
                id -> endpoints
                        .values()
                        .forEach(connections -> connections.idle().expire(now())));
    }

    /** Sets whether another process of this dispatcher uses the same descriptors. */
    public void setDescriptorsShared(boolean isShared) {
        descriptorsShared = isShared;
    }

    /** Applies what may change at run time: the addresses of peers and the idle timeout. */
    public void reload(PlatformConfig next) {
        config = next;
        peerSocket.reload(next);
    }

    ConnectionReusePolicy reusePolicy() {
        return reusePolicy;
    }

    RequestCoordinator coordinator() {
        return coordinator;
    }

    PlatformConfig config() {
        return config;
    }

    /** The HTTP client that all connections are made with. */
    public HttpClientAgent client() {
        return client;
    }

    double now() {
        return clock.nowMillis();
    }

    /** Runs a task once the event loop has handled everything that it has read in this turn. */
    void runAtEndOfTurn(Runnable task) {
        eventLoop.runOnContext(v -> task.run());
    }

    /** Runs a task after a delay; returns the id by which {@link #cancelTimer} cancels it. */
    long runAfter(long millis, Runnable task) {
        return vertx.setTimer(millis, id -> task.run());
    }

    /** Cancels a task of {@link #runAfter}; ignored if it has run. */
    void cancelTimer(long timerId) {
        vertx.cancelTimer(timerId);
    }

    void changeOpenConnections(int delta) {
        openConnections += delta;
    }

    void changePendingConnects(int delta) {
        pendingConnects += delta;
    }

    /** Whether one more connection may be opened; if need be, the one that has been idle longest is closed. */
    boolean makeRoomForConnection() {
        if (openConnections < DescriptorBudget.maxEndpointConnections(config, descriptorsShared)) {
            return true;
        }
        for (EndpointConnections connections : endpoints.values()) {
            if (connections.idle().closeOldest()) {
                return true;
            }
        }
        return false;
    }

    /** Applies an endpoint update: from now on nothing starts at an endpoint that is not ready. */
    public void applySnapshot(EndpointListSnapshot snapshot) {
        if (snapshot.complete()) {
            Map<String, EndpointConnections> missing = new LinkedHashMap<>(endpoints);
            snapshot.endpoints().forEach(entry -> missing.remove(entry.entry().id()));
            missing.values().forEach(EndpointConnections::markGone);
        }
        for (EndpointListSnapshot.ReachableEndpoint entry : snapshot.endpoints()) {
            EndpointConnections connections =
                    endpoints.computeIfAbsent(entry.entry().id(), id -> new EndpointConnections(id, this));
            connections.setDisabled(disabledEndpoints.contains(connections.endpointId()));
            connections.update(entry);
        }
        endpoints.values().removeIf(EndpointConnections::isUnused);
        coordinator.updateEndpoints(snapshot.toEndpointUpdate());
    }

    /** Whether this endpoint is on the list. */
    public boolean isListed(String endpoint) {
        return endpoints.containsKey(endpoint) && endpoints.get(endpoint).isListed();
    }

    /**
     * Disables or enables an endpoint.
     *
     * @param since when an operator did so, in milliseconds
     */
    public void setDisabled(String endpoint, boolean disabled, double since) {
        if (disabled) {
            disabledEndpoints.add(endpoint);
        } else {
            disabledEndpoints.remove(endpoint);
        }
        if (endpoints.containsKey(endpoint)) {
            endpoints.get(endpoint).setDisabled(disabled);
        }
        coordinator.setEndpointDisabled(endpoint, disabled, since);
    }

    void requestFinished(OutboundRequest request) {
        Object owner = owners.remove(request);
        if (owner != null) {
            requests.remove(owner);
        }
    }

    /** Sends a request that never reached its endpoint once more, on a new connection. */
    void resend(OutboundRequest request) {
        Object owner = owners.get(request);
        EndpointConnections target = owner instanceof Probe probe ? endpoints.get(probe.endpoint()) : null;
        if (target == null) {
            request.connectionLost();
        } else {
            target.sendOnNewConnection(request);
        }
    }

    private void send(Object owner, String endpoint, OutboundRequest request) {
        eventLoop.runOnContext(v -> {
            requests.put(owner, request);
            owners.put(request, owner);
            EndpointConnections target = endpoints.get(endpoint);
            if (target == null) {
                request.connectionLost();
            } else {
                target.send(request);
            }
        });
    }

    private void cancelRequestOf(Object owner) {
        eventLoop.runOnContext(v -> {
            OutboundRequest request = requests.get(owner);
            if (request != null) {
                request.cancel();
            }
        });
    }

    @Override
    public void send(Attempt attempt) {
        send(attempt, attempt.endpoint(), new AttemptExchange(attempt, this));
    }

    @Override
    public void cancel(Attempt attempt) {
        cancelRequestOf(attempt);
    }

    @Override
    public void probe(Probe probe) {
        send(probe, probe.endpoint(), new LoadProbe(probe, this));
    }

    @Override
    public void cancel(Probe probe) {
        cancelRequestOf(probe);
    }

    @Override
    public void sendToPeer(int rank, byte[] data) {
        eventLoop.runOnContext(v -> peerSocket.send(rank, data));
    }

    /** How many connections to endpoints are being established; for any thread. */
    public int pendingConnects() {
        return pendingConnects;
    }

    /** How many updates of this endpoint have been applied. */
    public int updatesOf(String endpoint) {
        return endpoints.containsKey(endpoint) ? endpoints.get(endpoint).updates() : 0;
    }

    /** The ids of all endpoints. */
    Iterable<String> endpointIds() {
        return new ArrayList<>(endpoints.keySet());
    }
}
