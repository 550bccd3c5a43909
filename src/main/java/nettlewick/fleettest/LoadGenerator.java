package nettlewick.fleettest;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.DoubleSupplier;
import java.util.function.Predicate;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/**
 * Simulates the clients of all zones. Each request is sent at its planned time, regardless of earlier ones, and its
 * latency counts from that time.
 */
final class LoadGenerator {
    private static final int MAX_CONNECTIONS_PER_HOST = 400;
    private static final int EVENT_LOOPS = 4;
    private static final int STATUS_OK = 200;
    private static final int STATUS_UNAVAILABLE = 503;
    private static final int STATUS_TOO_MANY = 429;
    private static final double MAX_LATENCY_MILLIS = 3_600_000;

    /** A request without an outcome yet. Each send has its own request id; all share one idempotency key. */
    private static final class OpenRequest {
        final RequestTrace.PlannedRequest planned;
        final double scheduledAt;
        final String key;
        final SplittableRandom random;
        int sends;

        OpenRequest(RequestTrace.PlannedRequest planned, double scheduledAt, long seed) {
            this.planned = planned;
            this.scheduledAt = scheduledAt;
            key = String.format("%016x", seed << 32 | planned.number());
            random = new SplittableRandom(seed * 31 + planned.number());
        }
    }

    private final Scenario scenario;
    private final Fleet fleet;
    private final Vertx vertx;
    private final HttpClient client;
    private final InvariantChecker checker;
    private final LoadBalanceStats loadStats;
    private final DoubleSupplier clock;
    private final Map<String, Integer> outcomes = new TreeMap<>();
    final Histogram latency = new ConcurrentHistogram((long) MAX_LATENCY_MILLIS, 3);
    private volatile double measureFrom;
    /** Selects the planned requests that are sent at all. */
    volatile Predicate<RequestTrace.PlannedRequest> requestFilter = a -> true;

    final AtomicInteger openRequests = new AtomicInteger();
    final AtomicInteger served = new AtomicInteger();
    final AtomicInteger rejections = new AtomicInteger();

