package nettlewick.net;

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

/** All sim runners of the resolver's list, and the calls to them. Lives on the event loop. */
final class EndpointConnectionPools implements Transport {
    /** Descriptors for neither clients nor sim runners: the jars, the listeners, the watch, selectors. */
    private static final int RESERVE = 64;

    private static final long SWEEP = 250;

    private final Vertx vertx;
    private final Context loop;
    private PlatformConfig config;
    private final Clock clock;
    private final HttpClientAgent client;
    private final PeerSocket peers;
    private final Map<String, EndpointConnections> all = new LinkedHashMap<>();
    private final Map<Object, OutboundRequest> calls = new IdentityHashMap<>();
    private final Map<OutboundRequest, Object> owners = new IdentityHashMap<>();
    private final Set<String> banned = new HashSet<>();
    private final ConnectionReusePolicy gauge = new ConnectionReusePolicy();
    private RequestCoordinator core;
    private int open;
    private volatile int opening;
    private boolean shared;

    EndpointConnectionPools(Vertx vertx, Context loop, PlatformConfig config, Clock clock, PeerSocket peers) {
        this.vertx = vertx;
        this.loop = loop;
        this.config = config;
        this.clock = clock;
        this.peers = peers;
        // Connections are owned here, one by one: nothing is pooled, pipelined, followed or sent again.
        // Danger: a time-out given with a single connect is not heeded by Vert.x 5.0.7; the client's is.
        int timeout = (int) Math.max(1, Math.ceil(config.connectTimeout()));
        client = vertx.createHttpClient(new HttpClientOptions()
                .setConnectTimeout(timeout)
                .setKeepAlive(true)
                .setPipelining(false)
                .setTcpNoDelay(true)
                .setMaxRedirects(0));
    }

    /** Ties the knot; before the event loop starts work. */
    void bind(RequestCoordinator to) {
        core = to;
        vertx.setPeriodic(SWEEP, id -> all.values().forEach(s -> s.idle().expire(now())));
    }

    /** Whether another process uses the same descriptors. */
    void share(boolean with) {
        shared = with;
    }

    /** Takes over what may change: the addresses of peers and the patience of idle connections. */
    void reload(PlatformConfig next) {
        config = next;
        peers.reload(next);
    }

    ConnectionReusePolicy gauge() {
        return gauge;
    }

    RequestCoordinator core() {
        return core;
    }

    PlatformConfig config() {
        return config;
    }

    HttpClientAgent client() {
        return client;
    }

    double now() {
        return clock.now();
    }

    void after(long millis, Runnable task) {
        vertx.setTimer(millis, id -> task.run());
    }

    void opened(int more) {
        open += more;
    }

    void opening(int more) {
        opening += more;
    }

    /** Connections to sim runners where so many descriptors are allowed and a third is for clients. */
    static int mostOpen(int sockets) {
        return Math.max(sockets / 8, sockets - sockets / DispatcherServer.CLIENTS_PART - RESERVE);
    }

    /** Whether one more connection may be opened; the longest idle one anywhere makes way for it. */
    boolean room() {
        int operators = config.adminAddr() == null ? 0 : DispatcherServer.ADMIN;
        int mine = mostOpen(config.sockets()) - operators;
        // Two processes have two sets of jars, listeners and selectors too.
        if (open < (shared ? Math.max(mine / 4, (mine - RESERVE) / 2) : mine)) {
            return true;
        }
        for (EndpointConnections s : all.values()) {
            if (s.idle().closeOldest()) {
                return true;
            }
        }
        return false;
    }

    /** Takes the resolver's news over: from now on nothing starts at a runner that is not ready. */
    void update(EndpointListSnapshot news) {
        if (news.whole()) {
            Map<String, EndpointConnections> missing = new LinkedHashMap<>(all);
            news.hosts().forEach(h -> missing.remove(h.entry().id()));
            missing.values().forEach(EndpointConnections::gone);
        }
        for (EndpointListSnapshot.Host h : news.hosts()) {
            EndpointConnections s = all.computeIfAbsent(h.entry().id(), id -> new EndpointConnections(id, this));
            s.ban(banned.contains(s.host));
            s.update(h);
        }
        all.values().removeIf(EndpointConnections::unused);
        core.updateEndpoints(news.roster());
    }

    /** Whether this runner is on the list. */
    boolean lists(String endpoint) {
        return all.containsKey(endpoint) && all.get(endpoint).listed();
    }

    /** An operator has taken a runner out, or put it back, at that time. */
    void ban(String endpoint, boolean out, double since) {
        if (out) {
            banned.add(endpoint);
        } else {
            banned.remove(endpoint);
        }
        if (all.containsKey(endpoint)) {
            all.get(endpoint).ban(out);
        }
        core.setEndpointDisabled(endpoint, out, since);
    }

    void over(OutboundRequest call) {
        Object owner = owners.remove(call);
        if (owner != null) {
            calls.remove(owner);
        }
    }

    /** Sends a call that never reached its runner once more, on a new connection. */
    void startAnew(OutboundRequest call) {
        Object owner = owners.get(call);
        EndpointConnections to = owner instanceof Probe probe ? all.get(probe.endpoint()) : null;
        if (to == null) {
            call.broke();
        } else {
            to.startAnew(call);
        }
    }

    private void start(Object owner, String endpoint, OutboundRequest call) {
        loop.runOnContext(v -> {
            calls.put(owner, call);
            owners.put(call, owner);
            EndpointConnections to = all.get(endpoint);
            if (to == null) {
                call.broke();
            } else {
                to.start(call);
            }
        });
    }

    private void stop(Object owner) {
        loop.runOnContext(v -> {
            OutboundRequest call = calls.get(owner);
            if (call != null) {
                call.drop();
            }
        });
    }

    @Override
    public void send(Attempt attempt) {
        start(attempt, attempt.endpoint(), new AttemptExchange(attempt, this));
    }

    @Override
    public void drop(Attempt attempt) {
        stop(attempt);
    }

    @Override
    public void probe(Probe probe) {
        start(probe, probe.endpoint(), new LoadProbe(probe, this));
    }

    @Override
    public void drop(Probe probe) {
        stop(probe);
    }

    @Override
    public void tell(int rank, byte[] data) {
        loop.runOnContext(v -> peers.send(rank, data));
    }

    /** How many connections to runners are coming up. */
    int opening() {
        return opening;
    }

    /** How often discovery has told of this runner, for tests. */
    int changes(String endpoint) {
        return all.containsKey(endpoint) ? all.get(endpoint).changes() : 0;
    }

    /** The hosts by name, for tests. */
    Iterable<String> hosts() {
        return new ArrayList<>(all.keySet());
    }
}
