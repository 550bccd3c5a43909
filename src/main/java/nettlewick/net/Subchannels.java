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
import nettlewick.core.Core;
import nettlewick.core.Probe;
import nettlewick.core.Transport;

/** All sim runners of the resolver's list, and the calls to them. Lives on the event loop. */
final class Subchannels implements Transport {
    /** Descriptors for neither clients nor sim runners: the jars, the listeners, the watch, selectors. */
    private static final int RESERVE = 64;

    private static final long SWEEP = 250;

    private final Vertx vertx;
    private final Context loop;
    private Config config;
    private final Clock clock;
    private final HttpClientAgent client;
    private final PeerSocket peers;
    private final Map<String, Subchannel> all = new LinkedHashMap<>();
    private final Map<Object, Call> calls = new IdentityHashMap<>();
    private final Map<Call, Object> owners = new IdentityHashMap<>();
    private final Set<String> banned = new HashSet<>();
    private final ReuseGauge gauge = new ReuseGauge();
    private Core core;
    private int open;
    private volatile int opening;
    private boolean shared;

    Subchannels(Vertx vertx, Context loop, Config config, Clock clock, PeerSocket peers) {
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
    void bind(Core to) {
        core = to;
        vertx.setPeriodic(SWEEP, id -> all.values().forEach(s -> s.idle().expire(now())));
    }

    /** Whether another process uses the same descriptors. */
    void share(boolean with) {
        shared = with;
    }

    /** Takes over what may change: the addresses of peers and the patience of idle connections. */
    void reload(Config next) {
        config = next;
        peers.reload(next);
    }

    ReuseGauge gauge() {
        return gauge;
    }

    Core core() {
        return core;
    }

    Config config() {
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
        return Math.max(sockets / 8, sockets - sockets / Node.CLIENTS_PART - RESERVE);
    }

    /** Whether one more connection may be opened; the longest idle one anywhere makes way for it. */
    boolean room() {
        int operators = config.adminAddr() == null ? 0 : Node.ADMIN;
        int mine = mostOpen(config.sockets()) - operators;
        // Two processes have two sets of jars, listeners and selectors too.
        if (open < (shared ? Math.max(mine / 4, (mine - RESERVE) / 2) : mine)) {
            return true;
        }
        for (Subchannel s : all.values()) {
            if (s.idle().closeOldest()) {
                return true;
            }
        }
        return false;
    }

    /** Takes the resolver's news over: from now on nothing starts at a runner that is not ready. */
    void update(ResolverResult news) {
        if (news.whole()) {
            Map<String, Subchannel> missing = new LinkedHashMap<>(all);
            news.hosts().forEach(h -> missing.remove(h.entry().worker()));
            missing.values().forEach(Subchannel::gone);
        }
        for (ResolverResult.Host h : news.hosts()) {
            Subchannel s = all.computeIfAbsent(h.entry().worker(), id -> new Subchannel(id, this));
            s.ban(banned.contains(s.host));
            s.update(h);
        }
        all.values().removeIf(Subchannel::unused);
        core.learn(news.roster());
    }

    /** Whether this runner is on the list. */
    boolean lists(String runner) {
        return all.containsKey(runner) && all.get(runner).listed();
    }

    /** An operator has taken a runner out, or put it back, at that time. */
    void ban(String runner, boolean out, double since) {
        if (out) {
            banned.add(runner);
        } else {
            banned.remove(runner);
        }
        if (all.containsKey(runner)) {
            all.get(runner).ban(out);
        }
        core.ban(runner, out, since);
    }

    void over(Call call) {
        Object owner = owners.remove(call);
        if (owner != null) {
            calls.remove(owner);
        }
    }

    /** Sends a call that never reached its runner once more, on a new connection. */
    void startAnew(Call call) {
        Object owner = owners.get(call);
        Subchannel to = owner instanceof Probe probe ? all.get(probe.worker()) : null;
        if (to == null) {
            call.broke();
        } else {
            to.startAnew(call);
        }
    }

    private void start(Object owner, String worker, Call call) {
        loop.runOnContext(v -> {
            calls.put(owner, call);
            owners.put(call, owner);
            Subchannel to = all.get(worker);
            if (to == null) {
                call.broke();
            } else {
                to.start(call);
            }
        });
    }

    private void stop(Object owner) {
        loop.runOnContext(v -> {
            Call call = calls.get(owner);
            if (call != null) {
                call.drop();
            }
        });
    }

    @Override
    public void send(Attempt attempt) {
        start(attempt, attempt.worker(), new CallAttempt(attempt, this));
    }

    @Override
    public void drop(Attempt attempt) {
        stop(attempt);
    }

    @Override
    public void probe(Probe probe) {
        start(probe, probe.worker(), new LoadProbe(probe, this));
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
    int changes(String runner) {
        return all.containsKey(runner) ? all.get(runner).changes() : 0;
    }

    /** The hosts by name, for tests. */
    Iterable<String> hosts() {
        return new ArrayList<>(all.keySet());
    }
}
