package nettlewick.stubs;

import com.google.gson.Gson;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.net.InetSocketAddress;
import java.time.Instant;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.LongSupplier;
import nettlewick.stubs.ProviderModel.Instance;

/** The provider of endpoints on a socket, as docs/pools.md describes it, with start times and injected faults. */
public final class ProviderServer {
    /** How calls are handled. */
    public enum Behavior {
        /** Applied and answered. */
        GOOD,
        /** The connection is closed and the call ignored. */
        DOWN,
        /** The call is applied and the connection closed without a response. */
        LOSES,
        /** Status 503 with Retry-After. */
        BUSY,
        /** Status 429 without Retry-After. */
        MANY,
        /** A resize is delayed until one with a higher fence is applied, and then arrives with a stale fence. */
        KEEPS,
        /** Reads return the list from before the last resize. */
        STALE,
        /** One instance fewer is started than requested. */
        PARTIAL
    }

    /** Starts and stops the endpoint processes of instances. */
    public interface InstanceLauncher {
        void start(Instance instance) throws Exception;

        void stop(Instance instance) throws Exception;
    }

    private final Vertx vertx;
    private final ProviderModel model;
    private final LongSupplier clock;
    private final InstanceLauncher launcher;
    private final long startMillis;
    private final Map<String, String> previousLists = new HashMap<>();
    private final Set<String> stoppedInstances = ConcurrentHashMap.newKeySet();
    private volatile Behavior behavior = Behavior.GOOD;
    /** Delayed resizes by fence. */
    private final TreeMap<Long, List<Runnable>> delayedRequests = new TreeMap<>();

    public final AtomicInteger callCount = new AtomicInteger();
    public final AtomicInteger lostResponseCount = new AtomicInteger();
    private HttpServer server;

    /**
     * Creates a provider that does not listen yet.
     *
     * @param clock       Unix time in milliseconds
     * @param startMillis how long an instance takes to start
     */
    public ProviderServer(
            Vertx vertx, ProviderModel model, LongSupplier clock, long startMillis, InstanceLauncher launcher) {
        this.vertx = vertx;
        this.model = model;
        this.clock = clock;
        this.startMillis = startMillis;
        this.launcher = launcher;
    }

    public InetSocketAddress listen() throws Exception {
        server = vertx.createHttpServer().requestHandler(this::handleRequest);
        StubPlatform.awaitResult(server.listen(0, "127.0.0.1"));
        return new InetSocketAddress("127.0.0.1", server.actualPort());
    }

    public void setBehavior(Behavior newBehavior) {
        behavior = newBehavior;
        if (newBehavior != Behavior.KEEPS) {
            runDelayedRequests(Long.MAX_VALUE);
        }
    }

    /** Delays resizes of the lowest fence; runs one of a higher fence at once, and the delayed ones after it. */
    private void delayUntilHigherFence(long fence, Runnable resize) {
        synchronized (delayedRequests) {
            if (delayedRequests.isEmpty() || delayedRequests.firstKey() >= fence) {
                delayedRequests.computeIfAbsent(fence, f -> new ArrayList<>()).add(resize);
                return;
            }
        }
        resize.run();
        runDelayedRequests(fence);
    }

    private void runDelayedRequests(long belowFence) {
        List<Runnable> due = new ArrayList<>();
        synchronized (delayedRequests) {
            delayedRequests.headMap(belowFence).values().forEach(due::addAll);
            delayedRequests.headMap(belowFence).clear();
        }
        due.forEach(Runnable::run);
    }

