package nettlewick.net;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.net.SocketAddress;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** A front that listens for HTTP: its connections, how many there may be, and its planned end. */
public abstract class HttpFront implements Front {
    private static final int BACKLOG = 1024;
    private static final int IDLE_SECONDS = 120;
    /** Part of the sockets allowed that may come from clients of one front. */
    private static final double SOCKETS_PART = 0.2;
    private static final long SWEEP = 20;

    protected final Base base;
    private final Vertx vertx;
    private final HttpServer server;
    private final int most;
    /** Requests unanswered on each open connection; the connection used longest ago comes first. */
    private final Map<HttpConnection, Integer> connections = new LinkedHashMap<>();
    private boolean draining;

    /** {@code sendBuffer} bounds what the kernel holds for a slow reader; -1 leaves it to the kernel. */
    protected HttpFront(Base base, SocketAddress listen, int sendBuffer) {
        this.base = base;
        vertx = base.vertx();
        most = (int) (base.config().sockets() * SOCKETS_PART);
        server = vertx.createHttpServer(new HttpServerOptions().setHost(listen.hostAddress())
                .setPort(listen.port()).setTcpNoDelay(true).setAcceptBacklog(BACKLOG)
                .setIdleTimeout(IDLE_SECONDS).setHandle100ContinueAutomatically(true)
                .setSendBufferSize(sendBuffer));
        server.exceptionHandler(e -> { });
        server.connectionHandler(this::opened);
        server.requestHandler(request -> {
            HttpConnection on = request.connection();
            count(on, 1);
            request.response().endHandler(v -> count(on, -1));
            handle(request);
        });
    }

    /** Answers a request, or sees to it that it is answered. */
    protected abstract void handle(HttpServerRequest request);

    /** A connection is closed. */
    protected void closed(HttpConnection connection) {
    }

    private void opened(HttpConnection connection) {
        connections.put(connection, 0);
        connection.closeHandler(v -> {
            connections.remove(connection);
            closed(connection);
        });
        if (connections.size() > most) {
            // An idle connection makes way, never the new one: a request on it counts as taken.
            idle().stream().filter(c -> c != connection).findFirst().ifPresent(HttpConnection::close);
        }
    }

    private void count(HttpConnection connection, int more) {
        Integer before = connections.remove(connection);
        if (before != null) {
            connections.put(connection, before + more);
        }
    }

    private List<HttpConnection> idle() {
        return connections.entrySet().stream().filter(e -> e.getValue() == 0).map(Map.Entry::getKey).toList();
    }

    @Override
    public final Future<Integer> listen() {
        return server.listen().map(HttpServer::actualPort);
    }

    @Override
    public final void drain() {
        draining = true;
    }

    protected final boolean draining() {
        return draining;
    }

    /** Closes connections as they fall idle, and is done when none is left. */
    @Override
    public final Future<Void> shut(long millis) {
        Promise<Void> done = Promise.promise();
        server.shutdown(millis, TimeUnit.MILLISECONDS);
        sweep(done, millis);
        return done.future();
    }

    private void sweep(Promise<Void> done, long left) {
        idle().forEach(HttpConnection::close);
        if (connections.isEmpty() || left <= 0) {
            done.tryComplete();
        } else {
            vertx.setTimer(SWEEP, id -> sweep(done, left - SWEEP));
        }
    }
}
