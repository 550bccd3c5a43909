package nettlewick.net.client;

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
 * Base of the frontends that listen for HTTP: limits connections, evicts idle ones, ends those that are
 * overdue, and closes them all at shutdown. A {@link ClientConnection} handles each connection.
 */
public abstract class HttpFrontend implements Frontend {
    private static final int ACCEPT_BACKLOG = 1024;
    private static final int MAX_HEADER_BYTES = 8 * 1024;
    private static final int MAX_LINE_BYTES = 4 * 1024;
    /** The requests of all clients of a frontend use one part in this many of the heap. */
    private static final long HEAP_DIVISOR = 3;
    /** Most bytes read from one client in an iteration of the event loop. */
    private static final int MAX_READ_BYTES = 16 * 1024;

    private static final int READS_PER_ITERATION = 2;
    /** Maximum number of connections examined to find one to evict; one that turns out to hold a request is skipped. */
    private static final int MAX_EVICTION_ATTEMPTS = 4;

    private static final long CLOSE_SWEEP_MILLIS = 20;
    private static final long CONNECTION_CHECK_MILLIS = 100;
    private final Environment environment;
    private final Vertx vertx;
    private final HttpServerOptions options;
    private final HttpServer server;
    private final int maxConnections;
    private final OutputTimeouts outputTimeouts;
    private final long connectionCheckTimer;
    private final long tickTimer;
    private final EventLoopTicks ticks;
    private final RequestByteBudget budget =
            new RequestByteBudget(Runtime.getRuntime().maxMemory() / HEAP_DIVISOR);
    private final Map<HttpConnection, ClientConnection> connections = new LinkedHashMap<>();

    /**
     * Creates the frontend; it does not listen yet.
     *
     * @param sendBuffer    bytes that the kernel holds for a slow reader; -1 for the kernel's default
     * @param minReadMillis a client has at least this long to read a response to its end; 0 for the standard timeouts
     */
    protected HttpFrontend(Environment environment, SocketAddress listen, int sendBuffer, double minReadMillis) {
        this.environment = environment;
        outputTimeouts = OutputTimeouts.STANDARD.extendedTo(minReadMillis);
        vertx = environment.vertx();
        maxConnections = environment.maxConnections();
        // No upgrade to HTTP/2: no client uses it, and it would need validation of its own.
        options = new HttpServerOptions()
                .setHost(listen.hostAddress())
                .setPort(listen.port())
                .setTcpNoDelay(true)
                .setAcceptBacklog(ACCEPT_BACKLOG)
                .setHttp2ClearTextEnabled(false)
                .setMaxHeaderSize(MAX_HEADER_BYTES)
                .setMaxInitialLineLength(MAX_LINE_BYTES)
                .setSendBufferSize(sendBuffer);
        server = vertx.createHttpServer(options);
        server.exceptionHandler(e -> {});
        server.connectionHandler(this::connectionOpened);
        server.requestHandler(this::handle);
        ticks = new EventLoopTicks(environment.clock().nowMillis());
        tickTimer = vertx.setPeriodic(
                EventLoopTicks.INTERVAL_MILLIS,
                id -> ticks.tick(environment.clock().nowMillis()));
        connectionCheckTimer = vertx.setPeriodic(CONNECTION_CHECK_MILLIS, id -> {
            double now = environment.clock().nowMillis();
            boolean closesIdle = environment.serviceState().closesIdleConnections(now);
            List.copyOf(connections.values()).forEach(client -> {
                if (closesIdle) {
                    client.closeIfQuiet(now);
                }
                client.closeIfOverdue(now);
            });
            for (int excess = connections.size() - maxConnections; excess > 0; excess--) {
                evictFor(null);
            }
        });
    }

    /** The parts of the dispatcher that frontends work with. */
    protected final Environment environment() {
        return environment;
    }

    /** Answers a request, now or later; called on the event loop. */
    protected abstract void handle(HttpServerRequest request);

    /**
     * The earliest time at which the bytes read now from a connection may have arrived. What is read soon after the
     * connection was registered may have been in its socket since it was made.
     */
    private double earliestArrival(double madeAt, double registeredAt) {
        double now = environment.clock().nowMillis();
        double earliest = ticks.earliestArrival(now);
        boolean isRegisteredBefore = earliest > registeredAt + EventLoopTicks.STALL_THRESHOLD_MILLIS;
        return isRegisteredBefore ? earliest : Math.min(earliest, madeAt);
    }

