package nettlewick.stubs;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/**
 * Discovery and endpoints on loopback, written from the protocol page, for the demonstration and for tests. The
 * endpoints count how often each request was executed, and can be killed, drained and made to misbehave.
 */
public class StubPlatform implements AutoCloseable {
    public final Vertx vertx = Vertx.vertx();
    /** How often the execution of each request id was started, at any endpoint. */
    public final Map<String, AtomicInteger> executionCounts = new ConcurrentHashMap<>();

    public final List<String> receivedRequests = new CopyOnWriteArrayList<>();
    public final List<String> discoveryRequests = new CopyOnWriteArrayList<>();
    /** How long a request is executed, unless its body is a number. */
    public volatile int executionMillis = 30;
    /** Handles requests to endpoints instead of executing them; null to execute them. */
    public volatile Consumer<HttpServerRequest> requestOverride;
    /** Endpoints that accept requests and load probes and answer none. */
    public final Set<String> hungEndpoints = ConcurrentHashMap.newKeySet();
    /** Handles requests to discovery instead of opening a watch; null to open one. */
    public volatile Consumer<HttpServerRequest> discoveryOverride;
    /** Whether endpoints close a connection at its second request without answering it. */
    public volatile boolean resetReusedConnections;
    /** Whether endpoint lists are indented, over several lines. */
    public volatile boolean prettyPrintLists;

    public final AtomicInteger resetCount = new AtomicInteger();
    private final Set<HttpConnection> usedConnections = ConcurrentHashMap.newKeySet();
    private final Map<String, String> endpointEntries = new LinkedHashMap<>();
    private final Map<String, Integer> ports = new ConcurrentHashMap<>();
    private final Map<String, HttpServer> servers = new ConcurrentHashMap<>();
    private final List<HttpServerResponse> watchResponses = new ArrayList<>();
    private final HttpServer discoveryServer;
    private int version = 1;

    public StubPlatform() throws Exception {
        discoveryServer = vertx.createHttpServer().requestHandler(this::handleWatch);
        awaitResult(discoveryServer.listen(0, "127.0.0.1"));
    }

    public static <T> T awaitResult(Future<T> future) throws Exception {
        return future.toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
    }

    /** Polls until the condition holds. Has no time limit: that of the test ends a wait in vain. */
    public static void waitUntil(BooleanSupplier condition) throws InterruptedException {
        while (!condition.getAsBoolean()) {
            TimeUnit.MILLISECONDS.sleep(5);
        }
    }

    private synchronized void handleWatch(HttpServerRequest request) {
        discoveryRequests.add(request.uri());
        Consumer<HttpServerRequest> override = discoveryOverride;
        if (override != null) {
            override.accept(request);
            return;
        }
        watchResponses.add(request.response().setChunked(true));
        request.response().write(listLine(true, endpointEntries.values()));
    }

    private String listLine(boolean whole, Iterable<String> entries) {
        String line = compactListLine(whole, entries);
        return prettyPrintLists
                ? new com.google.gson.GsonBuilder()
                                .setPrettyPrinting()
                                .create()
                                .toJson(com.google.gson.JsonParser.parseString(line))
                        + "\n"
                : line;
    }

    private String compactListLine(boolean whole, Iterable<String> entries) {
        return "{\"seq\":" + version + ",\"whole\":" + whole + ",\"hosts\":[" + String.join(",", entries) + "]}\n";
    }

    /** Starts an endpoint and announces it as ready. */
    public void addEndpoint(String name) throws Exception {
        HttpServer server = vertx.createHttpServer().requestHandler(request -> handleEndpointRequest(name, request));
        awaitResult(server.listen(0, "127.0.0.1"));
        servers.put(name, server);
        addEndpoint(name, server.actualPort());
    }

    /** Announces a ready endpoint at a port, whatever listens there. */
    public void addEndpoint(String name, int port) {
        ports.put(name, port);
        announceHealth(name, "Ready");
    }

    public void announceHealth(String name, String health) {
        announceHealth(name, health, 0);
    }

    /**
     * Sends the health of an endpoint to all open watches.
     *
     * @param startedAtMillis Unix time of the endpoint's last start; 0 for long ago
     */
    public synchronized void announceHealth(String name, String health, long startedAtMillis) {
        String entry = "{\"host\":\"" + name + "\",\"dial\":\"127.0.0.1:" + ports.get(name)
                + "\",\"site\":\"a\",\"class\":\"std\",\"block\":0,\"health\":\"" + health
                + "\",\"share\":1.0,\"born_ms\":" + startedAtMillis + "}";
        version++;
        endpointEntries.put(name, entry);
        String update = listLine(false, List.of(entry));
        watchResponses.forEach(response -> response.write(update));
    }

    /** Removes an endpoint from the list, without an update to open watches: only a whole list shows it. */
    public synchronized void removeFromDiscovery(String name) {
        version++;
        endpointEntries.remove(name);
    }

    /** Closes an endpoint: its connections end and new ones are refused. Discovery goes on announcing it. */
    public void kill(String name) throws Exception {
        awaitResult(servers.get(name).close());
    }

