package nettlewick.sse;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.http.HttpServerResponse;

/**
 * One client's connection to a stream. At most one progress event and one final event are pending for a slow client:
 * while its write queue is full, newer progress replaces older progress, and the final event waits. Confined to the
 * event loop.
 */
final class StreamSubscriber {
    private static final int WRITE_QUEUE_BYTES = 8 * 1024;

    private final HttpServerResponse response;
    private final long lastSeenId;
    private final Runnable connectionCloser;
    private final Promise<Void> finalEventWritten = Promise.promise();
    private StreamEvent pendingProgress;
    private StreamEvent pendingFinal;
    private boolean hasLeft;

    /**
     * @param lastSeenId       the id of the last event that the client has seen; 0 for none
     * @param connectionCloser closes the connection at once, even if the client does not read
     */
    StreamSubscriber(HttpServerResponse response, long lastSeenId, long retryMillis, Runnable connectionCloser) {
        this.response = response;
        this.lastSeenId = lastSeenId;
        this.connectionCloser = connectionCloser;
        response.setChunked(true).setWriteQueueMaxSize(WRITE_QUEUE_BYTES);
        response.putHeader("Content-Type", "text/event-stream").putHeader("Cache-Control", "no-store");
        response.exceptionHandler(e -> {});
        response.drainHandler(v -> flush());
        response.write("retry: " + retryMillis + "\n\n");
    }

    /** Completes when the final event is written. */
    Future<Void> whenFinalEventWritten() {
        return finalEventWritten.future();
    }

    /** Marks the client as disconnected; returns true on the first call only. */
    boolean markLeft() {
        boolean isFirstCall = !hasLeft;
        hasLeft = true;
        return isFirstCall;
    }

    /** Writes an event once the write queue has room; ignores null and events that the client has seen. */
    void offer(StreamEvent event) {
        if (event == null || event.id() <= lastSeenId) {
            return;
        }
        if (event.isFinal()) {
            pendingFinal = event;
        } else {
            pendingProgress = event;
        }
        flush();
    }

    private void flush() {
        if (!isWritable()) {
            return;
        }
        if (pendingProgress != null) {
            response.write(pendingProgress.toWireText());
            pendingProgress = null;
        }
        if (pendingFinal != null) {
            response.end(pendingFinal.toWireText()).onComplete(finalEventWritten);
        }
    }

    /** Writes a comment, so that proxies do not close an idle stream. */
    void sendHeartbeat() {
        if (isWritable()) {
            response.write(":\n\n");
        }
    }

    private boolean isWritable() {
        return isOpen() && !response.writeQueueFull();
    }

    private boolean isOpen() {
        return !response.ended() && !response.closed();
    }

    /** Closes the connection even if events are pending; the client may attach again. */
    void close() {
        if (isOpen()) {
            connectionCloser.run();
        }
    }
}
