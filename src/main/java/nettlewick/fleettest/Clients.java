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
 * Clients of all zones: each job is asked for when it was meant to be, whatever became of those before, and
 * its time counts from then.
 */
final class Clients {
    private static final int POOL = 400;
    private static final int LOOPS = 4;
    private static final int OK = 200;
    private static final int BUSY = 503;
    private static final int MANY = 429;
    private static final double LONGEST = 3_600_000;

    /** A job on its way: its tries have ids of their own and one key. */
    private static final class Asked {
        final RequestTrace.Arrival arrival;
        final double meant;
        final String key;
        final SplittableRandom random;
        int tries;

        Asked(RequestTrace.Arrival arrival, double meant, long seed) {
            this.arrival = arrival;
            this.meant = meant;
            key = String.format("%016x", seed << 32 | arrival.number());
            random = new SplittableRandom(seed * 31 + arrival.number());
        }
    }

    private final Scenario scenario;
    private final Fleet fleet;
    private final Vertx vertx;
    private final HttpClient client;
    private final InvariantChecker audit;
    private final LoadBalanceStats spread;
    private final DoubleSupplier clock;
    private final Map<String, Integer> ends = new TreeMap<>();
    final Histogram latency = new ConcurrentHistogram((long) LONGEST, 3);
    private volatile double countFrom;
    /** Which jobs are asked for at all. */
    volatile Predicate<RequestTrace.Arrival> asks = a -> true;

    final AtomicInteger open = new AtomicInteger();
    final AtomicInteger served = new AtomicInteger();
    final AtomicInteger refusals = new AtomicInteger();

    Clients(
            Scenario scenario,
            Fleet fleet,
            Vertx vertx,
            InvariantChecker audit,
            LoadBalanceStats spread,
            DoubleSupplier clock) {
        this.scenario = scenario;
        this.fleet = fleet;
        this.vertx = vertx;
        this.audit = audit;
        this.spread = spread;
        this.clock = clock;
        client = vertx.createHttpClient(
                new HttpClientOptions()
                        .setKeepAliveTimeout(1)
                        .setConnectTimeout(1000)
                        .setTcpNoDelay(true),
                new PoolOptions().setHttp1MaxSize(POOL).setEventLoopSize(LOOPS));
    }

    /** Jobs that are meant to be asked for earlier are no figures. */
    void countFrom(double at) {
        countFrom = at;
    }

    /** A client asks now for what it meant to ask for at {@code meant}. */
    void ask(RequestTrace.Arrival arrival, double meant) {
        if (!asks.test(arrival)) {
            return;
        }
        open.incrementAndGet();
        again(new Asked(arrival, meant, scenario.world().seed()));
    }

    private void again(Asked job) {
        double now = clock.getAsDouble();
        double left = job.meant + job.arrival.jobClass().deadline() - now;
        Fleet.DispatcherProcess to = pick(job);
        if (left <= 0) {
            end(job, "unserved");
        } else if (to == null) {
            vertx.setTimer(100, t -> again(job));
        } else {
            job.tries++;
            client.request(new RequestOptions()
                            .setMethod(HttpMethod.POST)
                            .setURI("/api")
                            .setHost(to.listen.getHostString())
                            .setPort(to.listen.getPort()))
                    .onFailure(e -> {
                        // Nobody was there: that was no try.
                        job.tries--;
                        vertx.setTimer(50, t -> again(job));
                    })
                    .onSuccess(request -> send(job, to, request, left));
        }
    }

    /** One of the zone's dispatchers that the front takes for alive. */
    private Fleet.DispatcherProcess pick(Asked job) {
        List<Fleet.DispatcherProcess> zone = new ArrayList<>();
        int zones = scenario.world().zones().size();
        for (Fleet.DispatcherProcess m : fleet.members) {
            if (m.ready && m.number % zones == job.arrival.zone()) {
                zone.add(m);
            }
        }
        if (zone.isEmpty()) {
            return null;
        }
        double uneven = scenario.load().uneven();
        double draw = job.tries == 0 ? job.arrival.choice() : job.random.nextDouble();
        int at = (int) (draw * (zone.size() - 1 + uneven) - (uneven - 1));
        return zone.get(Math.max(0, Math.min(zone.size() - 1, at)));
    }

