package nettlewick.stubs;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.DoubleSupplier;

/** A sim runner on a socket, by the protocol page: the model behind it decides, the audit sees every job. */
public final class EndpointServer {
    /** Hears of what happens at a runner; called from its event loop. */
    public interface Listener {
        /** An attempt has come whole. */
        void attemptArrived(String id, EndpointModel runner, EndpointModel.Admission how, double now);

        /**
         * An attempt has come whole, with the seconds that it was told.
         *
         * @param how null where it is swallowed
         * @param now the earliest time at which it may have come, where this process was late to read it
         */
        default void deadlineReceived(
                String id, EndpointModel runner, EndpointModel.Admission how, double seconds, double now) {}

        /** A job begins to run. */
        void executionStarted(String id, EndpointModel runner, double now);

        /** It was pushed over while cold, and is down. */
        void endpointOverloaded(EndpointModel runner, double now);
    }

    /** A job that was taken: where its lines go, and its timer once it runs. */
    private static final class Taken {
        final HttpServerResponse response;
        volatile long timer = -1;

        Taken(HttpServerResponse response) {
            this.response = response;
        }
    }

    /** A report as it was some time ago. */
    private record Report(double at, String text) {}

    /** Milliseconds between two words of a job that runs. */
    public static final double PROGRESS_INTERVAL_MILLIS = 1000;

    public final EndpointModel model;
    private final String host;
    private final Vertx vertx;
    private final Listener watch;
    private final DoubleSupplier clock;
    private final Map<String, Taken> taken = new ConcurrentHashMap<>();
    private final Set<HttpConnection> connections = ConcurrentHashMap.newKeySet();
    private HttpServer server;
    private InetSocketAddress address;
    /** Until when it swallows what comes, and until when its reports say that it is empty. */
    public volatile double hungUntil;

    public volatile double reportsIdleUntil;
    private volatile Report report = new Report(Double.NEGATIVE_INFINITY, "");
    private boolean fell;
    /** Made on the event loop that reads the first request; all connections of a server share it. */
    private ReadTimes readTimes;

    /** @param host the loopback address that it listens at, its own; @param clock milliseconds */
    public EndpointServer(String host, EndpointModel model, Vertx vertx, Listener watch, DoubleSupplier clock) {
        this.host = host;
        this.model = model;
        this.vertx = vertx;
        this.watch = watch;
        this.clock = clock;
    }

    /** Listens, at the same address at every start. */
    public InetSocketAddress listen() throws Exception {
        server = vertx.createHttpServer(new HttpServerOptions().setHttp2ClearTextEnabled(false));
        server.connectionHandler(c -> {
            connections.add(c);
            c.closeHandler(v -> connections.remove(c));
            c.exceptionHandler(e -> {});
        });
        server.exceptionHandler(e -> {});
        server.requestHandler(this::serve);
        if (address == null) {
            StubPlatform.awaitResult(server.listen(0, host));
            address = new InetSocketAddress(host, server.actualPort());
        } else {
            StubPlatform.awaitResult(server.listen(address.getPort(), address.getHostString()));
        }
        return address;
    }

    /** The process dies: connections are reset, what ran is lost. */
    public void kill() {
        if (!model.isUp()) {
            return;
        }
        for (String id : model.crash()) {
            Taken t = taken.remove(id);
            if (t != null) {
                vertx.cancelTimer(t.timer);
            }
        }
        server.close();
        connections.forEach(HttpConnection::close);
    }

    /** Starts again, cold. */
    public void start() throws Exception {
        if (!model.isUp()) {
            model.start(clock.getAsDouble());
            fell = false;
            listen();
        }
    }

    private void serve(HttpServerRequest request) {
        double now = clock.getAsDouble();
        request.exceptionHandler(e -> {});
        if (readTimes == null) {
            readTimes = new ReadTimes(now);
            vertx.setPeriodic(ReadTimes.TICK_MILLIS, id -> readTimes.tick(clock.getAsDouble()));
        }
        double readAt = readTimes.earliestArrival(now);
        boolean isHung = now < hungUntil;
        if (request.method() == HttpMethod.GET) {
            if (isHung) {
                return;
            }
            request.response().end(report(now));
            return;
        }
        request.body().onSuccess(body -> {
            if (isHung) {
                tell(request, null, readAt);
            } else {
                take(request, Double.parseDouble(body.toString()), readAt);
            }
        });
    }

