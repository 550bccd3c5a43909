package nettlewick.sse;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.http.HttpServerResponse;

/**
 * One client's connection to a stream. A slow reader costs one progress event and one final event at most:
 * while its buffer is full, newer progress takes the place of older, and the final event waits. Lives on the
 * event loop.
 */
final class StreamSubscriber {
    private static final int WRITE_QUEUE_BYTES = 8 * 1024;

    private final HttpServerResponse response;
    private final long lastSeenId;
    private StreamEvent pendingProgress;
    private StreamEvent pendingFinal;
    private boolean left;
    private final Promise<Void> finalEventWritten = Promise.promise();

    /** {@code after} is the id of the last event that the client has seen. */
    StreamSubscriber(HttpServerResponse response, long after, long retry) {
        this.response = response;
        this.lastSeenId = after;
        response.setChunked(true).setWriteQueueMaxSize(WRITE_QUEUE_BYTES);
        response.putHeader("Content-Type", "text/event-stream").putHeader("Cache-Control", "no-store");
        response.exceptionHandler(e -> {});
        response.drainHandler(v -> flush());
        response.write("retry: " + retry + "\n\n");
    }

    /** Done when the final event is written. */
    Future<Void> whenFinalEventWritten() {
        return finalEventWritten.future();
    }

    /** True once only: the reader is counted off once, however its connection ended. */
    boolean markLeft() {
        boolean first = !left;
        left = true;
        return first;
    }

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
        if (response.ended() || response.closed() || response.writeQueueFull()) {
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

    /** A comment, so that no one on the way takes the stream for dead. */
    void sendHeartbeat() {
        if (!response.ended() && !response.closed() && !response.writeQueueFull()) {
            response.write(":\n\n");
        }
    }

    /** Ends the connection, whatever the client still lacks; it may attach again. */
    void close() {
        if (!response.ended() && !response.closed()) {
            response.reset();
        }
    }
}
