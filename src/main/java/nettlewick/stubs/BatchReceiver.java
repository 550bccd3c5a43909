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
 * Somebody who takes batches of a ledger: knows each by dispatcher, export and number, and takes the same one
 * once.
 * A script may have it fail before, or after, it has taken one.
 */
public final class BatchReceiver implements AutoCloseable {
    /** What becomes of a call. */
    public enum Behavior {
        TAKEN,
        REFUSED_BEFORE,
        ERROR_AFTER,
        SILENT_BEFORE,
        SILENT_AFTER,
        RESET_AFTER,
        TWICE
    }

    private final Vertx vertx = Vertx.vertx();
    private final HttpServer server;
    private final Map<String, String> sums = new ConcurrentHashMap<>();
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

    /** Decides on each call by its batch's name; called on the event loop. */
    public void setResponder(Function<String, Behavior> next) {
        responder = next;
    }

    /** All batches that were taken, by {@code dispatcher/export/number}. */
    public Map<String, Buffer> receivedBatches() {
        return receivedBatches;
    }

    /** A number that came with two contents; null if none did. */
    public String conflictingBatch() {
        return conflictingBatch;
    }

    private void serve(HttpServerRequest request) {
        String batch = request.getHeader("X-Batch-Dispatcher") + "/" + request.getHeader("X-Batch-Export")
                + "/"
                + request.getHeader("X-Batch-Number");
        String sum = request.getHeader("X-Batch-Sum");
        request.exceptionHandler(e -> {});
        request.body().onSuccess(body -> {
            Behavior fate = responder.apply(batch);
            if (fate == Behavior.REFUSED_BEFORE) {
                request.response().setStatusCode(503).end("later");
                return;
            }
            if (fate == Behavior.SILENT_BEFORE) {
                return;
            }
            String before = sums.putIfAbsent(batch, sum);
            if (before != null && !before.equals(sum)) {
                conflictingBatch = batch;
                request.response().setStatusCode(409).end("another content under this number");
                return;
            }
            receivedBatches.put(batch, body);
            switch (fate) {
                case ERROR_AFTER -> request.response().setStatusCode(500).end("broke after it was taken");
                case RESET_AFTER -> request.connection().close();
                case SILENT_AFTER ->
                    vertx.setTimer(
                            TimeUnit.MINUTES.toMillis(1),
                            t -> request.connection().close());
                default -> request.response().end(before == null ? "taken" : "known");
            }
        });
    }

    @Override
    public void close() throws Exception {
        StubPlatform.awaitResult(vertx.close());
    }
}
