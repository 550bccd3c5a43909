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
    private static final int BUFFER = 8 * 1024;

    private final HttpServerResponse response;
    private final long after;
    private StreamEvent progress;
    private StreamEvent last;
    private boolean left;
    private final Promise<Void> written = Promise.promise();

    /** {@code after} is the id of the last event that the client has seen. */
    StreamSubscriber(HttpServerResponse response, long after, long retry) {
        this.response = response;
        this.after = after;
        response.setChunked(true).setWriteQueueMaxSize(BUFFER);
        response.putHeader("Content-Type", "text/event-stream").putHeader("Cache-Control", "no-store");
        response.exceptionHandler(e -> {});
        response.drainHandler(v -> flush());
        response.write("retry: " + retry + "\n\n");
    }

    /** Done when the final event is written. */
    Future<Void> written() {
        return written.future();
    }

    /** True once only: the reader is counted off once, however its connection ended. */
    boolean leave() {
        boolean first = !left;
        left = true;
        return first;
    }

    void offer(StreamEvent event) {
        if (event == null || event.id() <= after) {
            return;
        }
        if (event.last()) {
            last = event;
        } else {
            progress = event;
        }
        flush();
    }

    private void flush() {
        if (response.ended() || response.closed() || response.writeQueueFull()) {
            return;
        }
        if (progress != null) {
            response.write(progress.text());
            progress = null;
        }
        if (last != null) {
            response.end(last.text()).onComplete(written);
        }
    }

    /** A comment, so that no one on the way takes the stream for dead. */
    void heartbeat() {
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
