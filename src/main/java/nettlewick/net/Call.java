package nettlewick.net;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.RequestOptions;
import nettlewick.core.Attempt;
import nettlewick.decision.Dispatcher.Load;
import nettlewick.decision.Dispatcher.Result;

/** One request to a sim runner and what comes back: a call attempt or a probe. Lives on the event loop. */
abstract class Call {
    /** Time for the rest of an answer whose meaning is known; then its connection is closed. */
    private static final long TAIL = 1000;
    static final int OK = 200;
    private static final int UNAVAILABLE = 503;
    private static final int GATEWAY_TIMEOUT = 504;

    protected final Subchannels subchannels;
    private final CallState state = new CallState();
    private Subchannel.Link link;

    Call(Subchannels subchannels) {
        this.subchannels = subchannels;
    }

    abstract RequestOptions head();

    abstract Buffer body();

    /** The answer's head has come; its body is still to be read. */
    abstract void answer(HttpClientResponse response);

    /** The answer's body has come to its end. */
    abstract void answered();

    /** Tells the core how the call ended; called once at most. */
    abstract void tell(Attempt.Outcome outcome);

    boolean over() {
        return state.phase() == CallState.Phase.OVER;
    }

    /** A connection is there: sends the request on it. */
    void write(Subchannel.Link on) {
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
            request.exceptionHandler(e -> { });
            request.response().onComplete(came -> {
                if (came.failed()) {
                    on.close();
                } else {
                    read(came.result());
                }
            });
            request.end(body()).onSuccess(v -> state.written());
        });
    }

    private void read(HttpClientResponse response) {
        state.written();
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
    static Result unserved(HttpClientResponse response) {
        int status = response.statusCode();
        boolean never = (status == UNAVAILABLE || status == GATEWAY_TIMEOUT)
                && "1".equals(response.getHeader("X-Not-Run"));
        return never ? Result.FULL : Result.ERROR;
    }

    void broke() {
        Result result = state.broke();
        if (result != null) {
            tell(Attempt.Outcome.of(result));
            subchannels.over(this);
        }
    }

    /** The call has its end; what is left of its answer is read so that the connection can be used again. */
    void finish(Result result, byte[] body, Load load) {
        if (state.finish(result) != null) {
            tell(new Attempt.Outcome(result, body, load));
            subchannels.over(this);
            if (link != null) {
                Subchannel.Link mine = link;
                subchannels.after(TAIL, () -> mine.closeIf(this));
            }
        }
    }

    /** Nobody waits for it any more: its connection is closed. */
    void drop() {
        if (state.finish(Result.CANCELLED) != null) {
            subchannels.over(this);
            if (link != null) {
                link.close();
            }
        }
    }
}
