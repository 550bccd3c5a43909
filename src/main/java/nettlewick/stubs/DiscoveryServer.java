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
 * Discovery with a separate server for each dispatcher, so that each can be sent changes at a different time. All
 * dispatchers get the changes in the same order, each with its own delay.
 */
public final class DiscoveryServer {
    private static final long HEARTBEAT_MILLIS = 2000;

    /** A change of the list; {@code startedAtMillis} is Unix time, 0 for long ago. */
    private record HealthChange(EndpointServer endpoint, String health, long startedAtMillis) {}

    private final Vertx vertx;
    private final double callMillis;
    private final DrainListener drainListener;
    private final DoubleSupplier clock;
    private final AddressResolver addresses;
    /** All changes; the first has version 1. */
    private final List<HealthChange> changes = new ArrayList<>();

    private final Map<Integer, HttpServerResponse> watchResponses = new LinkedHashMap<>();
    /** The version up to which changes were sent, by dispatcher. */
    private final int[] sentChanges;

    private final double[] delayMillis;
    private volatile double mutedUntil;
    private double busyUntil;
    public final AtomicInteger callCount = new AtomicInteger();

    /** Is notified when a dispatcher has been sent a draining endpoint. */
    public interface DrainListener {
        void drainAnnounced(int dispatcher, String endpoint, double now);
    }

    /** Resolves the address at which a dispatcher reaches an endpoint. */
    public interface AddressResolver {
        InetSocketAddress addressFor(int dispatcher, EndpointServer endpoint);
    }

    /**
     * Creates the servers' common state and starts the heartbeats.
     *
     * @param callMillis the time for which each call occupies discovery, one after another; 0 for none
     */
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

    /** Sends a dispatcher each later change with this delay. */
    public synchronized void setDelay(int dispatcher, double millis) {
        delayMillis[dispatcher] = millis;
    }

    public void muteUntil(double until) {
        mutedUntil = until;
    }

    /** Answers a request for a watch once those before it are served. */
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
            // The list without the changes that are still delayed for this dispatcher; those follow later.
            sentChanges[dispatcher] =
                    Math.max(sentChanges[dispatcher], delayMillis[dispatcher] > 0 ? 0 : changes.size());
            response.write(listLine(dispatcher, true, 0));
        }
        sendChanges(dispatcher);
    }

    /** Sends a change to all dispatchers, to each after its own delay. */
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

    /** Notifies the listener of the draining endpoints that this dispatcher has been sent. */
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

    /** The list that a dispatcher was last sent, as it is given to one that restarts. */
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
