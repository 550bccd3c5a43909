package nettlewick.stubs;

import com.google.gson.Gson;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.DoubleSupplier;

/**
 * Discovery, with a listener for each dispatcher: what each is told, and when, can differ. All changes are
 * kept in one order; a dispatcher's list lags behind by its own delay.
 */
public final class DiscoveryServer {
    private static final long BEAT = 2000;

    /** A runner as the list holds it. */
    private record Entry(EndpointServer runner, String health, long born) {}

    private final Vertx vertx;
    private final double callTime;
    private final DrainListener drains;
    private final DoubleSupplier clock;
    private final AddressResolver dial;
    /** What has changed, from number 1 on. */
    private final List<Entry> changes = new ArrayList<>();

    private final Map<Integer, HttpServerResponse> watchers = new LinkedHashMap<>();
    /** The number to which each dispatcher has been told. */
    private final int[] told;

    private final double[] lag;
    private volatile double silentUntil;
    private double servedAt;
    public final AtomicInteger callCount = new AtomicInteger();

    /** Hears that a dispatcher has been told of a draining runner. */
    public interface DrainListener {
        void drainAnnounced(int dispatcher, String runner, double now);
    }

    /** Where a dispatcher reaches a runner. */
    public interface AddressResolver {
        InetSocketAddress addressFor(int dispatcher, EndpointServer runner);
    }

    /** @param calls how long it takes over one call, one after another; 0: no time */
    public DiscoveryServer(
            Vertx vertx,
            int dispatchers,
            double calls,
            DrainListener drains,
            DoubleSupplier clock,
            AddressResolver dial) {
        this.vertx = vertx;
        callTime = calls;
        this.drains = drains;
        this.clock = clock;
        this.dial = dial;
        told = new int[dispatchers];
        lag = new double[dispatchers];
        vertx.setPeriodic(BEAT, id -> beat());
    }

    public InetSocketAddress listen(int dispatcher) throws Exception {
        HttpServer server = vertx.createHttpServer();
        server.requestHandler(request -> called(dispatcher, request));
        StubPlatform.awaitResult(server.listen(0, "127.0.0.1"));
        return new InetSocketAddress("127.0.0.1", server.actualPort());
    }

    /** Each dispatcher is told so much later than the change, from now on. */
    public synchronized void setDelay(int dispatcher, double millis) {
        lag[dispatcher] = millis;
    }

    public void muteUntil(double until) {
        silentUntil = until;
    }

    /** A call for the whole list with a watch; where calls take time, each waits for those before it. */
    private void called(int dispatcher, HttpServerRequest request) {
        callCount.incrementAndGet();
        double now = clock.getAsDouble();
        if (now < silentUntil) {
            return;
        }
        synchronized (this) {
            servedAt = Math.max(now, servedAt) + callTime;
        }
        String uri = request.uri();
        int at = uri.indexOf("after=");
        long after = at < 0 ? -1 : Long.parseLong(uri.substring(at + 6));
        request.response().exceptionHandler(e -> {});
        after(servedAt - now, () -> watch(dispatcher, request.response().setChunked(true), after));
    }

    private synchronized void watch(int dispatcher, HttpServerResponse response, long after) {
        if (response.closed()) {
            return;
        }
        watchers.put(dispatcher, response);
        if (after >= 0 && after <= changes.size()) {
            told[dispatcher] = (int) after;
            response.write("\n");
        } else {
            // The list as far as this dispatcher may know it; what is newer follows when its time comes.
            told[dispatcher] = Math.max(told[dispatcher], lag[dispatcher] > 0 ? 0 : changes.size());
            response.write(line(dispatcher, true, 0));
        }
        tell(dispatcher);
    }

    /** Tells all of a change, each after its own lag. */
    public synchronized void announceHealth(EndpointServer runner, String health) {
        double born = runner.model.startedAt();
        changes.add(new Entry(
                runner,
                health,
                born < 0 || Double.isInfinite(born)
                        ? 0
                        : System.currentTimeMillis() - (long) (clock.getAsDouble() - born)));
        int number = changes.size();
        for (int d = 0; d < told.length; d++) {
            int dispatcher = d;
            after(lag[d], () -> reach(dispatcher, number));
        }
    }

    private synchronized void reach(int dispatcher, int number) {
        if (told[dispatcher] < number) {
            tell(dispatcher);
        }
    }

    private void tell(int dispatcher) {
        HttpServerResponse to = watchers.get(dispatcher);
        if (to == null || to.closed() || clock.getAsDouble() < silentUntil || told[dispatcher] >= changes.size()) {
            return;
        }
        int from = told[dispatcher];
        told[dispatcher] = changes.size();
        to.write(line(dispatcher, false, from)).onSuccess(v -> note(dispatcher));
    }

    /** From now on this dispatcher knows of the drains. */
    private synchronized void note(int dispatcher) {
        for (Entry e : latest(0, told[dispatcher]).values()) {
            if (e.health().equals("Terminating")) {
                drains.drainAnnounced(dispatcher, e.runner().model.name, clock.getAsDouble());
            }
        }
    }

    private Map<String, Entry> latest(int from, int to) {
        Map<String, Entry> entries = new LinkedHashMap<>();
        for (Entry e : changes.subList(from, to)) {
            entries.put(e.runner().model.name, e);
        }
        return entries;
    }

    private String line(int dispatcher, boolean whole, int from) {
        return new Gson().toJson(list(dispatcher, whole, from)) + "\n";
    }

    private Map<String, Object> list(int dispatcher, boolean whole, int from) {
        List<Map<String, Object>> hosts = new ArrayList<>();
        for (Entry e : latest(from, told[dispatcher]).values()) {
            if (whole && e.health().equals("Gone")) {
                continue;
            }
            InetSocketAddress to = dial.addressFor(dispatcher, e.runner());
            hosts.add(Map.of(
                    "host",
                    e.runner().model.name,
                    "dial",
                    to.getHostString() + ":" + to.getPort(),
                    "site",
                    e.runner().model.zone,
                    "class",
                    "std",
                    "block",
                    0,
                    "health",
                    e.health(),
                    "share",
                    1.0,
                    "born_ms",
                    e.born()));
        }
        Map<String, Object> line = new LinkedHashMap<>();
        line.put("seq", told[dispatcher]);
        line.put("whole", whole);
        line.put("hosts", hosts);
        return line;
    }

    /** The list that a dispatcher last had, as it is given to one that starts again. */
    public synchronized Map<String, Object> lastSentList(int dispatcher) {
        return list(dispatcher, true, 0);
    }

    private synchronized void beat() {
        if (clock.getAsDouble() >= silentUntil) {
            watchers.values().forEach(w -> {
                if (!w.closed()) {
                    w.write("\n");
                }
            });
        }
        for (int d = 0; d < told.length; d++) {
            if (lag[d] <= 0) {
                tell(d);
            }
        }
    }

    private void after(double millis, Runnable what) {
        if (millis < 1) {
            what.run();
        } else {
            vertx.setTimer(Math.round(millis), id -> what.run());
        }
    }
}
