package nettlewick.net;

import io.vertx.core.http.HttpClientConnection;
import io.vertx.core.http.HttpConnectOptions;
import io.vertx.core.net.SocketAddress;
import nettlewick.decision.AttemptResult;
import nettlewick.decision.EndpointState;

/**
 * A sim runner and this dispatcher's connections to it. Connecting and sending are apart, so that a call that
 * never reached the runner is known as such. All of it lives on the event loop.
 */
final class EndpointConnections {
    /** Idle connections are closed after this part of the time at which the runner's machine closes them. */
    private static final double IDLE_PART = 0.6;

    private static final double ROUND_TRIP_MOST = 20;

    /** One connection; it carries one call at a time. */
    final class Link {
        final HttpClientConnection connection;
        private final double madeIn;
        private OutboundRequest call;
        private boolean closed;
        private boolean kept;

        private Link(HttpClientConnection connection, double madeIn) {
            this.connection = connection;
            this.madeIn = madeIn;
            connection.exceptionHandler(e -> {});
            connection.closeHandler(v -> lost());
        }

        private void lost() {
            if (!closed) {
                closed = true;
                open--;
                subchannels.opened(-1);
                idle.remove(this);
            }
            OutboundRequest last = call;
            call = null;
            if (last != null) {
                last.broke();
            }
        }

        /** Whether it has idled before its present call. */
        boolean kept() {
            return kept;
        }

        /** What became of the present call's request. */
        void used(boolean broke) {
            if (kept || broke) {
                subchannels.gauge().used(broke);
            }
        }

        /** Whether a job's last byte is held back until the connection has stood the others. */
        boolean careful() {
            return !subchannels.gauge().trusts();
        }

        /** Milliseconds in which a reset in answer to what was written is here. */
        long roundTrip() {
            return (long) Math.min(ROUND_TRIP_MOST, Math.ceil(madeIn) + 1);
        }

        /** The call's answer has come to its end: the connection may carry the next one. */
        void free(OutboundRequest done) {
            if (call == done && !closed) {
                call = null;
                keep(this);
            }
        }

        void closeIf(OutboundRequest still) {
            if (call == still) {
                close();
            }
        }

        void close() {
            lost();
            connection.close();
        }
    }

    final String host;
    private final EndpointConnectionPools subchannels;
    private final IdleConnections<Link> idle;
    private SocketAddress dial;
    private EndpointState life = EndpointState.GONE;
    private double startedAt;
    private boolean banned;
    private int open;
    private volatile int changes;

    EndpointConnections(String host, EndpointConnectionPools subchannels) {
        this.host = host;
        this.subchannels = subchannels;
        idle = new IdleConnections<>(() -> subchannels.config().connIdle() * IDLE_PART, Link::close);
    }

    /** How often discovery has told of it. */
    int changes() {
        return changes;
    }

    /** Takes news of the runner over. */
    void update(EndpointListSnapshot.Host news) {
        changes++;
        boolean moved = news.dial() != null && !news.dial().equals(dial);
        if (moved || news.entry().startedAt() != startedAt || news.entry().state() != EndpointState.READY) {
            // A process that started anew knows nothing of its former connections.
            idle.closeAll();
        }
        dial = news.dial() != null ? news.dial() : dial;
        startedAt = news.entry().startedAt();
        life = news.entry().state();
    }

    /** Taken out by hand: nothing new starts here, no kept connection stays, calls in work end. */
    void ban(boolean out) {
        banned = out;
        if (out) {
            idle.closeAll();
        }
    }

    void gone() {
        life = EndpointState.GONE;
        idle.closeAll();
    }

    boolean ready() {
        return life == EndpointState.READY && !banned;
    }

    /** Whether the runner is on the list. */
    boolean listed() {
        return life != EndpointState.GONE;
    }

    boolean unused() {
        return life == EndpointState.GONE && open == 0;
    }

    IdleConnections<Link> idle() {
        return idle;
    }

    /** Carries a call out, on the newest idle connection or on a new one. */
    void start(OutboundRequest call) {
        if (!ready()) {
            call.finish(AttemptResult.OVERLOADED, null, null);
            return;
        }
        Link link = call.harmless() || subchannels.gauge().trusts() ? idle.take(subchannels.now(), call.rest()) : null;
        if (link != null) {
            use(link, call);
        } else {
            startAnew(call);
        }
    }

    /** Carries a call out on a new connection. */
    void startAnew(OutboundRequest call) {
        if (!subchannels.room()) {
            call.broke();
        } else {
            connect(call);
        }
    }

    private void connect(OutboundRequest call) {
        open++;
        subchannels.opened(1);
        subchannels.opening(1);
        double began = subchannels.now();
        double chosen = startedAt;
        HttpConnectOptions options = new HttpConnectOptions()
                .setServer(dial)
                .setHost(dial.hostAddress())
                .setPort(dial.port())
                .setSsl(false);
        subchannels.client().connect(options).onComplete(result -> {
            subchannels.opening(-1);
            if (result.failed()) {
                open--;
                subchannels.opened(-1);
                call.broke();
                return;
            }
            Link link = new Link(result.result(), subchannels.now() - began);
            if (call.over()) {
                keep(link);
            } else if (!ready() || startedAt != chosen) {
                // While the connection came up the runner began to drain and takes nothing new, or it started
                // anew and what was chosen for a warm runner is not in its slow-start budget.
                call.finish(AttemptResult.OVERLOADED, null, null);
                keep(link);
            } else {
                use(link, call);
            }
        });
    }

    private void use(Link link, OutboundRequest call) {
        link.call = call;
        call.write(link);
    }

    private void keep(Link link) {
        // One is kept for probes where jobs do not use kept ones.
        if (ready() && (subchannels.gauge().trusts() || idle.size() == 0)) {
            link.kept = true;
            idle.put(link, subchannels.now());
        } else {
            link.close();
        }
    }
}
