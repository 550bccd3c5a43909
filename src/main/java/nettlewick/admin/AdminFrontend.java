package nettlewick.admin;

import io.vertx.core.AsyncResult;
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
import nettlewick.net.AdminServer;
import nettlewick.net.Operations;
import nettlewick.net.config.DescriptorBudget;

/**
 * Serves the operators' HTTP interface, one request per connection. It has its own event loop and listener, so that
 * client traffic does not delay a response, and holds no state of the dispatcher.
 */
public final class AdminFrontend implements AdminServer {
    /**
     * Maximum number of open connections. Beyond it the oldest is closed, so that idle ones do not exhaust descriptors.
     */
    public static final int MAX_CONNECTIONS = DescriptorBudget.MAX_ADMIN_CONNECTIONS;

    /** A connection is closed this long after it was accepted, even if its request is incomplete. */
    private static final long CONNECTION_TIMEOUT_MILLIS = 4500;

    private static final int MAX_HEADER_BYTES = 4096;
    private static final int MAX_BODY_BYTES = 4096;
    private static final int ACCEPT_BACKLOG = 128;

    private static final int STATUS_OK = 200;
    private static final int STATUS_BAD_REQUEST = 400;
    private static final int STATUS_NOT_FOUND = 404;
    private static final int STATUS_METHOD_NOT_ALLOWED = 405;
    private static final int STATUS_CONFLICT = 409;
    private static final int STATUS_CONTENT_TOO_LARGE = 413;
    private static final int STATUS_INTERNAL_ERROR = 500;
    private static final int STATUS_UNAVAILABLE = 503;

    private static final Pattern ENDPOINT_PATH = Pattern.compile("/-/sim-runners/([^/]+)/(disable|enable)");

    private final Operations operations;
    private final SocketAddress address;
    private final Vertx vertx;
    private final Context eventLoop;
    private final Set<HttpConnection> connections = new LinkedHashSet<>();

    /** Creates a frontend for this address; it accepts no connections before {@link #listen}. */
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

    @Override
    public Future<Integer> listen() {
        HttpServer server = vertx.createHttpServer(new HttpServerOptions()
                .setTcpNoDelay(true)
                .setHttp2ClearTextEnabled(false)
                .setMaxHeaderSize(MAX_HEADER_BYTES)
                .setAcceptBacklog(ACCEPT_BACKLOG));
        server.exceptionHandler(e -> {});
        server.connectionHandler(this::accept);
        server.requestHandler(this::receive);
        return server.listen(address).map(HttpServer::actualPort);
    }

    private void accept(HttpConnection connection) {
        connection.exceptionHandler(e -> {});
        if (connections.size() >= MAX_CONNECTIONS) {
            HttpConnection oldest = connections.iterator().next();
            connections.remove(oldest);
            oldest.close();
        }
        connections.add(connection);
        long timer = vertx.setTimer(CONNECTION_TIMEOUT_MILLIS, id -> connection.close());
        connection.closeHandler(v -> {
            vertx.cancelTimer(timer);
            connections.remove(connection);
        });
    }

    /** Waits for the end of the request: an incomplete one must have no effect. */
    private void receive(HttpServerRequest request) {
        int[] length = new int[1];
        request.exceptionHandler(e -> {});
        request.handler(chunk -> length[0] += chunk.length());
        request.endHandler(v -> {
            if (length[0] > MAX_BODY_BYTES) {
                respond(request, STATUS_CONTENT_TOO_LARGE, "a call needs no body\n");
            } else {
                route(request);
            }
        });
    }

    private void route(HttpServerRequest request) {
        String path = String.valueOf(request.path());
        Matcher endpointPath = ENDPOINT_PATH.matcher(path);
        boolean isEndpointPath = endpointPath.matches();
        HttpMethod expected = expectedMethod(path, isEndpointPath);
        if (expected == null) {
            respond(request, STATUS_NOT_FOUND, "no such call\n");
        } else if (!expected.equals(request.method())) {
            request.response().putHeader("Allow", expected.name());
            respond(request, STATUS_METHOD_NOT_ALLOWED, "this call comes by " + expected + "\n");
        } else if (isEndpointPath) {
            setEndpointDisabled(
                    request, endpointPath.group(1), endpointPath.group(2).equals("disable"));
        } else {
            execute(request, path);
        }
    }

    /** The HTTP method of a path; null for an unknown path. */
    private static HttpMethod expectedMethod(String path, boolean isEndpointPath) {
        return switch (path) {
            case "/-/ready", "/-/metrics" -> HttpMethod.GET;
            case "/-/drain", "/-/resume" -> HttpMethod.POST;
            default -> isEndpointPath ? HttpMethod.POST : null;
        };
    }

    private void execute(HttpServerRequest request, String path) {
        switch (path) {
            case "/-/ready" -> respondYesOr(request, operations.isReady(), STATUS_UNAVAILABLE, "takes no clients\n");
            case "/-/drain" -> respondYesOr(request, operations.startDraining(), STATUS_CONFLICT, "starts or ends\n");
            case "/-/resume" -> respondYesOr(request, operations.stopDraining(), STATUS_CONFLICT, "ends\n");
            default ->
                respond(
                        request,
                        STATUS_OK,
                        MetricsFormatter.format(operations.metrics(), operations.additionalMetrics()));
        }
    }

    private void setEndpointDisabled(HttpServerRequest request, String encodedId, boolean isDisabled) {
        String id;
        try {
            // URLDecoder decodes form data, where a plus sign stands for a space.
            id = URLDecoder.decode(encodedId.replace("+", "%2B"), StandardCharsets.UTF_8);
        } catch (IllegalArgumentException e) {
            respond(request, STATUS_BAD_REQUEST, "the id is not percent-encoded\n");
            return;
        }
        operations
                .setEndpointDisabled(id, isDisabled)
                .onComplete(result -> eventLoop.runOnContext(v -> respondDisabled(request, result)));
    }

    private static void respondDisabled(HttpServerRequest request, AsyncResult<Boolean> isKnown) {
        if (isKnown.failed()) {
            String reason = isKnown.cause().getMessage();
            respond(request, STATUS_INTERNAL_ERROR, "cannot be stored: " + reason + "\n");
        } else {
            respondYesOr(request, isKnown.result(), STATUS_NOT_FOUND, "no such sim runner\n");
        }
    }

    private static void respondYesOr(
            HttpServerRequest request, boolean isSuccessful, int errorStatus, String errorText) {
        respond(request, isSuccessful ? STATUS_OK : errorStatus, isSuccessful ? "yes\n" : errorText);
    }

    private static void respond(HttpServerRequest request, int status, String text) {
        HttpServerResponse response = request.response();
        if (!response.ended() && !response.closed()) {
            response.putHeader("Connection", "close")
                    .putHeader("Content-Type", "text/plain; charset=utf-8")
                    .setStatusCode(status)
                    .end(text)
                    .onComplete(r -> request.connection().close());
        }
    }

    @Override
    public Future<Void> close() {
        return vertx.close();
    }
}