    LoadGenerator(
            Scenario scenario,
            Fleet fleet,
            Vertx vertx,
            InvariantChecker checker,
            LoadBalanceStats loadStats,
            DoubleSupplier clock) {
        this.scenario = scenario;
        this.fleet = fleet;
        this.vertx = vertx;
        this.checker = checker;
        this.loadStats = loadStats;
        this.clock = clock;
        client = vertx.createHttpClient(
                new HttpClientOptions()
                        .setKeepAliveTimeout(1)
                        .setConnectTimeout(1000)
                        .setTcpNoDelay(true),
                new PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS_PER_HOST).setEventLoopSize(EVENT_LOOPS));
    }

    /** Sets the time before which planned requests do not count in the figures. */
    void measureFrom(double at) {
        measureFrom = at;
    }

    /** Sends a request that was planned for {@code scheduledAt}. */
    void submit(RequestTrace.PlannedRequest planned, double scheduledAt) {
        if (!requestFilter.test(planned)) {
            return;
        }
        openRequests.incrementAndGet();
        sendNow(new OpenRequest(planned, scheduledAt, scenario.fleet().seed()));
    }

    private void sendNow(OpenRequest request) {
        double now = clock.getAsDouble();
        double remainingMillis =
                request.scheduledAt + request.planned.requestClass().deadlineMillis() - now;
        Fleet.DispatcherProcess dispatcher = pickDispatcher(request);
        if (remainingMillis <= 0) {
            finish(request, "unserved");
        } else if (dispatcher == null) {
            vertx.setTimer(100, t -> sendNow(request));
        } else {
            request.sends++;
            client.request(new RequestOptions()
                            .setMethod(HttpMethod.POST)
                            .setURI("/api")
                            .setHost(dispatcher.listenAddress.getHostString())
                            .setPort(dispatcher.listenAddress.getPort()))
                    .onFailure(e -> {
                        // No connection was established, so this does not count as a send.
                        request.sends--;
                        vertx.setTimer(50, t -> sendNow(request));
                    })
                    .onSuccess(httpRequest -> send(request, dispatcher, httpRequest, remainingMillis));
        }
    }

    /**
     * Picks one of the zone's dispatchers that the clients' load balancer considers available; null if there is none.
     */
    private Fleet.DispatcherProcess pickDispatcher(OpenRequest request) {
        List<Fleet.DispatcherProcess> candidates = new ArrayList<>();
        int zones = scenario.fleet().zones().size();
        for (Fleet.DispatcherProcess process : fleet.dispatchers) {
            if (process.ready && process.number % zones == request.planned.zone()) {
                candidates.add(process);
            }
        }
        if (candidates.isEmpty()) {
            return null;
        }
        double skew = scenario.load().skew();
        double draw = request.sends == 0 ? request.planned.choice() : request.random.nextDouble();
        int index = (int) (draw * (candidates.size() - 1 + skew) - (skew - 1));
        return candidates.get(Math.max(0, Math.min(candidates.size() - 1, index)));
    }

    private void send(
            OpenRequest openRequest,
            Fleet.DispatcherProcess dispatcher,
            HttpClientRequest request,
            double remainingMillis) {
        String id = openRequest.key + "-" + openRequest.sends;
        Scenario.RequestClass requestClass = openRequest.planned.requestClass();
        checker.requestSent(
                id,
                openRequest.key,
                requestClass,
                dispatcher.number,
                clock.getAsDouble(),
                openRequest.planned.tenant());
        request.putHeader("Host", "backend.local")
                .putHeader("X-Request-Id", id)
                .putHeader("X-Class", requestClass.name())
                .putHeader("X-Tenant", openRequest.planned.tenant())
                .putHeader("X-Deadline", String.format(Locale.ROOT, "%.3f", remainingMillis / 1000))
                .putHeader("X-Cost-Hint", Long.toString(Math.round(openRequest.planned.workMillis() * 1000)));
        if (requestClass.isKeyed()) {
            request.putHeader("Idempotency-Key", openRequest.key);
        }
        if (openRequest.sends > 1) {
            request.putHeader("X-Retry", "1");
        }
        AtomicBoolean isFinished = new AtomicBoolean();
        long timer = vertx.setTimer((long) (remainingMillis + InvariantChecker.ANSWER_TOLERANCE_MILLIS), t -> {
            if (isFinished.compareAndSet(false, true)) {
                checker.answered(id, 0, "none in time", clock.getAsDouble());
                request.reset();
                finish(openRequest, "unanswered");
            }
        });
        request.send(Buffer.buffer(Double.toString(openRequest.planned.workMillis())))
                .compose(response -> response.body().map(body -> response))
                .onComplete(done -> {
                    if (!isFinished.compareAndSet(false, true)) {
                        return;
                    }
                    vertx.cancelTimer(timer);
                    int status = done.succeeded() ? done.result().statusCode() : 0;
                    checker.answered(
                            id,
                            status,
                            done.succeeded() ? "" : String.valueOf(done.cause().getMessage()),
                            clock.getAsDouble());
                    answered(openRequest, status, done.result());
                });
    }

    private void answered(OpenRequest request, int status, HttpClientResponse response) {
        Scenario.RequestClass requestClass = request.planned.requestClass();
        boolean isRejected = status == STATUS_UNAVAILABLE || status == STATUS_TOO_MANY;
        if (status == STATUS_OK) {
            double latencyMillis = clock.getAsDouble() - request.scheduledAt;
            if (request.scheduledAt >= measureFrom) {
                latency.recordValue((long) Math.min(MAX_LATENCY_MILLIS, latencyMillis));
            }
            served.incrementAndGet();
            finish(request, latencyMillis <= requestClass.latencyObjectiveMillis() ? "in_time" : "late");
        } else if (isRejected || status == 0 && requestClass.idempotency().equals("retryable")) {
            if (isRejected && request.scheduledAt >= measureFrom) {
                rejections.incrementAndGet();
                loadStats.rejected();
            }
            String retryAfterSeconds =
                    isRejected && scenario.load().honoursRetryAfter() ? response.getHeader("Retry-After") : null;
            retryAfter(
                    request,
                    retryAfterSeconds == null
                            ? 50 + 200 * request.random.nextDouble()
                            : 1000 * Double.parseDouble(retryAfterSeconds));
        } else {
            finish(request, status == 0 ? "broken_off" : "failed");
        }
    }

    private void retryAfter(OpenRequest request, double millis) {
        if (request.sends >= scenario.load().maxSends()) {
            finish(request, "unserved");
        } else {
            vertx.setTimer(Math.max(1, Math.round(millis)), t -> sendNow(request));
        }
    }

    private void finish(OpenRequest request, String outcome) {
        if (request.scheduledAt >= measureFrom) {
            synchronized (outcomes) {
                outcomes.merge(outcome, 1, Integer::sum);
                outcomes.merge(outcome + " " + request.planned.tenant(), 1, Integer::sum);
            }
        }
        openRequests.decrementAndGet();
    }

    /**
     * Returns the number of requests by outcome (in_time, late, unserved, failed, broken_off, unanswered), in total
     * and by tenant.
     */
    Map<String, Integer> outcomes() {
        synchronized (outcomes) {
            return new TreeMap<>(outcomes);
        }
    }
}
