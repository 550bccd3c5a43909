package nettlewick.sse;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.http.HttpServerResponse;

/**
 * One client's connection to a stream. A slow client costs one progress event and one final event at most: while its
 * write queue is full, newer progress replaces older, and the final event waits. Event loop.
 */
final class StreamSubscriber {
    private static final int WRITE_QUEUE_BYTES = 8 * 1024;

    private final HttpServerResponse response;
    private final long lastSeenId;
    private final Promise<Void> finalEventWritten = Promise.promise();
    private StreamEvent pendingProgress;
    private StreamEvent pendingFinal;
    private boolean hasLeft;

    /** {@code lastSeenId} is the id of the last event that the client has seen, 0 for none. */
    StreamSubscriber(HttpServerResponse response, long lastSeenId, long retryMillis) {
        this.response = response;
        this.lastSeenId = lastSeenId;
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

    /** Marks the client as gone; true for the first call only, however the connection ended. */
    boolean markLeft() {
        boolean first = !hasLeft;
        hasLeft = true;
        return first;
    }

    /** Writes an event as soon as the client reads; null and events that it has seen are ignored. */
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

    /** Writes a comment, so that no proxy takes the stream for dead. */
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

    /** Resets the connection, whatever the client still lacks; it may attach again. */
    void close() {
        if (isOpen()) {
            response.reset();
        }
    }
}
