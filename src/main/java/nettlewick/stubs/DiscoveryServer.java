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
    private static final long HEARTBEAT_MILLIS = 2000;

    /** A runner as the list holds it. */
    private record HealthChange(EndpointServer endpoint, String health, long startedAtMillis) {}

    private final Vertx vertx;
    private final double callMillis;
    private final DrainListener drainListener;
    private final DoubleSupplier clock;
    private final AddressResolver addresses;
    /** What has changed, from number 1 on. */
    private final List<HealthChange> changes = new ArrayList<>();

    private final Map<Integer, HttpServerResponse> watchResponses = new LinkedHashMap<>();
    /** The number to which each dispatcher has been told. */
    private final int[] sentChanges;

    private final double[] delayMillis;
    private volatile double mutedUntil;
    private double busyUntil;
    public final AtomicInteger callCount = new AtomicInteger();

    /** Hears that a dispatcher has been told of a draining runner. */
    public interface DrainListener {
        void drainAnnounced(int dispatcher, String endpoint, double now);
    }

    /** Where a dispatcher reaches a runner. */
    public interface AddressResolver {
        InetSocketAddress addressFor(int dispatcher, EndpointServer endpoint);
    }

    /** @param calls how long it takes over one call, one after another; 0: no time */
    public DiscoveryServer(
            Vertx vertx,
            int dispatchers,
            double callMillis,
            DrainListener drainListener,
            DoubleSupplier clock,
            AddressResolver addresses) {
        this.vertx = vertx;
        this.callMillis = callMillis;
        this.drainListener = drainListener;
        this.clock = clock;
        this.addresses = addresses;
        sentChanges = new int[dispatchers];
        delayMillis = new double[dispatchers];
        vertx.setPeriodic(HEARTBEAT_MILLIS, id -> sendHeartbeats());
    }

    public InetSocketAddress listen(int dispatcher) throws Exception {
        HttpServer server = vertx.createHttpServer();
        server.requestHandler(request -> handleCall(dispatcher, request));
        StubPlatform.awaitResult(server.listen(0, "127.0.0.1"));
        return new InetSocketAddress("127.0.0.1", server.actualPort());
    }

    /** Each dispatcher is told so much later than the change, from now on. */
    public synchronized void setDelay(int dispatcher, double millis) {
        delayMillis[dispatcher] = millis;
    }

    public void muteUntil(double until) {
        mutedUntil = until;
    }

    /** A call for the whole list with a watch; where calls take time, each waits for those before it. */
    private void handleCall(int dispatcher, HttpServerRequest request) {
        callCount.incrementAndGet();
        double now = clock.getAsDouble();
        if (now < mutedUntil) {
            return;
        }
        synchronized (this) {
            busyUntil = Math.max(now, busyUntil) + callMillis;
        }
        String uri = request.uri();
        int parameter = uri.indexOf("after=");
        long afterVersion = parameter < 0 ? -1 : Long.parseLong(uri.substring(parameter + 6));
        request.response().exceptionHandler(e -> {});
        runAfter(
                busyUntil - now, () -> startWatch(dispatcher, request.response().setChunked(true), afterVersion));
    }

    private synchronized void startWatch(int dispatcher, HttpServerResponse response, long afterVersion) {
        if (response.closed()) {
            return;
        }
        watchResponses.put(dispatcher, response);
        if (afterVersion >= 0 && afterVersion <= changes.size()) {
            sentChanges[dispatcher] = (int) afterVersion;
            response.write("\n");
        } else {
            // The list as far as this dispatcher may know it; what is newer follows when its time comes.
            sentChanges[dispatcher] =
                    Math.max(sentChanges[dispatcher], delayMillis[dispatcher] > 0 ? 0 : changes.size());
            response.write(listLine(dispatcher, true, 0));
        }
        sendChanges(dispatcher);
    }

    /** Tells all of a change, each after its own lag. */
    public synchronized void announceHealth(EndpointServer endpoint, String health) {
        double startedAt = endpoint.model.startedAt();
        changes.add(new HealthChange(
                endpoint,
                health,
                startedAt < 0 || Double.isInfinite(startedAt)
                        ? 0
                        : System.currentTimeMillis() - (long) (clock.getAsDouble() - startedAt)));
        int version = changes.size();
        for (int i = 0; i < sentChanges.length; i++) {
            int dispatcher = i;
            runAfter(delayMillis[i], () -> sendDelayedChange(dispatcher, version));
        }
    }

    private synchronized void sendDelayedChange(int dispatcher, int version) {
        if (sentChanges[dispatcher] < version) {
            sendChanges(dispatcher);
        }
    }

    private void sendChanges(int dispatcher) {
        HttpServerResponse response = watchResponses.get(dispatcher);
        if (response == null
                || response.closed()
                || clock.getAsDouble() < mutedUntil
                || sentChanges[dispatcher] >= changes.size()) {
            return;
        }
        int from = sentChanges[dispatcher];
        sentChanges[dispatcher] = changes.size();
        response.write(listLine(dispatcher, false, from)).onSuccess(v -> notifyDrains(dispatcher));
    }

    /** From now on this dispatcher knows of the drains. */
    private synchronized void notifyDrains(int dispatcher) {
        for (HealthChange change : latestChanges(0, sentChanges[dispatcher]).values()) {
            if (change.health().equals("Terminating")) {
                drainListener.drainAnnounced(dispatcher, change.endpoint().model.name, clock.getAsDouble());
            }
        }
    }

    private Map<String, HealthChange> latestChanges(int from, int to) {
        Map<String, HealthChange> entries = new LinkedHashMap<>();
        for (HealthChange change : changes.subList(from, to)) {
            entries.put(change.endpoint().model.name, change);
        }
        return entries;
    }

    private String listLine(int dispatcher, boolean whole, int from) {
        return new Gson().toJson(endpointList(dispatcher, whole, from)) + "\n";
    }

    private Map<String, Object> endpointList(int dispatcher, boolean whole, int from) {
        List<Map<String, Object>> hosts = new ArrayList<>();
        for (HealthChange change : latestChanges(from, sentChanges[dispatcher]).values()) {
            if (whole && change.health().equals("Gone")) {
                continue;
            }
            InetSocketAddress address = addresses.addressFor(dispatcher, change.endpoint());
            hosts.add(Map.of(
                    "host",
                    change.endpoint().model.name,
                    "dial",
                    address.getHostString() + ":" + address.getPort(),
                    "site",
                    change.endpoint().model.zone,
                    "class",
                    "std",
                    "block",
                    0,
                    "health",
                    change.health(),
                    "share",
                    1.0,
                    "born_ms",
                    change.startedAtMillis()));
        }
        Map<String, Object> line = new LinkedHashMap<>();
        line.put("seq", sentChanges[dispatcher]);
        line.put("whole", whole);
        line.put("hosts", hosts);
        return line;
    }

    /** The list that a dispatcher last had, as it is given to one that starts again. */
    public synchronized Map<String, Object> lastSentList(int dispatcher) {
        return endpointList(dispatcher, true, 0);
    }

    private synchronized void sendHeartbeats() {
        if (clock.getAsDouble() >= mutedUntil) {
            watchResponses.values().forEach(response -> {
                if (!response.closed()) {
                    response.write("\n");
                }
            });
        }
        for (int dispatcher = 0; dispatcher < sentChanges.length; dispatcher++) {
            if (delayMillis[dispatcher] <= 0) {
                sendChanges(dispatcher);
            }
        }
    }

    private void runAfter(double millis, Runnable task) {
        if (millis < 1) {
            task.run();
        } else {
            vertx.setTimer(Math.round(millis), id -> task.run());
        }
    }
}