    private String report(double now) {
        if (now < reportsIdleUntil) {
            return "depth=0,concurrent=0,x0=" + model.slots + ",x1=" + model.slots;
        }
        if (now - report.at() >= model.config.maxReportAgeMillis()) {
            int free = Math.max(0, model.slots - model.runningCount());
            report = new Report(
                    now,
                    "depth=" + model.queuedCount() + ",concurrent=" + (model.runningCount() + model.queuedCount())
                            + ",x0=" + free + ",x1=" + free);
        }
        return report.text();
    }

    private void take(HttpServerRequest request, double work, double readAt) {
        double now = clock.getAsDouble();
        String id = request.getHeader("X-Request-Id");
        HttpServerResponse response = request.response();
        response.exceptionHandler(e -> {});
        if (now < hungUntil || !model.isUp()) {
            tell(request, null, readAt);
            return;
        }
        List<EndpointModel.StartedRequest> begun = new ArrayList<>();
        String own = id + "@" + System.nanoTime();
        // Danger: a job that begins at once needs its entry before its timer is set.
        taken.put(own, new Taken(response));
        EndpointModel.Admission how = model.offer(own, work, now, begun);
        watch.attemptArrived(id, model, how, now);
        tell(request, how, readAt);
        if (model.isOverloaded() && !fell) {
            fell = true;
            watch.endpointOverloaded(model, now);
            kill();
            return;
        }
        if (how == EndpointModel.Admission.FULL || how == EndpointModel.Admission.DRAINS) {
            taken.remove(own);
            response.setStatusCode(503).putHeader("X-Not-Run", "1").end();
            return;
        }
        response.setChunked(true).writeHead();
        response.closeHandler(v -> gone(own));
        begun.forEach(this::begin);
    }

    private void tell(HttpServerRequest request, EndpointModel.Admission how, double readAt) {
        String deadline = request.getHeader("X-Deadline");
        watch.deadlineReceived(
                request.getHeader("X-Request-Id"),
                model,
                how,
                deadline == null ? Double.NaN : Double.parseDouble(deadline),
                readAt);
    }

    private static String plain(String own) {
        return own.substring(0, own.lastIndexOf('@'));
    }

    private void begin(EndpointModel.StartedRequest b) {
        Taken t = taken.get(b.id());
        if (t == null) {
            return;
        }
        String id = plain(b.id());
        watch.executionStarted(id, model, clock.getAsDouble());
        write(t, id, "started\"}", false);
        proceed(b.id(), t, 0, Math.max(1, b.millis()));
    }

    /** Tells of progress each second, as the settings say, and ends the job when its time is over. */
    private void proceed(String own, Taken t, double done, double millis) {
        double next = Math.min(PROGRESS_INTERVAL_MILLIS, millis - done);
        t.timer = vertx.setTimer(Math.max(1, Math.round(next)), timer -> {
            if (done + next >= millis) {
                finish(own, t);
                return;
            }
            if (clock.getAsDouble() >= hungUntil) {
                write(t, plain(own), "running\",\"share\":" + (float) ((done + next) / millis) + "}", false);
            }
            proceed(own, t, done + next, millis);
        });
    }

    /** Danger: what runs while the runner hangs ends only once that does. */
    private void finish(String own, Taken t) {
        double hung = hungUntil - clock.getAsDouble();
        if (hung > 0) {
            t.timer = vertx.setTimer((long) hung + 1, timer -> finish(own, t));
        } else if (taken.remove(own) != null) {
            next(own);
            write(t, plain(own), "done\",\"result\":\"r-" + plain(own) + "\"}", true);
        }
    }

    private void next(String own) {
        List<EndpointModel.StartedRequest> begun = new ArrayList<>();
        model.finish(own, clock.getAsDouble(), begun);
        begun.forEach(this::begin);
    }

    /** Whoever waited for this job has closed the connection. */
    private void gone(String own) {
        Taken t = model.config.cancelsOnDisconnect() ? taken.remove(own) : null;
        if (t != null) {
            vertx.cancelTimer(t.timer);
            next(own);
        }
    }

    private void write(Taken t, String id, String state, boolean last) {
        if (t.response.closed() || t.response.ended()) {
            return;
        }
        String line = "{\"id\":\"" + id + "\",\"from\":\"" + model.name + "\",\"state\":\"" + state + "\n";
        if (last) {
            t.response.end(line);
        } else {
            t.response.write(line);
        }
    }
}