    private void handleRequest(HttpServerRequest request) {
        callCount.incrementAndGet();
        request.exceptionHandler(e -> {});
        request.response().exceptionHandler(e -> {});
        String tenant = request.path().replaceFirst(".*/pools/", "");
        request.body().onSuccess(body -> {
            switch (behavior) {
                case DOWN -> request.connection().close();
                case BUSY ->
                    request.response()
                            .setStatusCode(503)
                            .putHeader("Retry-After", "1")
                            .end();
                case MANY -> request.response().setStatusCode(429).end();
                default -> {
                    if (request.method() == HttpMethod.PUT) {
                        JsonObject resize =
                                JsonParser.parseString(body.toString()).getAsJsonObject();
                        if (behavior == Behavior.KEEPS) {
                            delayUntilHigherFence(
                                    Long.parseLong(request.getHeader("X-Fence")),
                                    () -> handlePut(request, tenant, resize));
                        } else {
                            handlePut(request, tenant, resize);
                        }
                    } else {
                        respond(
                                request,
                                behavior == Behavior.STALE
                                        ? previousLists.getOrDefault(tenant, poolJson(tenant))
                                        : poolJson(tenant));
                    }
                }
            }
        });
    }

    private void handlePut(HttpServerRequest request, String tenant, JsonObject resize) {
        String previousList = poolJson(tenant);
        int version = Integer.parseInt(request.getHeader("If-Match").replace("\"", ""));
        ProviderModel.ResizeResult result = model.resize(
                tenant,
                resize.get("size").getAsInt(),
                request.getHeader("Idempotency-Key"),
                version,
                Long.parseLong(request.getHeader("X-Fence")),
                Long.parseLong(request.getHeader("X-Not-After")),
                clock.getAsLong());
        if (result == ProviderModel.ResizeResult.FENCED) {
            request.response().setStatusCode(409).end("{\"fence\":" + model.fence(tenant) + "}");
        } else if (result == ProviderModel.ResizeResult.VERSION_CONFLICT) {
            request.response().setStatusCode(412).end();
        } else {
            previousLists.put(tenant, previousList);
            startAndStopInstances(tenant, resize.get("kind").getAsString());
            respond(request, poolJson(tenant));
        }
    }

    /** Stops the instances that the model has ended, and schedules the start of those that are missing. */
    private void startAndStopInstances(String tenant, String kind) {
        for (Instance instance : model.allInstances(tenant)) {
            if (instance.endedAt() > 0 && stoppedInstances.add(instance.name())) {
                executeBlocking(() -> launcher.stop(instance));
            }
        }
        int missing =
                model.size(tenant) - model.runningInstances(tenant).size() - (behavior == Behavior.PARTIAL ? 1 : 0);
        for (int i = 0; i < missing; i++) {
            vertx.setTimer(Math.max(1, startMillis + startMillis * i / 4), timer -> {
                Instance instance = model.start(tenant, kind, clock.getAsLong());
                if (instance != null) {
                    executeBlocking(() -> launcher.start(instance));
                }
            });
        }
    }

    private interface BlockingTask {
        void run() throws Exception;
    }

    private void executeBlocking(BlockingTask task) {
        vertx.executeBlocking(() -> {
            task.run();
            return null;
        });
    }

    private void respond(HttpServerRequest request, String json) {
        if (behavior == Behavior.LOSES) {
            lostResponseCount.incrementAndGet();
            request.connection().close();
            return;
        }
        HttpServerResponse response = request.response();
        String version =
                JsonParser.parseString(json).getAsJsonObject().get("version").getAsString();
        response.putHeader("ETag", '"' + version + '"')
                .putHeader(
                        "Date",
                        DateTimeFormatter.RFC_1123_DATE_TIME.format(
                                Instant.ofEpochMilli(clock.getAsLong()).atOffset(ZoneOffset.UTC)))
                .end(json);
    }

    private String poolJson(String tenant) {
        List<Map<String, Object>> instances = new ArrayList<>();
        for (Instance instance : model.allInstances(tenant)) {
            instances.add(Map.of(
                    "name",
                    instance.name(),
                    "kind",
                    instance.kind(),
                    "zone",
                    instance.zone(),
                    "since_ms",
                    instance.startedAt(),
                    "until_ms",
                    instance.endedAt(),
                    "cents_per_hour",
                    model.centsPerHour(),
                    "least_ms",
                    model.minBilledMillis()));
        }
        Map<String, Object> pool = new LinkedHashMap<>();
        pool.put("size", model.size(tenant));
        pool.put("version", model.version(tenant));
        pool.put("runners", instances);
        return new Gson().toJson(pool);
    }
}
