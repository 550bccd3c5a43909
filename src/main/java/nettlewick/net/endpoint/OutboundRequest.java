package nettlewick.net.endpoint;

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
    private static final long RESPONSE_TAIL_MILLIS = 1000;

    static final int OK = 200;
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final int GATEWAY_TIMEOUT = 504;

    protected final EndpointConnectionPools pools;
    private final AttemptState state = new AttemptState();
    private EndpointConnections.EndpointConnection connection;
    private boolean responseStarted;
    private boolean requestWritten;

    OutboundRequest(EndpointConnectionPools pools) {
        this.pools = pools;
    }

    abstract RequestOptions requestOptions();

    abstract Buffer body();

    /** The answer's head has come; its body is still to be read. */
    abstract void readResponse(HttpClientResponse response);

    /** The answer's body has come to its end. */
    abstract void bodyEnded();

    /** Whether it may still be sent: asked in each turn that writes some of it. */
    boolean mayStillSend() {
        return true;
    }

    /**
     * For how long, in milliseconds, a kept connection has to have rested before this call may use it: a late
     * second answer to the request before would be taken for the answer to this one.
     */
    double requiredIdleMillis() {
        return 0;
    }

    /** Whether it may be sent once more by itself if the kept connection it was written to turns out dead. */
    boolean mayResend() {
        return false;
    }

    /** Tells the core how the call ended; called once at most. */
    abstract void reportOutcome(Attempt.Outcome outcome);

    boolean isOver() {
        return state.phase() == AttemptState.Phase.OVER;
    }

    /** A connection is there: sends the request on it, if it may still go. */
    void write(EndpointConnections.EndpointConnection target) {
        if (!isOver() && !mayStillSend()) {
            finish(AttemptResult.NOT_SENT, null, null);
        }
        if (!state.beginWriting()) {
            target.release(this);
            return;
        }
        connection = target;
        target.connection.request(requestOptions()).onComplete(created -> {
            if (created.failed()) {
                target.close();
                return;
            }
            HttpClientRequest request = created.result();
            request.exceptionHandler(e -> {});
            request.response().onComplete(received -> {
                if (received.failed()) {
                    target.close();
                } else {
                    responseReceived(received.result());
                }
            });
            if (target.mustWithholdLastByte() && body().length() > 0) {
                // Danger: a reset after the last byte leaves open whether it ran. All but that byte goes
                // first: a connection that does not stand it breaks while it is certain that it has not run.
                int lastByteIndex = body().length() - 1;
                request.write(body().slice(0, lastByteIndex));
                pools.runAfter(
                        target.resetWaitMillis(),
                        () -> writeLastPart(request, body().slice(lastByteIndex, lastByteIndex + 1)));
            } else {
                writeLastPart(request, body());
            }
        });
    }

    /** Sends the last part. Without its last byte a request never runs on a connection that is closed. */
    private void writeLastPart(HttpClientRequest request, Buffer lastPart) {
        if (isOver()) {
            return;
        }
        if (mayStillSend()) {
            request.end(lastPart).onSuccess(v -> lastByteWritten());
        } else {
            finish(AttemptResult.NOT_SENT, null, null);
            connection.close();
        }
    }

    /** The request's last byte is on the socket. */
    private void lastByteWritten() {
        state.lastByteWritten();
        if (!requestWritten) {
            requestWritten = true;
            requestWritten();
        }
    }

    /** It has reached the socket whole; called once at most. */
    void requestWritten() {}

    private void responseReceived(HttpClientResponse response) {
        lastByteWritten();
        responseStarted = true;
        connection.recordUse(false);
        response.exceptionHandler(e -> connection.close());
        response.endHandler(v -> {
            bodyEnded();
            if (isOver()) {
                connection.release(this);
            } else {
                connection.close();
            }
        });
        readResponse(response);
    }

    /** What an answer without a result means. */
    static AttemptResult resultOfError(HttpClientResponse response) {
        int status = response.statusCode();
        boolean didNotRun = (status == SERVICE_UNAVAILABLE || status == GATEWAY_TIMEOUT)
                && "1".equals(response.getHeader("X-Not-Run"));
        return didNotRun ? AttemptResult.OVERLOADED : AttemptResult.ERROR;
    }

    void connectionLost() {
        if (connection != null && !responseStarted && !isOver()) {
            connection.recordUse(true);
            if (mayResend() && connection.isReused()) {
                connection = null;
                state.restart();
                pools.resend(this);
                return;
            }
        }
        AttemptResult result = state.connectionLost();
        if (result != null) {
            reportOutcome(Attempt.Outcome.of(result));
            pools.requestFinished(this);
        }
    }

    /** The call has its end; what is left of its answer is read so that the connection can be used again. */
    void finish(AttemptResult result, byte[] body, EndpointLoad load) {
        if (state.finish(result) != null) {
            reportOutcome(new Attempt.Outcome(result, body, load));
            pools.requestFinished(this);
            if (connection != null) {
                EndpointConnections.EndpointConnection used = connection;
                pools.runAfter(RESPONSE_TAIL_MILLIS, () -> used.closeIfStillCarries(this));
            }
        }
    }

    /** Nobody waits for it any more: its connection is closed. */
    void cancel() {
        if (state.finish(AttemptResult.CANCELLED) != null) {
            pools.requestFinished(this);
            if (connection != null) {
                connection.close();
            }
        }
    }
}
