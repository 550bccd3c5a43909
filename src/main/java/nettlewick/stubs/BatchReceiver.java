package nettlewick.stubs;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

/**
 * A receiver of batches that a ledger exports. Identifies each by dispatcher, export and number, and stores a repeated
 * one once. A test may have it fail before or after it has stored a batch.
 */
public final class BatchReceiver implements AutoCloseable {
    /** How a call is handled. */
    public enum Behavior {
        /** The batch is stored and acknowledged. */
        TAKEN,
        /** Status 503; the batch is not stored. */
        REFUSED_BEFORE,
        /** The batch is stored, then status 500. */
        ERROR_AFTER,
        /** No response; the batch is not stored. */
        SILENT_BEFORE,
        /** The batch is stored and the connection closed after a minute without a response. */
        SILENT_AFTER,
        /** The batch is stored and the connection closed at once. */
        RESET_AFTER,
        /** The same as {@link #TAKEN}. */
        TWICE
    }

    private final Vertx vertx = Vertx.vertx();
    private final HttpServer server;
    private final Map<String, String> checksums = new ConcurrentHashMap<>();
    private final Map<String, Buffer> receivedBatches = new ConcurrentHashMap<>();
    private volatile Function<String, Behavior> responder = batch -> Behavior.TAKEN;
    private volatile String conflictingBatch;

    public BatchReceiver() throws Exception {
        server = vertx.createHttpServer().requestHandler(this::serve);
        StubPlatform.awaitResult(server.listen(0, "127.0.0.1"));
    }

    public int port() {
        return server.actualPort();
    }

    /** Sets the function that decides how a batch is handled, by its name; it is called on the event loop. */
    public void setResponder(Function<String, Behavior> newResponder) {
        responder = newResponder;
    }

    /** All stored batches, by {@code dispatcher/export/number}. */
    public Map<String, Buffer> receivedBatches() {
        return receivedBatches;
    }

    /** The name of a batch that was received with two different checksums; null if there is none. */
    public String conflictingBatch() {
        return conflictingBatch;
    }

    private void serve(HttpServerRequest request) {
        String batch = request.getHeader("X-Batch-Dispatcher") + "/" + request.getHeader("X-Batch-Export")
                + "/"
                + request.getHeader("X-Batch-Number");
        String checksum = request.getHeader("X-Batch-Sum");
        request.exceptionHandler(e -> {});
        request.body().onSuccess(body -> {
            Behavior behavior = responder.apply(batch);
            if (behavior == Behavior.REFUSED_BEFORE) {
                request.response().setStatusCode(503).end("later");
                return;
            }
            if (behavior == Behavior.SILENT_BEFORE) {
                return;
            }
            String knownChecksum = checksums.putIfAbsent(batch, checksum);
            if (knownChecksum != null && !knownChecksum.equals(checksum)) {
                conflictingBatch = batch;
                request.response().setStatusCode(409).end("another content under this number");
                return;
            }
            receivedBatches.put(batch, body);
            switch (behavior) {
                case ERROR_AFTER -> request.response().setStatusCode(500).end("broke after it was taken");
                case RESET_AFTER -> request.connection().close();
                case SILENT_AFTER ->
                    vertx.setTimer(
                            TimeUnit.MINUTES.toMillis(1),
                            timer -> request.connection().close());
                default -> request.response().end(knownChecksum == null ? "taken" : "known");
            }
        });
    }

    @Override
    public void close() throws Exception {
        StubPlatform.awaitResult(vertx.close());
    }
}
