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
 * Serves the platform's clients: each HTTP request is one request to schedule, with one response. Lives on
 * the event loop.
 */
public final class PlatformFrontend extends HttpFrontend {
    private static final int SERVICE_UNAVAILABLE = 503;

    private final Context eventLoop;
    private final Clock clock;
    private final RequestCoordinator coordinator;
    private final RequestReader reader;
    private final BooleanSupplier hasEndpointList;
    private final TrafficListener trafficListener;

    /** Creates a frontend whose traffic nobody observes. */
    public PlatformFrontend(Base environment) {
        this(environment, TrafficListener.NONE);
    }

    /** Creates a frontend that shows its traffic to a listener. */
    public PlatformFrontend(Base environment, TrafficListener trafficListener) {
        super(environment, environment.config().listen(), -1);
        this.trafficListener = trafficListener;
        eventLoop = environment.loop();
        clock = environment.clock();
        coordinator = environment.core();
        hasEndpointList = environment.holdsList();
        reader = new RequestReader(environment.config());
    }

    @Override
    protected void handle(HttpServerRequest request) {
        String path = request.path();
        if ("/_health".equals(path)) {
            respondToHealthCheck(request);
        } else if (!RequestReader.isJob(path)) {
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
        trafficListener.closed(connection);
    }

    private void respondToHealthCheck(HttpServerRequest request) {
        if (!HttpMethod.GET.equals(request.method()) && !HttpMethod.HEAD.equals(request.method())) {
            request.response().putHeader("Allow", "GET, HEAD");
            RequestReader.reject(request, 405, "health is asked for by GET");
        } else if (hasEndpointList.getAsBoolean() && base.state().isHealthy()) {
            request.response().end();
        } else {
            RequestReader.reject(
                    request, SERVICE_UNAVAILABLE, base.state().isHealthy() ? "no list of sim runners yet" : "draining");
        }
    }

    private void submit(HttpServerRequest http, RequestReader.Draft parsed) {
        HttpServerResponse response = http.response();
        trafficListener.request(http, parsed.forwarded().body());
        Metrics.Ticket ticket = coordinator.figures().taken(parsed.jobClass());
        Request request = parsed.with(new Request.Caller() {
            @Override
            public boolean present() {
                return !response.closed() && isClientConnected(http) && !response.closed();
            }

            @Override
            public void receipt(UsageRecorder.Receipt receipt) {
                eventLoop.runOnContext(v -> ticket.owe(receipt));
            }

            @Override
            public void served(byte[] result) {
                eventLoop.runOnContext(v -> respond(http, 200, Buffer.buffer(result), ticket));
            }

            @Override
            public void rejected(double retryAfter) {
                eventLoop.runOnContext(v -> {
                    if (retryAfter > 0 && !response.closed()) {
                        response.putHeader("Retry-After", formatSeconds(retryAfter));
                    }
                    respond(http, 503, Buffer.buffer("unavailable\n"), ticket);
                });
            }

            @Override
            public void failed(String reason) {
                eventLoop.runOnContext(v -> respond(http, 502, Buffer.buffer(reason + "\n"), ticket));
            }
        });
        response.closeHandler(v -> {
            ticket.left();
            coordinator.abandon(request);
        });
        coordinator.submit(request);
    }

    static String formatSeconds(double millis) {
        return String.format(Locale.ROOT, "%.3f", millis / 1000);
    }

    private void respond(HttpServerRequest http, int status, Buffer body, Metrics.Ticket ticket) {
        HttpServerResponse response = http.response();
        if (response.ended() || response.closed()) {
            return;
        }
        if (closesConnections()) {
            response.putHeader("Connection", "close");
        }
        response.setStatusCode(status);
        trafficListener.answer(http, response, body);
        Metrics.End end = status == HttpResponseStatus.OK.code()
                ? Metrics.End.FULFILLED
                : status == SERVICE_UNAVAILABLE ? Metrics.End.THROTTLED : Metrics.End.FAULTED;
        response.end(body).onSuccess(v -> ticket.answered(end)).onFailure(e -> ticket.left());
    }
}
