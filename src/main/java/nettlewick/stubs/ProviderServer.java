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

/** The provider on a socket, by docs/pools.md: slow where it is told so, and with faults. */
public final class ProviderServer {
    /** What becomes of calls. */
    public enum Behavior {
        /** Answered. */
        GOOD,
        /** Not even heard. */
        DOWN,
        /** Done, and the answer is lost. */
        LOSES,
        /** 503, with when to come back. */
        BUSY,
        /** 429, without. */
        MANY,
        /** A wish waits until one under a higher fence has been done: it comes as a stale act. */
        KEEPS,
        /** Lists are those from before the last wish. */
        STALE,
        /** Not all that is wanted comes. */
        PARTIAL
    }

    /** Starts and ends the runners themselves. */
    public interface InstanceLauncher {
        void start(Instance runner) throws Exception;

        void stop(Instance runner) throws Exception;
    }

    private final Vertx vertx;
    private final ProviderModel model;
    private final LongSupplier clock;
    private final InstanceLauncher hands;
    private final long comes;
    private final Map<String, String> before = new HashMap<>();
    private final Set<String> ended = ConcurrentHashMap.newKeySet();
    private volatile Behavior behavior = Behavior.GOOD;
    /** What waits, by its fence. */
    private final TreeMap<Long, List<Runnable>> kept = new TreeMap<>();

    public final AtomicInteger callCount = new AtomicInteger();
    public final AtomicInteger lostResponseCount = new AtomicInteger();
    private HttpServer server;

    /** @param clock milliseconds of Unix time; @param comes how long a runner takes to start */
    public ProviderServer(Vertx vertx, ProviderModel model, LongSupplier clock, long comes, InstanceLauncher hands) {
        this.vertx = vertx;
        this.model = model;
        this.clock = clock;
        this.comes = comes;
        this.hands = hands;
    }

    public InetSocketAddress listen() throws Exception {
        server = vertx.createHttpServer().requestHandler(this::serve);
        StubPlatform.awaitResult(server.listen(0, "127.0.0.1"));
        return new InetSocketAddress("127.0.0.1", server.actualPort());
    }

    public void setBehavior(Behavior next) {
        behavior = next;
        if (next != Behavior.KEEPS) {
            release(Long.MAX_VALUE);
        }
    }

    /** The first wishes wait; those under a higher fence than theirs are done at once, and then they. */
    private void keep(long fence, Runnable wish) {
        synchronized (kept) {
            if (kept.isEmpty() || kept.firstKey() >= fence) {
                kept.computeIfAbsent(fence, f -> new ArrayList<>()).add(wish);
                return;
            }
        }
        wish.run();
        release(fence);
    }

    private void release(long below) {
        List<Runnable> wishes = new ArrayList<>();
        synchronized (kept) {
            kept.headMap(below).values().forEach(wishes::addAll);
            kept.headMap(below).clear();
        }
        wishes.forEach(Runnable::run);
    }

    private void serve(HttpServerRequest request) {
        callCount.incrementAndGet();
        request.exceptionHandler(e -> {});
        request.response().exceptionHandler(e -> {});
        String member = request.path().replaceFirst(".*/pools/", "");
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
                        JsonObject wish =
                                JsonParser.parseString(body.toString()).getAsJsonObject();
                        if (behavior == Behavior.KEEPS) {
                            keep(Long.parseLong(request.getHeader("X-Fence")), () -> put(request, member, wish));
                        } else {
                            put(request, member, wish);
                        }
                    } else {
                        tell(
                                request,
                                behavior == Behavior.STALE ? before.getOrDefault(member, list(member)) : list(member));
                    }
                }
            }
        });
    }

    private void put(HttpServerRequest request, String member, JsonObject wish) {
        String old = list(member);
        int version = Integer.parseInt(request.getHeader("If-Match").replace("\"", ""));
        ProviderModel.ResizeResult way = model.resize(
                member,
                wish.get("size").getAsInt(),
                request.getHeader("Idempotency-Key"),
                version,
                Long.parseLong(request.getHeader("X-Fence")),
                Long.parseLong(request.getHeader("X-Not-After")),
                clock.getAsLong());
        if (way == ProviderModel.ResizeResult.FENCED) {
            request.response().setStatusCode(409).end("{\"fence\":" + model.fence(member) + "}");
        } else if (way == ProviderModel.ResizeResult.VERSION_CONFLICT) {
            request.response().setStatusCode(412).end();
        } else {
            before.put(member, old);
            carryOut(member, wish.get("kind").getAsString());
            tell(request, list(member));
        }
    }

    /** Has all started that is wanted, each after its time, and ends what is not. */
    private void carryOut(String member, String kind) {
        for (Instance r : model.allInstances(member)) {
            if (r.endedAt() > 0 && ended.add(r.name())) {
                hand(() -> hands.stop(r));
            }
        }
        int coming =
                model.size(member) - model.runningInstances(member).size() - (behavior == Behavior.PARTIAL ? 1 : 0);
        for (int i = 0; i < coming; i++) {
            vertx.setTimer(Math.max(1, comes + comes * i / 4), t -> {
                Instance r = model.start(member, kind, clock.getAsLong());
                if (r != null) {
                    hand(() -> hands.start(r));
                }
            });
        }
    }

    private interface Act {
        void act() throws Exception;
    }

    private void hand(Act act) {
        vertx.executeBlocking(() -> {
            act.act();
            return null;
        });
    }

    private void tell(HttpServerRequest request, String list) {
        if (behavior == Behavior.LOSES) {
            lostResponseCount.incrementAndGet();
            request.connection().close();
            return;
        }
        HttpServerResponse response = request.response();
        String version =
                JsonParser.parseString(list).getAsJsonObject().get("version").getAsString();
        response.putHeader("ETag", '"' + version + '"')
                .putHeader(
                        "Date",
                        DateTimeFormatter.RFC_1123_DATE_TIME.format(
                                Instant.ofEpochMilli(clock.getAsLong()).atOffset(ZoneOffset.UTC)))
                .end(list);
    }

    private String list(String member) {
        List<Map<String, Object>> runners = new ArrayList<>();
        for (Instance r : model.allInstances(member)) {
            runners.add(Map.of(
                    "name",
                    r.name(),
                    "kind",
                    r.kind(),
                    "zone",
                    r.zone(),
                    "since_ms",
                    r.startedAt(),
                    "until_ms",
                    r.endedAt(),
                    "cents_per_hour",
                    model.centsPerHour(),
                    "least_ms",
                    model.minBilledMillis()));
        }
        Map<String, Object> pool = new LinkedHashMap<>();
        pool.put("size", model.size(member));
        pool.put("version", model.version(member));
        pool.put("runners", runners);
        return new Gson().toJson(pool);
    }
}
