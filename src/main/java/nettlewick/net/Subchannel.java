package nettlewick.net;

import io.vertx.core.http.HttpClientConnection;
import io.vertx.core.http.HttpConnectOptions;
import io.vertx.core.net.SocketAddress;
import nettlewick.decision.Dispatcher.Life;
import nettlewick.decision.Dispatcher.Result;

/**
 * A sim runner and this dispatcher's connections to it. Connecting and sending are apart, so that a call that
 * never reached the runner is known as such. All of it lives on the event loop.
 */
final class Subchannel {
    /** Idle connections are closed after this part of the time at which the runner's machine closes them. */
    private static final double IDLE_PART = 0.6;

    /** One connection; it carries one call at a time. */
    final class Link {
        final HttpClientConnection connection;
        private Call call;
        private boolean closed;

        private Link(HttpClientConnection connection) {
            this.connection = connection;
            connection.exceptionHandler(e -> { });
            connection.closeHandler(v -> lost());
        }

        private void lost() {
            if (!closed) {
                closed = true;
                open--;
                subchannels.opened(-1);
                idle.remove(this);
            }
            Call last = call;
            call = null;
            if (last != null) {
                last.broke();
            }
        }

        /** The call's answer has come to its end: the connection may carry the next one. */
        void free(Call done) {
            if (call == done && !closed) {
                call = null;
                keep(this);
            }
        }

        void closeIf(Call still) {
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
    private final Subchannels subchannels;
    private final IdlePool<Link> idle;
    private SocketAddress dial;
    private Life life = Life.GONE;
    private double startedAt;
    private int open;

    Subchannel(String host, Subchannels subchannels) {
        this.host = host;
        this.subchannels = subchannels;
        idle = new IdlePool<>(() -> subchannels.config().connIdle() * IDLE_PART, Link::close);
    }

    /** Takes news of the runner over. */
    void update(ResolverResult.Host news) {
        boolean moved = news.dial() != null && !news.dial().equals(dial);
        if (moved || news.entry().startedAt() != startedAt || news.entry().life() != Life.READY) {
            // A process that started anew knows nothing of its former connections.
            idle.closeAll();
        }
        dial = news.dial() != null ? news.dial() : dial;
        startedAt = news.entry().startedAt();
        life = news.entry().life();
    }

    void gone() {
        life = Life.GONE;
        idle.closeAll();
    }

    boolean ready() {
        return life == Life.READY;
    }

    boolean unused() {
        return life == Life.GONE && open == 0;
    }

    IdlePool<Link> idle() {
        return idle;
    }

    /** Carries a call out, on the newest idle connection or on a new one. */
    void start(Call call) {
        if (!ready()) {
            call.finish(Result.FULL, null, null);
            return;
        }
        Link link = idle.take(subchannels.now());
        if (link != null) {
            use(link, call);
        } else if (!subchannels.room()) {
            call.broke();
        } else {
            connect(call);
        }
    }

    private void connect(Call call) {
        open++;
        subchannels.opened(1);
        HttpConnectOptions options = new HttpConnectOptions().setServer(dial).setHost(dial.hostAddress())
                .setPort(dial.port()).setSsl(false);
        subchannels.client().connect(options).onComplete(result -> {
            if (result.failed()) {
                open--;
                subchannels.opened(-1);
                call.broke();
                return;
            }
            Link link = new Link(result.result());
            if (call.over()) {
                keep(link);
            } else if (!ready()) {
                // Danger: the runner began to drain while the connection came up; nothing new may go there.
                call.finish(Result.FULL, null, null);
                keep(link);
            } else {
                use(link, call);
            }
        });
    }

    private void use(Link link, Call call) {
        link.call = call;
        call.write(link);
    }

    private void keep(Link link) {
        if (ready()) {
            idle.put(link, subchannels.now());
        } else {
            link.close();
        }
    }
}
