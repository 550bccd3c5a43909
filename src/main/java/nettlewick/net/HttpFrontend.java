package nettlewick.net;

import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.impl.VertxHttpRequestDecoder;
import io.vertx.core.net.SocketAddress;
import io.vertx.core.net.impl.ConnectionBase;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * A front that listens for HTTP: its connections, how many there may be, how long each may take, and its
 * planned end. A {@link ClientConnection} stands before each connection.
 */
public abstract class HttpFrontend implements Frontend {
    private static final int BACKLOG = 1024;
    private static final int HEAD_MOST = 8 * 1024;
    private static final int LINE_MOST = 4 * 1024;
    /** Bytes of unfinished requests held for all clients of a front together. */
    private static final long HELD_MOST = 4 << 20;
    /** Most bytes read from one client in its turn on the event loop. */
    private static final int READ_MOST = 16 * 1024;

    private static final int READS_A_TURN = 2;
    /** Connections that turn out to hold a request while one that makes way is looked for. */
    private static final int MAKE_WAY_TRIES = 4;

    private static final long SWEEP = 20;
    private static final long LOOK = 100;
    /** How often the event loop shows that it runs, and how late that may be before it counts as held up. */
    private static final long BEAT = 50;

    private static final double LATE = 10;

    protected final Base base;
    private final Vertx vertx;
    private final HttpServerOptions options;
    private final HttpServer server;
    private final int most;
    private final long look;
    private final long beat;
    private final ClientConnection.Budget budget = new ClientConnection.Budget(HELD_MOST);
    private final Map<HttpConnection, ClientConnection> connections = new LinkedHashMap<>();
    private double beatAt;

    /** {@code sendBuffer} bounds what the kernel holds for a slow reader; -1 leaves it to the kernel. */
    protected HttpFrontend(Base base, SocketAddress listen, int sendBuffer) {
        this.base = base;
        vertx = base.vertx();
        most = base.connections();
        // No upgrade to HTTP/2: nobody here speaks it, and each way in would need a guard of its own.
        options = new HttpServerOptions()
                .setHost(listen.hostAddress())
                .setPort(listen.port())
                .setTcpNoDelay(true)
                .setAcceptBacklog(BACKLOG)
                .setHttp2ClearTextEnabled(false)
                .setMaxHeaderSize(HEAD_MOST)
                .setMaxInitialLineLength(LINE_MOST)
                .setSendBufferSize(sendBuffer);
        server = vertx.createHttpServer(options);
        server.exceptionHandler(e -> {});
        server.connectionHandler(this::opened);
        server.requestHandler(this::handle);
        beatAt = base.clock().now();
        beat = vertx.setPeriodic(BEAT, id -> beatAt = base.clock().now());
        look = vertx.setPeriodic(LOOK, id -> {
            double now = base.clock().now();
            boolean closesIdle = base.state().closesIdle(now);
            List.copyOf(connections.values()).forEach(guard -> {
                if (closesIdle) {
                    guard.closeIfQuiet(now);
                }
                guard.sweep(now);
            });
            for (int over = connections.size() - most; over > 0; over--) {
                makeWay(null);
            }
        });
    }

    /** Answers a request, or sees to it that it is answered. */
    protected abstract void handle(HttpServerRequest request);

    /**
     * The earliest time at which what is read now may have come. While the event loop is held up, requests
     * wait unread in their sockets and their clients' time runs: it counts from when the loop last ran.
     */
    private double cameAt() {
        double now = base.clock().now();
        return now - beatAt > BEAT + LATE ? beatAt : now;
    }

    /** When the last byte of a connection's request in work came, in milliseconds on the clock. */
    protected final double arrivedAt(HttpServerRequest request) {
        ClientConnection guard = connections.get(request.connection());
        return guard == null ? base.clock().now() : guard.arrivedAt();
    }

    /** Whether the client of a request in work is still connected, by what its socket says now. */
    protected final boolean connected(HttpServerRequest request) {
        ClientConnection guard = connections.get(request.connection());
        return guard != null && guard.connected();
    }

    /** A connection is closed. */
    protected void closed(HttpConnection connection) {}

    private void opened(HttpConnection connection) {
        Channel channel = ((ConnectionBase) connection).channel();
        ClientConnection guard = new ClientConnection(base.clock(), this::cameAt, budget);
        connections.put(connection, guard);
        connection.exceptionHandler(e -> {});
        connection.closeHandler(v -> {
            connections.remove(connection);
            closed(connection);
        });
        channel.config()
                .setRecvByteBufAllocator(
                        new AdaptiveRecvByteBufAllocator(256, 2048, READ_MOST).maxMessagesPerRead(READS_A_TURN));
        channel.pipeline()
                .replace(VertxHttpRequestDecoder.class, "httpDecoder", new StrictHttpDecoder(options, guard::bytes));
        channel.pipeline().addBefore("handler", "guard", guard);
        if (connections.size() > most) {
            makeWay(guard);
        }
    }

    /**
     * The connection that deserves it least is closed: one that was served nothing, else the one used least.
     * Danger: by age alone a crowd that says nothing would drive the usual clients out.
     */
    private void makeWay(ClientConnection newcomer) {
        for (int tries = 0; tries < MAKE_WAY_TRIES; tries++) {
            ClientConnection least = connections.values().stream()
                    .filter(g -> g != newcomer && g.state().idle())
                    .min(Comparator.comparingInt(g -> g.state().merit()))
                    .orElse(null);
            if (least == null) {
                break;
            }
            if (least.stillIdle()) {
                least.close();
                return;
            }
        }
        if (newcomer != null) {
            newcomer.refuse(503, "too many connections");
        }
    }

    @Override
    public final Future<Integer> listen() {
        return server.listen().map(HttpServer::actualPort);
    }

    /** Whether every answer closes its connection. */
    protected final boolean closing() {
        return base.state().closing();
    }

    @Override
    public final boolean connected() {
        return !connections.isEmpty();
    }

    /** Closes connections as they fall idle, and is done when none is left. */
    @Override
    public final Future<Void> shut(long millis) {
        Promise<Void> done = Promise.promise();
        sweep(done, millis);
        return done.future().onComplete(v -> server.shutdown(0, TimeUnit.MILLISECONDS));
    }

    private void sweep(Promise<Void> done, long left) {
        // Danger: a client that has just had its answer may have sent its next request; that one's answer
        // says that it is the last.
        double now = base.clock().now();
        for (ClientConnection guard : List.copyOf(connections.values())) {
            guard.closeIfQuiet(now);
            if (guard.state().lingered(now)) {
                guard.close();
            }
        }
        if (connections.isEmpty() || left <= 0) {
            vertx.cancelTimer(look);
            vertx.cancelTimer(beat);
            done.tryComplete();
        } else {
            vertx.setTimer(SWEEP, id -> sweep(done, left - SWEEP));
        }
    }
}
