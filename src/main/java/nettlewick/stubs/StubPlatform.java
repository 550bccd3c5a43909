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
 * Discovery and sim runners on loopback, written from the protocol page: for the demonstration and for tests.
 * Runners count how often each job ran, and can be killed, drained and made to misbehave.
 */
public class StubPlatform implements AutoCloseable {
    public final Vertx vertx = Vertx.vertx();
    /** How often each request id began to run, at any runner. */
    public final Map<String, AtomicInteger> executionCounts = new ConcurrentHashMap<>();

    public final List<String> receivedRequests = new CopyOnWriteArrayList<>();
    public final List<String> discoveryRequests = new CopyOnWriteArrayList<>();
    /** Milliseconds that a job runs. */
    public volatile int executionMillis = 30;
    /** What a runner does with a job in place of running it; null to run it. */
    public volatile Consumer<HttpServerRequest> requestOverride;
    /** Runners that take jobs and probes and answer none. */
    public final Set<String> hungEndpoints = ConcurrentHashMap.newKeySet();
    /** What discovery does with a watch in place of answering it; null to answer. */
    public volatile Consumer<HttpServerRequest> discoveryOverride;
    /** Whether runners reset a connection at its second request, once that has come whole. */
    public volatile boolean resetReusedConnections;
    /** Whether lists come indented, over several lines. */
    public volatile boolean prettyPrintLists;

    public final AtomicInteger resetCount = new AtomicInteger();
    private final Set<HttpConnection> used = ConcurrentHashMap.newKeySet();
    private final Map<String, String> hosts = new LinkedHashMap<>();
    private final Map<String, Integer> ports = new ConcurrentHashMap<>();
    private final Map<String, HttpServer> servers = new ConcurrentHashMap<>();
    private final List<HttpServerResponse> watchers = new ArrayList<>();
    private final HttpServer discovery;
    private int seq = 1;

    public StubPlatform() throws Exception {
        discovery = vertx.createHttpServer().requestHandler(this::watch);
        awaitResult(discovery.listen(0, "127.0.0.1"));
    }

    public static <T> T awaitResult(Future<T> future) throws Exception {
        return future.toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
    }

    /** Waits for what has to come; the test's own time limit ends a wait in vain. */
    public static void waitUntil(BooleanSupplier condition) throws InterruptedException {
        while (!condition.getAsBoolean()) {
            TimeUnit.MILLISECONDS.sleep(5);
        }
    }

    private synchronized void watch(HttpServerRequest request) {
        discoveryRequests.add(request.uri());
        Consumer<HttpServerRequest> other = discoveryOverride;
        if (other != null) {
            other.accept(request);
            return;
        }
        watchers.add(request.response().setChunked(true));
        request.response().write(list(true, hosts.values()));
    }

    private String list(boolean whole, Iterable<String> entries) {
        String line = oneLine(whole, entries);
        return prettyPrintLists
                ? new com.google.gson.GsonBuilder()
                                .setPrettyPrinting()
                                .create()
                                .toJson(com.google.gson.JsonParser.parseString(line))
                        + "\n"
                : line;
    }

    private String oneLine(boolean whole, Iterable<String> entries) {
        return "{\"seq\":" + seq + ",\"whole\":" + whole + ",\"hosts\":[" + String.join(",", entries) + "]}\n";
    }

    /** Starts a sim runner, and has discovery tell of it. */
    public void addEndpoint(String name) throws Exception {
        HttpServer server = vertx.createHttpServer().requestHandler(request -> serve(name, request));
        awaitResult(server.listen(0, "127.0.0.1"));
        servers.put(name, server);
        addEndpoint(name, server.actualPort());
    }

    /** Has discovery tell of a runner at this port, whatever is there. */
    public void addEndpoint(String name, int port) {
        ports.put(name, port);
        announceHealth(name, "Ready");
    }

    public void announceHealth(String name, String health) {
        announceHealth(name, health, 0);
    }

    /** Has discovery tell of a runner that last started then, in Unix milliseconds; 0: long ago. */
    public synchronized void announceHealth(String name, String health, long started) {
        String entry = "{\"host\":\"" + name + "\",\"dial\":\"127.0.0.1:" + ports.get(name)
                + "\",\"site\":\"a\",\"class\":\"std\",\"block\":0,\"health\":\"" + health
                + "\",\"share\":1.0,\"born_ms\":" + started + "}";
        seq++;
        hosts.put(name, entry);
        String line = list(false, List.of(entry));
        watchers.forEach(w -> w.write(line));
    }

    /** Discovery drops the runner from its list; only a whole list shows it. */
    public synchronized void removeFromDiscovery(String name) {
        seq++;
        hosts.remove(name);
    }

    /** The process dies: its connections are reset and new ones refused. Discovery does not know yet. */
    public void kill(String name) throws Exception {
        awaitResult(servers.get(name).close());
    }

    /** Discovery has lost its count: its next change has the first number again. Watches stay open. */
    public synchronized void resetVersions() {
        seq = 0;
    }

    /** All watches break. */
    public synchronized void resetWatches() {
        watchers.forEach(HttpServerResponse::reset);
        watchers.clear();
    }

    /** All open watches say no more, and stay open; those opened from now on do. */
    public synchronized void muteOpenWatches() {
        watchers.clear();
    }

    private void serve(String name, HttpServerRequest request) {
        if (resetReusedConnections && !used.add(request.connection())) {
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
            Consumer<HttpServerRequest> other = requestOverride;
            if (other != null) {
                other.accept(request);
                return;
            }
            if (hungEndpoints.contains(name)) {
                return;
            }
            executionCounts.computeIfAbsent(id, i -> new AtomicInteger()).incrementAndGet();
            int time = timeOf(body.toString());
            HttpServerResponse response = request.response().setChunked(true);
            response.exceptionHandler(e -> {});
            response.write(line(id, name, "started\"}"));
            after(time / 2, () -> {
                if (!response.closed()) {
                    response.write(line(id, name, "running\",\"share\":0.5}"));
                    after(time / 2, () -> {
                        if (!response.closed()) {
                            response.end(line(id, name, "done\",\"result\":\"r-" + id + "\"}"));
                        }
                    });
                }
            });
        });
    }

    /** A body that is a number is the time that the job runs for, in milliseconds. */
    private int timeOf(String body) {
        return body.matches("[0-9]{1,6}") ? Integer.parseInt(body) : executionMillis;
    }

    private void after(int millis, Runnable task) {
        vertx.setTimer(Math.max(1, millis), t -> task.run());
    }

    private static String line(String id, String from, String state) {
        return "{\"id\":\"" + id + "\",\"from\":\"" + from + "\",\"state\":\"" + state + "\n";
    }

    private static Map<String, Object> jobClass(String name, String repeat) {
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

    /** A configuration in the platform's form, as maps to change before it is written. */
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
                        jobClass("step-view", "retryable"),
                        jobClass("save-run", "dedup"),
                        jobClass("mark-submit", "fragile")),
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
                "127.0.0.1:" + discovery.actualPort(),
                "seed",
                "8c1f30d27a5be964",
                "settings",
                settings));
    }

    /** The list as it is, in discovery's form: what a dispatcher may have known before it started. */
    public synchronized Object currentEndpointList() {
        return new com.google.gson.Gson().fromJson(list(true, hosts.values()), Map.class);
    }

    /** Whether any runner was told of. */
    protected synchronized boolean hasEndpoints() {
        return !hosts.isEmpty();
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