    private void send(Asked job, Fleet.DispatcherProcess to, HttpClientRequest request, double left) {
        String id = job.key + "-" + job.tries;
        Scenario.JobClass jobClass = job.arrival.jobClass();
        audit.asked(id, job.key, jobClass, to.number, clock.getAsDouble(), job.arrival.member());
        request.putHeader("Host", "backend.local")
                .putHeader("X-Request-Id", id)
                .putHeader("X-Class", jobClass.name())
                .putHeader("X-Tenant", job.arrival.member())
                .putHeader("X-Deadline", String.format(Locale.ROOT, "%.3f", left / 1000))
                .putHeader("X-Cost-Hint", Long.toString(Math.round(job.arrival.work() * 1000)));
        if (jobClass.keyed()) {
            request.putHeader("Idempotency-Key", job.key);
        }
        if (job.tries > 1) {
            request.putHeader("X-Retry", "1");
        }
        AtomicBoolean over = new AtomicBoolean();
        long timer = vertx.setTimer((long) (left + InvariantChecker.SPARE), t -> {
            if (over.compareAndSet(false, true)) {
                audit.answered(id, 0, "none in time", clock.getAsDouble());
                request.reset();
                end(job, "unanswered");
            }
        });
        request.send(Buffer.buffer(Double.toString(job.arrival.work())))
                .compose(response -> response.body().map(body -> response))
                .onComplete(done -> {
                    if (!over.compareAndSet(false, true)) {
                        return;
                    }
                    vertx.cancelTimer(timer);
                    int status = done.succeeded() ? done.result().statusCode() : 0;
                    audit.answered(
                            id,
                            status,
                            done.succeeded() ? "" : String.valueOf(done.cause().getMessage()),
                            clock.getAsDouble());
                    answered(job, status, done.result());
                });
    }

    private void answered(Asked job, int status, HttpClientResponse response) {
        Scenario.JobClass jobClass = job.arrival.jobClass();
        boolean refused = status == BUSY || status == MANY;
        if (status == OK) {
            double took = clock.getAsDouble() - job.meant;
            if (job.meant >= countFrom) {
                latency.recordValue((long) Math.min(LONGEST, took));
            }
            served.incrementAndGet();
            end(job, took <= jobClass.aim() ? "in_time" : "late");
        } else if (refused || status == 0 && jobClass.repeat().equals("retryable")) {
            if (refused && job.meant >= countFrom) {
                refusals.incrementAndGet();
                spread.refused();
            }
            String back = refused && scenario.load().honour() ? response.getHeader("Retry-After") : null;
            after(job, back == null ? 50 + 200 * job.random.nextDouble() : 1000 * Double.parseDouble(back));
        } else {
            end(job, status == 0 ? "broken_off" : "failed");
        }
    }

    private void after(Asked job, double millis) {
        if (job.tries >= scenario.load().tries()) {
            end(job, "unserved");
        } else {
            vertx.setTimer(Math.max(1, Math.round(millis)), t -> again(job));
        }
    }

    private void end(Asked job, String how) {
        if (job.meant >= countFrom) {
            synchronized (ends) {
                ends.merge(how, 1, Integer::sum);
                ends.merge(how + " " + job.arrival.member(), 1, Integer::sum);
            }
        }
        open.decrementAndGet();
    }

    /** How jobs have ended: in_time, late, unserved, failed, broken_off, unanswered; of all and by member. */
    Map<String, Integer> ends() {
        synchronized (ends) {
            return new TreeMap<>(ends);
        }
    }
}
