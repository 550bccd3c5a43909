package nettlewick.net.endpoint;

import io.vertx.core.http.HttpClientConnection;
import io.vertx.core.http.HttpConnectOptions;
import io.vertx.core.net.SocketAddress;
import nettlewick.decision.AttemptResult;
import nettlewick.decision.EndpointState;
import nettlewick.net.discovery.EndpointListSnapshot;

/**
 * An endpoint and the connections to it. Connecting and sending are separate steps, so that a request that never
 * reached the endpoint can be told from one that may have run. Runs on the event loop.
 */
final class EndpointConnections {
    /** Idle connections are closed after this fraction of the endpoint's own idle timeout. */
    private static final double IDLE_TIMEOUT_FACTOR = 0.6;

    private static final double MAX_RESET_WAIT_MILLIS = 20;

    /** One connection; it carries one request at a time. */
    final class EndpointConnection {
        private final HttpClientConnection connection;
        private final double connectMillis;
        private OutboundRequest request;
        private boolean closed;
        private boolean reused;

        private EndpointConnection(HttpClientConnection connection, double connectMillis) {
            this.connection = connection;
            this.connectMillis = connectMillis;
            connection.exceptionHandler(e -> {});
            connection.closeHandler(v -> connectionClosed());
        }

        private void connectionClosed() {
            if (!closed) {
                closed = true;
                openConnections--;
                pools.changeOpenConnections(-1);
                idle.remove(this);
            }
            OutboundRequest carried = request;
            request = null;
            if (carried != null) {
                carried.connectionLost();
            }
        }

        HttpClientConnection http() {
            return connection;
        }

        /** Whether it was idle before its current request. */
        boolean isReused() {
            return reused;
        }

        /** Records whether the connection broke under its current request. */
        void recordUse(boolean wasBroken) {
            if (reused || wasBroken) {
                pools.reusePolicy().recordUse(wasBroken);
            }
        }

        /** Whether the last byte of a request is held back until the connection has proved to work. */
        boolean mustWithholdLastByte() {
            return !pools.reusePolicy().allowsReuse();
        }

        /** Milliseconds within which a reset in response to what was written would arrive. */
        long resetWaitMillis() {
            return (long) Math.min(MAX_RESET_WAIT_MILLIS, Math.ceil(connectMillis) + 1);
        }

        /** The response has ended: the connection may carry the next request. */
        void release(OutboundRequest finished) {
            if (request == finished && !closed) {
                request = null;
                keepIdleOrClose(this);
            }
        }

        void closeIfStillCarries(OutboundRequest expected) {
            if (request == expected) {
                close();
            }
        }

        void close() {
            connectionClosed();
            connection.close();
        }
    }

    private final String endpointId;
    private final EndpointConnectionPools pools;
    private final IdleConnections<EndpointConnection> idle;
    private SocketAddress address;
    private EndpointState state = EndpointState.GONE;
    private double incarnation;
    private boolean disabled;
    private int openConnections;
    private volatile int updates;

    EndpointConnections(String endpointId, EndpointConnectionPools pools) {
        this.endpointId = endpointId;
        this.pools = pools;
        idle = new IdleConnections<>(
                () -> pools.config().idleTimeoutMillis() * IDLE_TIMEOUT_FACTOR, EndpointConnection::close);
    }

    /** The id of the endpoint. */
    String endpointId() {
        return endpointId;
    }

    /** How many updates of this endpoint have been applied; for any thread. */
    int updates() {
        return updates;
    }

    /** Applies an update of this endpoint. */
    void update(EndpointListSnapshot.ReachableEndpoint update) {
        updates++;
        boolean moved = update.address() != null && !update.address().equals(address);
        if (moved
                || update.entry().startedAtMillis() != incarnation
                || update.entry().state() != EndpointState.READY) {
            // A restarted process does not know its former connections.
            idle.closeAll();
        }
        address = update.address() != null ? update.address() : address;
        incarnation = update.entry().startedAtMillis();
        state = update.entry().state();
    }

    /**
     * Disables or enables the endpoint. While it is disabled nothing new starts here and no idle connection
     * stays; requests in flight go on.
     */
    void setDisabled(boolean nowDisabled) {
        disabled = nowDisabled;
        if (nowDisabled) {
            idle.closeAll();
        }
    }

    void markGone() {
        state = EndpointState.GONE;
        idle.closeAll();
    }

    boolean isReady() {
        return state == EndpointState.READY && !disabled;
    }

    /** Whether the endpoint is on the list. */
    boolean isListed() {
        return state != EndpointState.GONE;
    }

    boolean isUnused() {
        return state == EndpointState.GONE && openConnections == 0;
    }

    IdleConnections<EndpointConnection> idle() {
        return idle;
    }

    /** Sends a request on the newest idle connection, or on a new one. */
    void send(OutboundRequest request) {
        if (!isReady()) {
            request.finish(AttemptResult.OVERLOADED, null, null);
            return;
        }
        EndpointConnection connection =
                request.mayResend() || pools.reusePolicy().allowsReuse()
                        ? idle.take(pools.now(), request.requiredIdleMillis())
                        : null;
        if (connection != null) {
            sendOn(connection, request);
        } else {
            sendOnNewConnection(request);
        }
    }

    /** Sends a request on a new connection. */
    void sendOnNewConnection(OutboundRequest request) {
        if (!pools.makeRoomForConnection()) {
            request.connectionLost();
        } else {
            connect(request);
        }
    }

    private void connect(OutboundRequest request) {
        openConnections++;
        pools.changeOpenConnections(1);
        pools.changePendingConnects(1);
        double connectStartedAt = pools.now();
        double expectedIncarnation = incarnation;
        HttpConnectOptions options = new HttpConnectOptions()
                .setServer(address)
                .setHost(address.hostAddress())
                .setPort(address.port())
                .setSsl(false);
        pools.client().connect(options).onComplete(result -> {
            pools.changePendingConnects(-1);
            if (result.failed()) {
                openConnections--;
                pools.changeOpenConnections(-1);
                request.connectionLost();
                return;
            }
            EndpointConnection connection = new EndpointConnection(result.result(), pools.now() - connectStartedAt);
            if (request.isOver()) {
                keepIdleOrClose(connection);
            } else if (!isReady() || incarnation != expectedIncarnation) {
                // While the connection was established the endpoint began to drain, or it restarted and its
                // slow-start budget does not cover this request.
                request.finish(AttemptResult.OVERLOADED, null, null);
                keepIdleOrClose(connection);
            } else {
                sendOn(connection, request);
            }
        });
    }

    private void sendOn(EndpointConnection connection, OutboundRequest request) {
        connection.request = request;
        request.write(connection);
    }

    private void keepIdleOrClose(EndpointConnection connection) {
        // One connection is kept for load probes where requests do not use idle ones.
        if (isReady() && (pools.reusePolicy().allowsReuse() || idle.size() == 0)) {
            connection.reused = true;
            idle.put(connection, pools.now());
        } else {
            connection.close();
        }
    }
}
