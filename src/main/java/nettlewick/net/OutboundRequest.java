package nettlewick.net;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.RequestOptions;
import nettlewick.core.Attempt;
import nettlewick.decision.AttemptResult;
import nettlewick.decision.EndpointLoad;

/** One request to a sim runner and what comes back: a call attempt or a probe. Lives on the event loop. */
abstract class OutboundRequest {
    /** Time for the rest of an answer whose meaning is known; then its connection is closed. */
    private static final long TAIL = 1000;

    static final int OK = 200;
    private static final int UNAVAILABLE = 503;
    private static final int GATEWAY_TIMEOUT = 504;

    protected final EndpointConnectionPools subchannels;
    private final AttemptState state = new AttemptState();
    private EndpointConnections.Link link;
    private boolean answering;
    private boolean whole;

    OutboundRequest(EndpointConnectionPools subchannels) {
        this.subchannels = subchannels;
    }

    abstract RequestOptions head();

    abstract Buffer body();

    /** The answer's head has come; its body is still to be read. */
    abstract void answer(HttpClientResponse response);

    /** The answer's body has come to its end. */
    abstract void answered();

    /** Whether it may still be sent: asked in each turn that writes some of it. */
    boolean mayBegin() {
        return true;
    }

    /**
     * For how long, in milliseconds, a kept connection has to have rested before this call may use it: a late
     * second answer to the request before would be taken for the answer to this one.
     */
    double rest() {
        return 0;
    }

    /** Whether it may be sent once more by itself if the kept connection it was written to turns out dead. */
    boolean harmless() {
        return false;
    }

    /** Tells the core how the call ended; called once at most. */
    abstract void tell(Attempt.Outcome outcome);

    boolean over() {
        return state.phase() == AttemptState.Phase.OVER;
    }

    /** A connection is there: sends the request on it, if it may still go. */
    void write(EndpointConnections.Link on) {
        if (!over() && !mayBegin()) {
            finish(AttemptResult.NOT_SENT, null, null);
        }
        if (!state.write()) {
            on.free(this);
            return;
        }
        link = on;
        on.connection.request(head()).onComplete(made -> {
            if (made.failed()) {
                on.close();
                return;
            }
            HttpClientRequest request = made.result();
            request.exceptionHandler(e -> {});
            request.response().onComplete(came -> {
                if (came.failed()) {
                    on.close();
                } else {
                    read(came.result());
                }
            });
            if (on.careful() && body().length() > 0) {
                // Danger: a reset after the last byte leaves open whether it ran. All but that byte goes
                // first: a connection that does not stand it breaks while it is certain that it has not run.
                int last = body().length() - 1;
                request.write(body().slice(0, last));
                subchannels.after(on.roundTrip(), () -> end(request, body().slice(last, last + 1)));
            } else {
                end(request, body());
            }
        });
    }

    /** Sends the last part. Without its last byte a request never runs on a connection that is closed. */
    private void end(HttpClientRequest request, Buffer rest) {
        if (over()) {
            return;
        }
        if (mayBegin()) {
            request.end(rest).onSuccess(v -> whole());
        } else {
            finish(AttemptResult.NOT_SENT, null, null);
            link.close();
        }
    }

    /** The request's last byte is on the socket. */
    private void whole() {
        state.written();
        if (!whole) {
            whole = true;
            sent();
        }
    }

    /** It has reached the socket whole; called once at most. */
    void sent() {}

    private void read(HttpClientResponse response) {
        whole();
        answering = true;
        link.used(false);
        response.exceptionHandler(e -> link.close());
        response.endHandler(v -> {
            answered();
            if (over()) {
                link.free(this);
            } else {
                link.close();
            }
        });
        answer(response);
    }

    /** What an answer without a result means. */
    static AttemptResult unserved(HttpClientResponse response) {
        int status = response.statusCode();
        boolean never =
                (status == UNAVAILABLE || status == GATEWAY_TIMEOUT) && "1".equals(response.getHeader("X-Not-Run"));
        return never ? AttemptResult.OVERLOADED : AttemptResult.ERROR;
    }

    void broke() {
        if (link != null && !answering && !over()) {
            link.used(true);
            if (harmless() && link.kept()) {
                link = null;
                state.again();
                subchannels.startAnew(this);
                return;
            }
        }
        AttemptResult result = state.broke();
        if (result != null) {
            tell(Attempt.Outcome.of(result));
            subchannels.over(this);
        }
    }

    /** The call has its end; what is left of its answer is read so that the connection can be used again. */
    void finish(AttemptResult result, byte[] body, EndpointLoad load) {
        if (state.finish(result) != null) {
            tell(new Attempt.Outcome(result, body, load));
            subchannels.over(this);
            if (link != null) {
                EndpointConnections.Link mine = link;
                subchannels.after(TAIL, () -> mine.closeIf(this));
            }
        }
    }

    /** Nobody waits for it any more: its connection is closed. */
    void drop() {
        if (state.finish(AttemptResult.CANCELLED) != null) {
            subchannels.over(this);
            if (link != null) {
                link.close();
            }
        }
    }
}
