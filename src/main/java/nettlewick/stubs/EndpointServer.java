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

/**
 * An endpoint on a socket, written from the protocol page. An {@link EndpointModel} decides on each request; a
 * {@link Listener} is notified of each.
 */
public final class EndpointServer {
    /** Is notified of events at an endpoint, on its event loop. */
    public interface Listener {
        /** An attempt was received completely and the model has decided on it. */
        void attemptArrived(String requestId, EndpointModel endpoint, EndpointModel.Admission admission, double now);

        /**
         * An attempt was received completely.
         *
         * @param admission       null where the attempt gets no answer
         * @param deadlineSeconds the deadline that the attempt carries; NaN for none
         * @param arrivedAt       the earliest time at which it may have arrived, if this process was late to read it
         */
        default void deadlineReceived(
                String requestId,
                EndpointModel endpoint,
                EndpointModel.Admission admission,
                double deadlineSeconds,
                double arrivedAt) {}

        /** The execution of a request starts. */
        void executionStarted(String requestId, EndpointModel endpoint, double now);

        /** The endpoint was overloaded during slow start and is down. */
        void endpointOverloaded(EndpointModel endpoint, double now);
    }

    /** The response to an admitted request, and its timer once the request is executed. */
    private static final class PendingResponse {
        final HttpServerResponse response;
        volatile long timer = -1;

        PendingResponse(HttpServerResponse response) {
            this.response = response;
        }
    }

    /** A load report and the time at which it was made. */
    private record LoadReport(double createdAt, String text) {}

    /** The interval of progress lines of a request that is executed. */
    public static final double PROGRESS_INTERVAL_MILLIS = 1000;

    public final EndpointModel model;
    private final String host;
    private final Vertx vertx;
    private final Listener listener;
    private final DoubleSupplier clock;
    private final Map<String, PendingResponse> pendingResponses = new ConcurrentHashMap<>();
    private final Set<HttpConnection> connections = ConcurrentHashMap.newKeySet();
    private HttpServer server;
    private InetSocketAddress address;
    /** Until this time the endpoint reads requests and load probes and answers none. */
    public volatile double hungUntil;

    /** Until this time load reports state an idle endpoint, whatever its load. */
    public volatile double reportsIdleUntil;

    private volatile LoadReport loadReport = new LoadReport(Double.NEGATIVE_INFINITY, "");
    private boolean overloadReported;
    /** Created on the event loop that reads the first request, which all connections of a server share. */
    private ArrivalTimeEstimator arrivalTimes;

    /**
     * Creates an endpoint that does not listen yet.
     *
     * @param host  the loopback address of this endpoint
     * @param clock tells the time in milliseconds
     */
    public EndpointServer(String host, EndpointModel model, Vertx vertx, Listener listener, DoubleSupplier clock) {
        this.host = host;
        this.model = model;
        this.vertx = vertx;
        this.listener = listener;
        this.clock = clock;
    }

    /** Listens, at the same address after each start. */
    public InetSocketAddress listen() throws Exception {
        server = vertx.createHttpServer(new HttpServerOptions().setHttp2ClearTextEnabled(false));
        server.connectionHandler(connection -> {
            connections.add(connection);
            connection.closeHandler(v -> connections.remove(connection));
            connection.exceptionHandler(e -> {});
        });
        server.exceptionHandler(e -> {});
        server.requestHandler(this::handleRequest);
        if (address == null) {
            StubPlatform.awaitResult(server.listen(0, host));
            address = new InetSocketAddress(host, server.actualPort());
        } else {
            StubPlatform.awaitResult(server.listen(address.getPort(), address.getHostString()));
        }
        return address;
    }

    /** Simulates a crash of the process: its connections end and its requests are lost. */
    public void kill() {
        if (!model.isUp()) {
            return;
        }
        for (String id : model.crash()) {
            PendingResponse pending = pendingResponses.remove(id);
            if (pending != null) {
                vertx.cancelTimer(pending.timer);
            }
        }
        server.close();
        connections.forEach(HttpConnection::close);
    }

    /** Starts the endpoint again, in slow start. */
    public void start() throws Exception {
        if (!model.isUp()) {
            model.start(clock.getAsDouble());
            overloadReported = false;
            listen();
        }
    }

    private void handleRequest(HttpServerRequest request) {
        double now = clock.getAsDouble();
        request.exceptionHandler(e -> {});
        if (arrivalTimes == null) {
            arrivalTimes = new ArrivalTimeEstimator(now);
            vertx.setPeriodic(ArrivalTimeEstimator.TICK_MILLIS, id -> arrivalTimes.tick(clock.getAsDouble()));
        }
        double arrivedAt = arrivalTimes.earliestArrival(now);
        boolean isHung = now < hungUntil;
        if (request.method() == HttpMethod.GET) {
            if (isHung) {
                return;
            }
            request.response().end(loadReport(now));
            return;
        }
        request.body().onSuccess(body -> {
            if (isHung) {
                notifyDeadline(request, null, arrivedAt);
            } else {
                admit(request, Double.parseDouble(body.toString()), arrivedAt);
            }
        });
    }

