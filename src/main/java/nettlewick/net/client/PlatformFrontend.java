package nettlewick.net.client;

import io.netty.handler.codec.http.HttpResponseStatus;
import io.vertx.core.Context;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.util.Locale;
import java.util.function.BooleanSupplier;
import nettlewick.core.Clock;
import nettlewick.core.Metrics;
import nettlewick.core.Request;
import nettlewick.core.RequestCoordinator;
import nettlewick.core.UsageRecorder;

/**
 * Serves the platform's clients: each HTTP request is one request to schedule, with one response. Runs on
 * the event loop.
 */
public final class PlatformFrontend extends HttpFrontend {
    private static final int SERVICE_UNAVAILABLE = 503;

    private final Context eventLoop;
    private final Clock clock;
    private final RequestCoordinator coordinator;
    private final RequestReader reader;
    private final BooleanSupplier canServe;
    private final TrafficListener trafficListener;

    /** Creates a frontend without a traffic listener. */
    public PlatformFrontend(Environment environment) {
        this(environment, TrafficListener.NONE);
    }

    /** Creates a frontend that reports its traffic to a listener. */
    public PlatformFrontend(Environment environment, TrafficListener trafficListener) {
        super(environment, environment.config().listen(), -1, 0);
        this.trafficListener = trafficListener;
        eventLoop = environment.eventLoop();
        clock = environment.clock();
        coordinator = environment.coordinator();
        canServe = environment.canServe();
        reader = new RequestReader(environment.config());
    }

    @Override
    protected void handle(HttpServerRequest request) {
        String path = request.path();
        if ("/_health".equals(path)) {
            respondToHealthCheck(request);
        } else if (!RequestReader.isRequestPath(path)) {
            RequestReader.reject(request, 404, "no such path");
        } else if (!HttpMethod.POST.equals(request.method())) {
            request.response().putHeader("Allow", "POST");
            RequestReader.reject(request, 405, "jobs come by POST");
        } else {
            reader.read(request, arrivedAt(request), parsed -> submit(request, parsed));
        }
    }

    @Override
    protected void connectionClosed(HttpConnection connection) {
        trafficListener.connectionClosed(connection);
    }

    private void respondToHealthCheck(HttpServerRequest request) {
        if (!HttpMethod.GET.equals(request.method()) && !HttpMethod.HEAD.equals(request.method())) {
            request.response().putHeader("Allow", "GET, HEAD");
            RequestReader.reject(request, 405, "health is asked for by GET");
        } else if (canServe.getAsBoolean() && environment().serviceState().isHealthy()) {
            request.response().end();
        } else {
            RequestReader.reject(
                    request,
                    SERVICE_UNAVAILABLE,
                    environment().serviceState().isHealthy() ? "no list of sim runners yet" : "draining");
        }
    }

    private void submit(HttpServerRequest http, RequestReader.ParsedRequest parsed) {
        HttpServerResponse response = http.response();
        trafficListener.requestReceived(http, parsed.forwarded().body());
        Metrics.RequestTracker tracker = coordinator.metrics().trackRequest(parsed.requestClass());
        Request.Caller caller = new Request.Caller() {
            @Override
            public boolean isPresent() {
                return !response.closed() && isClientConnected(http) && !response.closed();
            }

            @Override
            public void setDeliveryCallback(UsageRecorder.DeliveryCallback callback) {
                eventLoop.runOnContext(v -> tracker.setDeliveryCallback(callback));
            }

            @Override
            public void onServed(byte[] result) {
                eventLoop.runOnContext(v -> respond(http, 200, Buffer.buffer(result), tracker));
            }

            @Override
            public void onRejected(double retryAfter) {
                eventLoop.runOnContext(v -> {
                    if (retryAfter > 0 && !response.closed()) {
                        response.putHeader("Retry-After", formatSeconds(retryAfter));
                    }
                    respond(http, 503, Buffer.buffer("unavailable\n"), tracker);
                });
            }

            @Override
            public void onFailed(String reason) {
                eventLoop.runOnContext(v -> respond(http, 502, Buffer.buffer(reason + "\n"), tracker));
            }
        };
        // Only the id: the response keeps this handler, which would keep the body of an answered request.
        String id = parsed.id();
        response.closeHandler(v -> {
            tracker.markAbandoned();
            coordinator.abandon(id, caller);
        });
        coordinator.submit(parsed.toRequest(caller));
    }

    static String formatSeconds(double millis) {
        return String.format(Locale.ROOT, "%.3f", millis / 1000);
    }

    private void respond(HttpServerRequest http, int status, Buffer body, Metrics.RequestTracker tracker) {
        HttpServerResponse response = http.response();
        if (response.ended() || response.closed()) {
            return;
        }
        if (closesConnections()) {
            response.putHeader("Connection", "close");
        }
        response.setStatusCode(status);
        trafficListener.responseStarting(http, response, body);
        Metrics.RequestEnd end = status == HttpResponseStatus.OK.code()
                ? Metrics.RequestEnd.SERVED
                : status == SERVICE_UNAVAILABLE ? Metrics.RequestEnd.REJECTED : Metrics.RequestEnd.FAILED;
        response.end(body).onSuccess(v -> tracker.markAnswered(end)).onFailure(e -> tracker.markAbandoned());
    }
}
