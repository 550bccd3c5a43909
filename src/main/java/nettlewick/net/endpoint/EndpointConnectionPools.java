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

/** All sim runners of the resolver's list, and the calls to them. Lives on the event loop. */
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

    public EndpointConnectionPools(
            Vertx vertx, Context eventLoop, PlatformConfig config, Clock clock, PeerSocket peerSocket) {
        this.vertx = vertx;
        this.eventLoop = eventLoop;
        this.config = config;
        this.clock = clock;
        this.peerSocket = peerSocket;
        // Connections are owned here, one by one: nothing is pooled, pipelined, followed or sent again.
        // Danger: a time-out given with a single connect is not heeded by Vert.x 5.0.7; the client's is.
        int timeout = (int) Math.max(1, Math.ceil(config.connectTimeoutMillis()));
        client = vertx.createHttpClient(new HttpClientOptions()
                .setConnectTimeout(timeout)
                .setKeepAlive(true)
                .setPipelining(false)
                .setTcpNoDelay(true)
                .setMaxRedirects(0));
    }

    /** Ties the knot; before the event loop starts work. */
    public void bind(RequestCoordinator target) {
        coordinator = target;
        vertx.setPeriodic(
                IDLE_SWEEP_MILLIS,
                id -> endpoints
                        .values()
                        .forEach(connections -> connections.idle().expire(now())));
    }

    /** Whether another process uses the same descriptors. */
    public void setDescriptorsShared(boolean isShared) {
        descriptorsShared = isShared;
    }

    /** Takes over what may change: the addresses of peers and the patience of idle connections. */
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

    public HttpClientAgent client() {
        return client;
    }

    double now() {
        return clock.now();
    }

    void runAfter(long millis, Runnable task) {
        vertx.setTimer(millis, id -> task.run());
    }

    void addOpenConnections(int more) {
        openConnections += more;
    }

    void changePendingConnects(int more) {
        pendingConnects += more;
    }

    /** Whether one more connection may be opened; the longest idle one anywhere makes way for it. */
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

    /** Takes the resolver's news over: from now on nothing starts at a runner that is not ready. */
    public void applySnapshot(EndpointListSnapshot snapshot) {
        if (snapshot.complete()) {
            Map<String, EndpointConnections> missing = new LinkedHashMap<>(endpoints);
            snapshot.endpoints().forEach(entry -> missing.remove(entry.entry().id()));
            missing.values().forEach(EndpointConnections::markGone);
        }
        for (EndpointListSnapshot.ReachableEndpoint entry : snapshot.endpoints()) {
            EndpointConnections connections =
                    endpoints.computeIfAbsent(entry.entry().id(), id -> new EndpointConnections(id, this));
            connections.setDisabled(disabledEndpoints.contains(connections.endpointId));
            connections.update(entry);
        }
        endpoints.values().removeIf(EndpointConnections::isUnused);
        coordinator.updateEndpoints(snapshot.toEndpointUpdate());
    }

    /** Whether this runner is on the list. */
    public boolean isListed(String endpoint) {
        return endpoints.containsKey(endpoint) && endpoints.get(endpoint).isListed();
    }

    /** An operator has taken a runner out, or put it back, at that time. */
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

    /** Sends a call that never reached its runner once more, on a new connection. */
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

    private void cancel(Object owner) {
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
    public void drop(Attempt attempt) {
        cancel(attempt);
    }

    @Override
    public void probe(Probe probe) {
        send(probe, probe.endpoint(), new LoadProbe(probe, this));
    }

    @Override
    public void drop(Probe probe) {
        cancel(probe);
    }

    @Override
    public void tell(int rank, byte[] data) {
        eventLoop.runOnContext(v -> peerSocket.send(rank, data));
    }

    /** How many connections to runners are coming up. */
    public int pendingConnects() {
        return pendingConnects;
    }

    /** How often discovery has told of this runner, for tests. */
    public int updatesOf(String endpoint) {
        return endpoints.containsKey(endpoint) ? endpoints.get(endpoint).updates() : 0;
    }

    /** The hosts by name, for tests. */
    Iterable<String> endpointIds() {
        return new ArrayList<>(endpoints.keySet());
    }
}