    private String loadReport(double now) {
        if (now < reportsIdleUntil) {
            return "depth=0,concurrent=0,x0=" + model.slots + ",x1=" + model.slots;
        }
        if (now - loadReport.createdAt() >= model.config.maxReportAgeMillis()) {
            int freeSlots = Math.max(0, model.slots - model.runningCount());
            loadReport = new LoadReport(
                    now,
                    "depth=" + model.queuedCount() + ",concurrent=" + (model.runningCount() + model.queuedCount())
                            + ",x0=" + freeSlots + ",x1=" + freeSlots);
        }
        return loadReport.text();
    }

    private void admit(HttpServerRequest request, double work, double arrivedAt) {
        double now = clock.getAsDouble();
        String id = request.getHeader("X-Request-Id");
        HttpServerResponse response = request.response();
        response.exceptionHandler(e -> {});
        if (now < hungUntil || !model.isUp()) {
            notifyDeadline(request, null, arrivedAt);
            return;
        }
        List<EndpointModel.StartedRequest> started = new ArrayList<>();
        String executionId = id + "@" + System.nanoTime();
        // Added before the offer: a request that starts at once without an entry would never be executed.
        pendingResponses.put(executionId, new PendingResponse(response));
        EndpointModel.Admission admission = model.offer(executionId, work, now, started);
        listener.attemptArrived(id, model, admission, now);
        notifyDeadline(request, admission, arrivedAt);
        if (model.isOverloaded() && !overloadReported) {
            overloadReported = true;
            listener.endpointOverloaded(model, now);
            kill();
            return;
        }
        if (admission == EndpointModel.Admission.FULL || admission == EndpointModel.Admission.DRAINS) {
            pendingResponses.remove(executionId);
            response.setStatusCode(503).putHeader("X-Not-Run", "1").end();
            return;
        }
        response.setChunked(true).writeHead();
        response.closeHandler(v -> clientDisconnected(executionId));
        started.forEach(this::startExecution);
    }

    private void notifyDeadline(HttpServerRequest request, EndpointModel.Admission admission, double arrivedAt) {
        String deadline = request.getHeader("X-Deadline");
        listener.deadlineReceived(
                request.getHeader("X-Request-Id"),
                model,
                admission,
                deadline == null ? Double.NaN : Double.parseDouble(deadline),
                arrivedAt);
    }

    private static String requestId(String executionId) {
        return executionId.substring(0, executionId.lastIndexOf('@'));
    }

    private void startExecution(EndpointModel.StartedRequest started) {
        PendingResponse pending = pendingResponses.get(started.id());
        if (pending == null) {
            return;
        }
        String id = requestId(started.id());
        listener.executionStarted(id, model, clock.getAsDouble());
        writeLine(pending, id, "started\"}", false);
        scheduleProgress(started.id(), pending, 0, Math.max(1, started.millis()));
    }

    /** Sends a progress line at each interval, as the settings state, and finishes the request when it is due. */
    private void scheduleProgress(String executionId, PendingResponse pending, double doneMillis, double totalMillis) {
        double stepMillis = Math.min(PROGRESS_INTERVAL_MILLIS, totalMillis - doneMillis);
        pending.timer = vertx.setTimer(Math.max(1, Math.round(stepMillis)), timer -> {
            if (doneMillis + stepMillis >= totalMillis) {
                finishExecution(executionId, pending);
                return;
            }
            if (clock.getAsDouble() >= hungUntil) {
                writeLine(
                        pending,
                        requestId(executionId),
                        "running\",\"share\":" + (float) ((doneMillis + stepMillis) / totalMillis) + "}",
                        false);
            }
            scheduleProgress(executionId, pending, doneMillis + stepMillis, totalMillis);
        });
    }

    /** Finishes a request; one that is due while the endpoint hangs would otherwise be answered during the hang. */
    private void finishExecution(String executionId, PendingResponse pending) {
        double remainingHangMillis = hungUntil - clock.getAsDouble();
        if (remainingHangMillis > 0) {
            pending.timer =
                    vertx.setTimer((long) remainingHangMillis + 1, timer -> finishExecution(executionId, pending));
        } else if (pendingResponses.remove(executionId) != null) {
            releaseSlot(executionId);
            writeLine(pending, requestId(executionId), "done\",\"result\":\"r-" + requestId(executionId) + "\"}", true);
        }
    }

    private void releaseSlot(String executionId) {
        List<EndpointModel.StartedRequest> started = new ArrayList<>();
        model.finish(executionId, clock.getAsDouble(), started);
        started.forEach(this::startExecution);
    }

    /** The client has closed the connection of this request. */
    private void clientDisconnected(String executionId) {
        PendingResponse pending = model.config.cancelsOnDisconnect() ? pendingResponses.remove(executionId) : null;
        if (pending != null) {
            vertx.cancelTimer(pending.timer);
            releaseSlot(executionId);
        }
    }

    private void writeLine(PendingResponse pending, String id, String state, boolean last) {
        if (pending.response.closed() || pending.response.ended()) {
            return;
        }
        String line = "{\"id\":\"" + id + "\",\"from\":\"" + model.name + "\",\"state\":\"" + state + "\n";
        if (last) {
            pending.response.end(line);
        } else {
            pending.response.write(line);
        }
    }
}
