package nettlewick.net.endpoint;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.RequestOptions;
import nettlewick.core.Attempt;
import nettlewick.decision.AttemptResult;
import nettlewick.decision.EndpointLoad;

/** One request to an endpoint and its response: an attempt or a load probe. Runs on the event loop. */
abstract class OutboundRequest {
    /** Time in which the rest of a response must arrive once its result is known; then its connection is closed. */
    private static final long RESPONSE_TAIL_MILLIS = 1000;

    /** Bytes of the rest of a response that are read so that its connection can be reused. */
    private static final int MAX_RESPONSE_TAIL_BYTES = 64 * 1024;

    static final int OK = 200;
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final int GATEWAY_TIMEOUT = 504;

    private final EndpointConnectionPools pools;
    private final AttemptState state = new AttemptState();
    private EndpointConnections.EndpointConnection connection;
    private boolean responseStarted;
    private boolean requestWritten;
    private int discardedBytes;
    /** The timer that closes the connection if the rest of the response does not arrive; null while there is none. */
    private Long responseTailTimer;

    OutboundRequest(EndpointConnectionPools pools) {
        this.pools = pools;
    }

    /** The pools that this request is sent through. */
    final EndpointConnectionPools pools() {
        return pools;
    }

    /** Method, path and headers of the request. */
    abstract RequestOptions requestOptions();

    /** The body of the request; may be empty. */
    abstract Buffer body();

    /** The head of the response has arrived; its body is still to be read. */
    abstract void readResponse(HttpClientResponse response);

    /** The body of the response has ended. */
    abstract void bodyEnded();

    /** Whether it may still be sent; checked before each write. */
    boolean mayStillSend() {
        return true;
    }

    /**
     * How many milliseconds a connection must have been idle before this request may use it: a late duplicate
     * response to the previous request would be taken for the response to this one.
     */
    double requiredIdleMillis() {
        return 0;
    }

    /** Whether it may be sent again at once if the idle connection it was written to turns out to be dead. */
    boolean mayResend() {
        return false;
    }

    /** Reports the outcome to the coordinator; called once at most. */
    abstract void reportOutcome(Attempt.Outcome outcome);

    boolean isOver() {
        return state.phase() == AttemptState.Phase.OVER;
    }

    /** Sends the request on this connection, if it may still be sent. */
    void write(EndpointConnections.EndpointConnection target) {
        if (!isOver() && !mayStillSend()) {
            finish(AttemptResult.NOT_SENT, null, null);
        }
        if (!state.beginWriting()) {
            target.release(this);
            return;
        }
        connection = target;
        target.http().request(requestOptions()).onComplete(created -> {
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
                // A reset after the last byte leaves open whether the request ran. Everything but that byte is
                // sent first: a connection that is dead then breaks while it is certain that the request has not
                // run.
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

    /** Sends the last part. If the connection is closed before the last byte, the request never runs. */
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

    /** The last byte of the request has been written to the socket. */
    private void lastByteWritten() {
        state.lastByteWritten();
        if (!requestWritten) {
            requestWritten = true;
            requestWritten();
        }
    }

    /** The request has been written completely; called once at most. */
    void requestWritten() {}

    private void responseReceived(HttpClientResponse response) {
        lastByteWritten();
        responseStarted = true;
        connection.recordUse(false);
        response.exceptionHandler(e -> connection.close());
        response.endHandler(v -> {
            bodyEnded();
            cancelResponseTailTimer();
            if (isOver()) {
                connection.release(this);
            } else {
                connection.close();
            }
        });
        readResponse(response);
    }

    /** The result that a response without status 200 stands for. */
    static AttemptResult resultOfError(HttpClientResponse response) {
        int status = response.statusCode();
        boolean didNotRun = (status == SERVICE_UNAVAILABLE || status == GATEWAY_TIMEOUT)
                && "1".equals(response.getHeader("X-Not-Run"));
        return didNotRun ? AttemptResult.OVERLOADED : AttemptResult.ERROR;
    }

    /** The timer holds this request, and so its body, for as long as it is scheduled. */
    private void cancelResponseTailTimer() {
        if (responseTailTimer != null) {
            pools.cancelTimer(responseTailTimer);
            responseTailTimer = null;
        }
    }

    void connectionLost() {
        cancelResponseTailTimer();
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

    /** The request has its result; the rest of its response is read so that the connection can be reused. */
    void finish(AttemptResult result, byte[] body, EndpointLoad load) {
        if (state.finish(result) != null) {
            reportOutcome(new Attempt.Outcome(result, body, load));
            pools.requestFinished(this);
            if (connection != null) {
                EndpointConnections.EndpointConnection used = connection;
                responseTailTimer = pools.runAfter(RESPONSE_TAIL_MILLIS, () -> used.closeIfStillCarries(this));
            }
        }
    }

    /** Gives the request up because its response is malformed: closes its connection, then reports the result. */
    final void abandon(AttemptResult result) {
        if (state.finish(result) != null) {
            connection.close();
            reportOutcome(Attempt.Outcome.of(result));
            pools.requestFinished(this);
        }
    }

    /** Discards a part of a response whose result is known; closes the connection if there is too much of it. */
    final void discard(Buffer part) {
        discardedBytes += part.length();
        if (discardedBytes > MAX_RESPONSE_TAIL_BYTES) {
            connection.closeIfStillCarries(this);
        }
    }

    /** Cancels the request, whose response nobody waits for any more, by closing its connection. */
    void cancel() {
        if (state.finish(AttemptResult.CANCELLED) != null) {
            pools.requestFinished(this);
            if (connection != null) {
                connection.close();
            }
        }
    }
}