    /** Restarts the versions of lists: the next change has the first version again. Watches stay open. */
    public synchronized void resetVersions() {
        version = 0;
    }

    /** Resets all watches. */
    public synchronized void resetWatches() {
        watchResponses.forEach(HttpServerResponse::reset);
        watchResponses.clear();
    }

    /** Sends no more updates to the watches that are open now, and leaves them open. */
    public synchronized void muteOpenWatches() {
        watchResponses.clear();
    }

    private void handleEndpointRequest(String name, HttpServerRequest request) {
        if (resetReusedConnections && !usedConnections.add(request.connection())) {
            resetCount.incrementAndGet();
            request.connection().close();
            return;
        }
        if (request.method() == HttpMethod.GET) {
            if (hungEndpoints.contains(name)) {
                return;
            }
            request.response().end("depth=0,concurrent=0,x0=4,x1=4");
            return;
        }
        request.body().onSuccess(body -> {
            String id = request.getHeader("X-Request-Id");
            receivedRequests.add(name + " " + request.method() + " " + request.uri() + " " + id + " "
                    + request.getHeader("Idempotency-Key") + " " + body);
            Consumer<HttpServerRequest> override = requestOverride;
            if (override != null) {
                override.accept(request);
                return;
            }
            if (hungEndpoints.contains(name)) {
                return;
            }
            executionCounts.computeIfAbsent(id, key -> new AtomicInteger()).incrementAndGet();
            int millis = executionMillisOf(body.toString());
            HttpServerResponse response = request.response().setChunked(true);
            response.exceptionHandler(e -> {});
            response.write(responseLine(id, name, "started\"}"));
            runAfter(millis / 2, () -> {
                if (!response.closed()) {
                    response.write(responseLine(id, name, "running\",\"share\":0.5}"));
                    runAfter(millis / 2, () -> {
                        if (!response.closed()) {
                            response.end(responseLine(id, name, "done\",\"result\":\"r-" + id + "\"}"));
                        }
                    });
                }
            });
        });
    }

    /** A body that is a number is the execution time in milliseconds. */
    private int executionMillisOf(String body) {
        return body.matches("[0-9]{1,6}") ? Integer.parseInt(body) : executionMillis;
    }

    private void runAfter(int millis, Runnable task) {
        vertx.setTimer(Math.max(1, millis), timer -> task.run());
    }

    private static String responseLine(String id, String endpoint, String state) {
        return "{\"id\":\"" + id + "\",\"from\":\"" + endpoint + "\",\"state\":\"" + state + "\n";
    }

    private static Map<String, Object> requestClass(String name, String repeat) {
        return Map.of(
                "name",
                name,
                "repeat",
                repeat,
                "aim",
                500_000_000L,
                "deadline",
                5_000_000_000L,
                "worth",
                1,
                "window",
                5_000_000_000L,
                "dedup_scope",
                "zone");
    }

    /** A platform configuration, as maps that can be changed before it is written. */
    public Map<String, Object> config() {
        Map<String, Object> settings = new LinkedHashMap<>(Map.of(
                "rank",
                0,
                "fleet_size",
                2,
                "zone",
                "a",
                "models",
                List.of("std"),
                "classes",
                List.of(
                        requestClass("step-view", "retryable"),
                        requestClass("save-run", "dedup"),
                        requestClass("mark-submit", "fragile")),
                "tenants",
                List.of(Map.of("name", "red", "fraction", 1.0)),
                "report",
                Map.of("source", "on_probe", "names", List.of("depth", "concurrent", "x0", "x1")),
                "ceilings",
                Map.of(
                        "attempts_cap",
                        6,
                        "cancel",
                        true,
                        "peers",
                        true,
                        "probes",
                        true,
                        "retry_after",
                        true,
                        "second_copies",
                        true,
                        "max_retry_after",
                        2_000_000_000L,
                        "connect_timeout",
                        200_000_000L,
                        "conn_idle",
                        5_000_000_000L),
                "rules",
                Map.of(
                        "cold",
                        8_900_000_000L,
                        "cold_share",
                        0.32,
                        "overload_factor",
                        3.0,
                        "drain_grace",
                        3_000_000_000L,
                        "fall",
                        1_000_000_000L)));
        return new LinkedHashMap<>(Map.of(
                "name",
                "n0",
                "listen",
                "127.0.0.1:0",
                "discovery",
                "127.0.0.1:" + discoveryServer.actualPort(),
                "seed",
                "8c1f30d27a5be964",
                "settings",
                settings));
    }

    /** The current endpoint list in discovery's format, as a dispatcher may be given it for its start. */
    public synchronized Object currentEndpointList() {
        return new com.google.gson.Gson().fromJson(listLine(true, endpointEntries.values()), Map.class);
    }

    /** Whether any endpoint is listed. */
    protected synchronized boolean hasEndpoints() {
        return !endpointEntries.isEmpty();
    }

    @Override
    public void close() {
        try {
            awaitResult(vertx.close());
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }
}
