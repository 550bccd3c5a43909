package nettlewick.net.endpoint;

import io.vertx.core.http.HttpClientConnection;
import io.vertx.core.http.HttpConnectOptions;
import io.vertx.core.net.SocketAddress;
import nettlewick.decision.AttemptResult;
import nettlewick.decision.EndpointState;
import nettlewick.net.discovery.EndpointListSnapshot;

/**
 * A sim runner and this dispatcher's connections to it. Connecting and sending are apart, so that a call that
 * never reached the runner is known as such. All of it lives on the event loop.
 */
final class EndpointConnections {
    /** Idle connections are closed after this part of the time at which the runner's machine closes them. */
    private static final double IDLE_TIMEOUT_FACTOR = 0.6;

    private static final double MAX_RESET_WAIT_MILLIS = 20;

    /** One connection; it carries one call at a time. */
    final class EndpointConnection {
        final HttpClientConnection connection;
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
                pools.addOpenConnections(-1);
                idle.remove(this);
            }
            OutboundRequest carried = request;
            request = null;
            if (carried != null) {
                carried.connectionLost();
            }
        }

        /** Whether it has idled before its present call. */
        boolean isReused() {
            return reused;
        }

        /** What became of the present call's request. */
        void recordUse(boolean wasBroken) {
            if (reused || wasBroken) {
                pools.reusePolicy().recordUse(wasBroken);
            }
        }

        /** Whether a job's last byte is held back until the connection has stood the others. */
        boolean mustWithholdLastByte() {
            return !pools.reusePolicy().allowsReuse();
        }

        /** Milliseconds in which a reset in answer to what was written is here. */
        long resetWaitMillis() {
            return (long) Math.min(MAX_RESET_WAIT_MILLIS, Math.ceil(connectMillis) + 1);
        }

        /** The call's answer has come to its end: the connection may carry the next one. */
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

    final String endpointId;
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

    /** How often discovery has told of it. */
    int updates() {
        return updates;
    }

    /** Takes news of the runner over. */
    void update(EndpointListSnapshot.ReachableEndpoint update) {
        updates++;
        boolean moved = update.address() != null && !update.address().equals(address);
        if (moved || update.entry().startedAt() != incarnation || update.entry().state() != EndpointState.READY) {
            // A process that started anew knows nothing of its former connections.
            idle.closeAll();
        }
        address = update.address() != null ? update.address() : address;
        incarnation = update.entry().startedAt();
        state = update.entry().state();
    }

    /** Taken out by hand: nothing new starts here, no kept connection stays, calls in work end. */
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

    /** Whether the runner is on the list. */
    boolean isListed() {
        return state != EndpointState.GONE;
    }

    boolean isUnused() {
        return state == EndpointState.GONE && openConnections == 0;
    }

    IdleConnections<EndpointConnection> idle() {
        return idle;
    }

    /** Carries a call out, on the newest idle connection or on a new one. */
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

    /** Carries a call out on a new connection. */
    void sendOnNewConnection(OutboundRequest request) {
        if (!pools.makeRoomForConnection()) {
            request.connectionLost();
        } else {
            connect(request);
        }
    }

    private void connect(OutboundRequest request) {
        openConnections++;
        pools.addOpenConnections(1);
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
                pools.addOpenConnections(-1);
                request.connectionLost();
                return;
            }
            EndpointConnection connection = new EndpointConnection(result.result(), pools.now() - connectStartedAt);
            if (request.isOver()) {
                keepIdleOrClose(connection);
            } else if (!isReady() || incarnation != expectedIncarnation) {
                // While the connection came up the runner began to drain and takes nothing new, or it started
                // anew and what was chosen for a warm runner is not in its slow-start budget.
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
        // One is kept for probes where jobs do not use kept ones.
        if (isReady() && (pools.reusePolicy().allowsReuse() || idle.size() == 0)) {
            connection.reused = true;
            idle.put(connection, pools.now());
        } else {
            connection.close();
        }
    }
}
