package nettlewick.sse;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerResponse;

/**
 * One client's connection to a stream. At most one progress event and one final event are pending for a slow client:
 * while its write queue is full, newer progress replaces older progress, and the final event waits. A large final event
 * is written in parts, so that a client that does not read holds little memory. Confined to the event loop.
 */
final class StreamSubscriber {
    private static final int WRITE_QUEUE_BYTES = 8 * 1024;
    private static final int FINAL_PART_BYTES = 8 * 1024;

    /**
     * Starts a block without data: it dispatches no event, but its id is the {@code Last-Event-ID} with which the
     * client reconnects, even if it has seen no event by then.
     */
    private static final String OPENING_ID_PREFIX = "id: ";

    private final HttpServerResponse response;
    private final long lastSeenId;
    private final Runnable connectionCloser;
    private final Promise<Void> finalEventWritten = Promise.promise();
    private StreamEvent pendingProgress;
    /** The part of the final event that is not written yet; null before the final event. */
    private Buffer unwrittenFinal;

    private boolean isWritingFinal;
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
        response.write("retry: " + retryMillis + "\n\n" + OPENING_ID_PREFIX + lastSeenId + "\n\n");
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
            unwrittenFinal = event.toWire();
        } else {
            pendingProgress = event;
        }
        flush();
    }

    private void flush() {
        if (isWritingFinal || !isWritable()) {
            return;
        }
        if (pendingProgress != null) {
            response.write(pendingProgress.toWire());
            pendingProgress = null;
        }
        if (unwrittenFinal != null) {
            isWritingFinal = true;
            writeNextFinalPart();
        }
    }

    /**
     * Writes the next part of the final event once the one before it has been accepted by the socket. The write queue
     * does not report that it is full before the end of the event-loop turn that fills it.
     */
    private void writeNextFinalPart() {
        if (!isOpen()) {
            return;
        }
        if (unwrittenFinal.length() <= FINAL_PART_BYTES) {
            response.end(unwrittenFinal).onComplete(finalEventWritten);
            return;
        }
        Buffer part = unwrittenFinal.slice(0, FINAL_PART_BYTES);
        unwrittenFinal = unwrittenFinal.slice(FINAL_PART_BYTES, unwrittenFinal.length());
        response.write(part).onSuccess(v -> writeNextFinalPart());
    }

    /** Writes a comment, so that proxies do not close an idle stream; never inside the final event. */
    void sendHeartbeat() {
        if (unwrittenFinal == null && isWritable()) {
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
