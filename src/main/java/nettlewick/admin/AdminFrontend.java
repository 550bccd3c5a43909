package nettlewick.admin;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.file.FileSystemOptions;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.net.SocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The operators' way in: one call a connection. Has an event loop and a listener of its own, so that neither
 * a crowd of clients nor work for them holds an answer up. Holds no state of the dispatcher.
 */
public final class AdminFrontend {
    /** Callers held at once. Danger: silent ones would use up the descriptors; the oldest makes way. */
    public static final int CALLERS_MOST = 24;
    /** Time for one call, from connecting to the close. */
    private static final long CALL_TIMEOUT_MILLIS = 4500;

    private static final int MAX_BODY_BYTES = 4096;
    private static final int STATUS_OK = 200;
    private static final Pattern ENDPOINT_PATH = Pattern.compile("/-/sim-runners/([^/]+)/(disable|enable)");

    private final Operations operations;
    private final SocketAddress address;
    private final Vertx vertx;
    private final Context eventLoop;
    private final Set<HttpConnection> connections = new LinkedHashSet<>();

    public AdminFrontend(SocketAddress address, Operations operations) {
        this.address = address;
        this.operations = operations;
        vertx = Vertx.vertx(new VertxOptions()
                .setEventLoopPoolSize(1)
                .setWorkerPoolSize(1)
                .setInternalBlockingPoolSize(1)
                .setFileSystemOptions(
                        new FileSystemOptions().setFileCachingEnabled(false).setClassPathResolvingEnabled(false)));
        eventLoop = vertx.getOrCreateContext();
    }

    /** Listens; the port that is held comes back. */
    public Future<Integer> listen() {
        HttpServer server = vertx.createHttpServer(new HttpServerOptions()
                .setTcpNoDelay(true)
                .setHttp2ClearTextEnabled(false)
                .setMaxHeaderSize(MAX_BODY_BYTES)
                .setAcceptBacklog(128));
        server.exceptionHandler(e -> {});
        server.connectionHandler(this::accept);
        server.requestHandler(this::read);
        return server.listen(address).map(HttpServer::actualPort);
    }

    private void accept(HttpConnection caller) {
        caller.exceptionHandler(e -> {});
        if (connections.size() >= CALLERS_MOST) {
            HttpConnection oldest = connections.iterator().next();
            connections.remove(oldest);
            oldest.close();
        }
        connections.add(caller);
        long timer = vertx.setTimer(CALL_TIMEOUT_MILLIS, id -> caller.close());
        caller.closeHandler(v -> {
            vertx.cancelTimer(timer);
            connections.remove(caller);
        });
    }

    /** Waits for the call to be whole: half a call must change nothing. */
    private void read(HttpServerRequest request) {
        int[] length = new int[1];
        request.exceptionHandler(e -> {});
        request.handler(part -> length[0] += part.length());
        request.endHandler(v -> {
            if (length[0] > MAX_BODY_BYTES) {
                answer(request, 413, "a call needs no body\n");
            } else {
                route(request);
            }
        });
    }

    private void route(HttpServerRequest request) {
        String path = String.valueOf(request.path());
        Matcher endpoint = ENDPOINT_PATH.matcher(path);
        HttpMethod wanted = switch (path) {
            case "/-/ready", "/-/metrics" -> HttpMethod.GET;
            case "/-/drain", "/-/resume" -> HttpMethod.POST;
            default -> endpoint.matches() ? HttpMethod.POST : null;
        };
        if (wanted == null) {
            answer(request, 404, "no such call\n");
        } else if (!wanted.equals(request.method())) {
            request.response().putHeader("Allow", wanted.name());
            answer(request, 405, "this call comes by " + wanted + "\n");
        } else if (endpoint.matches()) {
            setEndpointDisabled(request, endpoint.group(1), endpoint.group(2).equals("disable"));
        } else {
            switch (path) {
                case "/-/ready" -> answerYesOr(request, operations.ready(), 503, "takes no clients\n");
                case "/-/drain" -> answerYesOr(request, operations.drain(), 409, "starts or ends\n");
                case "/-/resume" -> answerYesOr(request, operations.resume(), 409, "ends\n");
                default -> answer(request, STATUS_OK, MetricsText.format(operations.figures(), operations.more()));
            }
        }
    }

    private void setEndpointDisabled(HttpServerRequest request, String encoded, boolean out) {
        String id;
        try {
            id = URLDecoder.decode(encoded.replace("+", "%2B"), StandardCharsets.UTF_8);
        } catch (IllegalArgumentException e) {
            answer(request, 400, "the id is not percent-encoded\n");
            return;
        }
        operations
                .ban(id, out)
                .onComplete(done -> eventLoop.runOnContext(v -> {
                    if (done.failed()) {
                        answer(request, 500, "cannot be stored: " + done.cause().getMessage() + "\n");
                    } else {
                        answerYesOr(request, done.result(), 404, "no such sim runner\n");
                    }
                }));
    }

    private static void answerYesOr(HttpServerRequest request, boolean yes, int otherwise, String why) {
        answer(request, yes ? STATUS_OK : otherwise, yes ? "yes\n" : why);
    }

    private static void answer(HttpServerRequest request, int status, String text) {
        HttpServerResponse response = request.response();
        if (!response.ended() && !response.closed()) {
            response.putHeader("Connection", "close")
                    .putHeader("Content-Type", "text/plain; charset=utf-8")
                    .setStatusCode(status)
                    .end(text)
                    .onComplete(r -> request.connection().close());
        }
    }

    public Future<Void> close() {
        return vertx.close();
    }
}