    /** When the last byte of the request in flight arrived, in milliseconds. */
    protected final double arrivedAt(HttpServerRequest request) {
        ClientConnection client = connections.get(request.connection());
        return client == null ? environment.clock().nowMillis() : client.arrivedAt();
    }

    /** Whether the client of a request in flight is still connected, judged by reading its socket now. */
    protected final boolean isClientConnected(HttpServerRequest request) {
        ClientConnection client = connections.get(request.connection());
        return client != null && client.isConnected();
    }

    /**
     * Closes the connection of a request at once. Vert.x closes a connection, or resets a response, only after
     * everything written before has been sent; that never happens if the client does not read.
     */
    protected final void closeNow(HttpServerRequest request) {
        ClientConnection client = connections.get(request.connection());
        if (client != null) {
            client.close();
        }
    }

    /** Called when a client connection has closed. */
    protected void connectionClosed(HttpConnection connection) {}

    private void connectionOpened(HttpConnection connection) {
        Channel channel = ((ConnectionBase) connection).channel();
        double registeredAt = environment.clock().nowMillis();
        double madeAt = ConnectionLimiter.madeAt(channel, registeredAt);
        ClientConnection client = new ClientConnection(
                environment.clock(),
                () -> earliestArrival(madeAt, registeredAt),
                budget,
                outputTimeouts,
                environment.config().settings().limits().allowsRetryAfter());
        connections.put(connection, client);
        connection.exceptionHandler(e -> {});
        connection.closeHandler(v -> {
            connections.remove(connection);
            connectionClosed(connection);
        });
        channel.config()
                .setRecvByteBufAllocator(new AdaptiveRecvByteBufAllocator(256, 2048, MAX_READ_BYTES)
                        .maxMessagesPerRead(READS_PER_ITERATION));
        channel.pipeline()
                .replace(
                        VertxHttpRequestDecoder.class,
                        "httpDecoder",
                        new StrictHttpDecoder(options, client::bytesReceived));
        channel.pipeline().addBefore("handler", "guard", client);
        if (connections.size() > maxConnections) {
            evictFor(client);
        }
    }

    /**
     * Closes the idle connection with the fewest served results, and of these the oldest. If only the age counted, many
     * idle clients would evict the active ones.
     */
    private void evictFor(ClientConnection newConnection) {
        for (int attempt = 0; attempt < MAX_EVICTION_ATTEMPTS; attempt++) {
            ClientConnection candidate = connections.values().stream()
                    .filter(connection ->
                            connection != newConnection && connection.state().isIdle())
                    .min(Comparator.comparingInt(
                            connection -> connection.state().resultsServed()))
                    .orElse(null);
            if (candidate == null) {
                break;
            }
            if (candidate.isStillIdle()) {
                candidate.close();
                return;
            }
        }
        if (newConnection != null) {
            newConnection.reject(503, "too many connections");
        }
    }

    @Override
    public final Future<Integer> listen() {
        // No request can have arrived before, however long the event loop was stalled during the start.
        ticks.tick(environment.clock().nowMillis());
        return server.listen().map(HttpServer::actualPort);
    }

    /** Whether every response closes its connection. */
    protected final boolean closesConnections() {
        return environment.serviceState().closesAfterResponse();
    }

    @Override
    public final boolean hasConnections() {
        return !connections.isEmpty();
    }

    /** Closes connections as they become idle; completes when none is left or after the timeout. */
    @Override
    public final Future<Void> closeConnections(long timeoutMillis) {
        Promise<Void> done = Promise.promise();
        closeIdleUntilDone(done, timeoutMillis);
        return done.future().onComplete(v -> server.shutdown(0, TimeUnit.MILLISECONDS));
    }

    private void closeIdleUntilDone(Promise<Void> done, long remainingMillis) {
        // A client that has just read its response may have sent its next request, whose response then says that
        // it is the last.
        double now = environment.clock().nowMillis();
        for (ClientConnection client : List.copyOf(connections.values())) {
            client.closeIfQuiet(now);
            if (client.state().hasLingered(now)) {
                client.close();
            }
        }
        if (connections.isEmpty() || remainingMillis <= 0) {
            vertx.cancelTimer(connectionCheckTimer);
            vertx.cancelTimer(tickTimer);
            done.tryComplete();
        } else {
            vertx.setTimer(CLOSE_SWEEP_MILLIS, id -> closeIdleUntilDone(done, remainingMillis - CLOSE_SWEEP_MILLIS));
        }
    }
}
