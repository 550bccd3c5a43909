package nettlewick.net;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import nettlewick.core.Clock;
import nettlewick.core.Core;
import nettlewick.core.Request;

/** The platform's own front: one job, one request, one answer. Lives on the event loop. */
final class PlatformFront {
    private static final String JOBS = "/api";
    private static final int IDLE_SECONDS = 120;
    private static final int BACKLOG = 1024;

    private final Context loop;
    private final Clock clock;
    private final Core core;
    private final RpcReader reader;
    private final BooleanSupplier holdsList;
    private final HttpServer server;
    private boolean draining;

    PlatformFront(Vertx vertx, Context loop, Config config, Clock clock, Core core,
            BooleanSupplier holdsList) {
        this.loop = loop;
        this.clock = clock;
        this.core = core;
        this.holdsList = holdsList;
        reader = new RpcReader(config);
        server = vertx.createHttpServer(new HttpServerOptions().setHost(config.listen().hostAddress())
                .setPort(config.listen().port()).setTcpNoDelay(true).setAcceptBacklog(BACKLOG)
                .setIdleTimeout(IDLE_SECONDS).setHandle100ContinueAutomatically(true));
        server.requestHandler(this::handle);
        server.exceptionHandler(e -> { });
    }

    /** Listens; the port that is held comes back. */
    Future<Integer> listen() {
        return server.listen().map(HttpServer::actualPort);
    }

    /** From now on every answer closes its connection. */
    void drain() {
        draining = true;
    }

    /** Takes nothing new, closes idle connections and waits until all that was taken is answered. */
    Future<Void> shut(long millis) {
        return server.shutdown(millis, TimeUnit.MILLISECONDS);
    }

    private void handle(HttpServerRequest request) {
        String path = request.path();
        if ("/_health".equals(path)) {
            health(request);
        } else if (path == null || !path.equals(JOBS) && !path.startsWith(JOBS + "/")) {
            RpcReader.reject(request, 404, "no such path");
        } else if (!HttpMethod.POST.equals(request.method())) {
            request.response().putHeader("Allow", "POST");
            RpcReader.reject(request, 405, "jobs come by POST");
        } else {
            reader.read(request, clock.now(), draft -> take(request, draft));
        }
    }

    private void health(HttpServerRequest request) {
        if (!HttpMethod.GET.equals(request.method()) && !HttpMethod.HEAD.equals(request.method())) {
            request.response().putHeader("Allow", "GET, HEAD");
            RpcReader.reject(request, 405, "health is asked for by GET");
        } else if (holdsList.getAsBoolean() && !draining) {
            request.response().end();
        } else {
            RpcReader.reject(request, 503, draining ? "draining" : "no list of sim runners yet");
        }
    }

    private void take(HttpServerRequest http, RpcReader.Draft draft) {
        HttpServerResponse response = http.response();
        Request request = draft.with(new Request.Caller() {
            @Override
            public void served(byte[] result) {
                loop.runOnContext(v -> answer(response, 200, Buffer.buffer(result)));
            }

            @Override
            public void refused(double retryAfter) {
                loop.runOnContext(v -> {
                    if (retryAfter > 0 && !response.closed()) {
                        response.putHeader("Retry-After", seconds(retryAfter));
                    }
                    answer(response, 503, Buffer.buffer("unavailable\n"));
                });
            }

            @Override
            public void failed(String reason) {
                loop.runOnContext(v -> answer(response, 502, Buffer.buffer(reason + "\n")));
            }
        });
        response.closeHandler(v -> core.abandon(request));
        core.submit(request);
    }

    static String seconds(double millis) {
        return String.format(Locale.ROOT, "%.3f", millis / 1000);
    }

    private void answer(HttpServerResponse response, int status, Buffer body) {
        if (response.ended() || response.closed()) {
            return;
        }
        if (draining) {
            response.putHeader("Connection", "close");
        }
        response.setStatusCode(status).end(body);
    }
}
