package nettlewick.net;

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

/** The platform's own front: one job, one request, one answer. Lives on the event loop. */
public final class PlatformFrontend extends HttpFrontend {
    private static final int UNAVAILABLE = 503;

    private final Context loop;
    private final Clock clock;
    private final RequestCoordinator core;
    private final RequestReader reader;
    private final BooleanSupplier holdsList;
    private final TrafficListener tap;

    public PlatformFrontend(Base base) {
        this(base, TrafficListener.NONE);
    }

    public PlatformFrontend(Base base, TrafficListener tap) {
        super(base, base.config().listen(), -1);
        this.tap = tap;
        loop = base.loop();
        clock = base.clock();
        core = base.core();
        holdsList = base.holdsList();
        reader = new RequestReader(base.config());
    }

    @Override
    protected void handle(HttpServerRequest request) {
        String path = request.path();
        if ("/_health".equals(path)) {
            health(request);
        } else if (!RequestReader.isJob(path)) {
            RequestReader.reject(request, 404, "no such path");
        } else if (!HttpMethod.POST.equals(request.method())) {
            request.response().putHeader("Allow", "POST");
            RequestReader.reject(request, 405, "jobs come by POST");
        } else {
            reader.read(request, arrivedAt(request), draft -> take(request, draft));
        }
    }

    @Override
    protected void closed(HttpConnection connection) {
        tap.closed(connection);
    }

    private void health(HttpServerRequest request) {
        if (!HttpMethod.GET.equals(request.method()) && !HttpMethod.HEAD.equals(request.method())) {
            request.response().putHeader("Allow", "GET, HEAD");
            RequestReader.reject(request, 405, "health is asked for by GET");
        } else if (holdsList.getAsBoolean() && base.state().healthy()) {
            request.response().end();
        } else {
            RequestReader.reject(
                    request, UNAVAILABLE, base.state().healthy() ? "no list of sim runners yet" : "draining");
        }
    }

    private void take(HttpServerRequest http, RequestReader.Draft draft) {
        HttpServerResponse response = http.response();
        tap.request(http, draft.rpc().body());
        Metrics.Ticket ticket = core.figures().taken(draft.jobClass());
        Request request = draft.with(new Request.Caller() {
            @Override
            public boolean present() {
                return !response.closed() && connected(http) && !response.closed();
            }

            @Override
            public void receipt(UsageRecorder.Receipt receipt) {
                loop.runOnContext(v -> ticket.owe(receipt));
            }

            @Override
            public void served(byte[] result) {
                loop.runOnContext(v -> answer(http, 200, Buffer.buffer(result), ticket));
            }

            @Override
            public void rejected(double retryAfter) {
                loop.runOnContext(v -> {
                    if (retryAfter > 0 && !response.closed()) {
                        response.putHeader("Retry-After", seconds(retryAfter));
                    }
                    answer(http, 503, Buffer.buffer("unavailable\n"), ticket);
                });
            }

            @Override
            public void failed(String reason) {
                loop.runOnContext(v -> answer(http, 502, Buffer.buffer(reason + "\n"), ticket));
            }
        });
        response.closeHandler(v -> {
            ticket.left();
            core.abandon(request);
        });
        core.submit(request);
    }

    static String seconds(double millis) {
        return String.format(Locale.ROOT, "%.3f", millis / 1000);
    }

    private void answer(HttpServerRequest http, int status, Buffer body, Metrics.Ticket ticket) {
        HttpServerResponse response = http.response();
        if (response.ended() || response.closed()) {
            return;
        }
        if (closing()) {
            response.putHeader("Connection", "close");
        }
        response.setStatusCode(status);
        tap.answer(http, response, body);
        Metrics.End end = status == OutboundRequest.OK
                ? Metrics.End.FULFILLED
                : status == UNAVAILABLE ? Metrics.End.THROTTLED : Metrics.End.FAULTED;
        response.end(body).onSuccess(v -> ticket.answered(end)).onFailure(e -> ticket.left());
    }
}
