package nettlewick.net.endpoint;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.parsetools.RecordParser;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import nettlewick.core.Attempt;
import nettlewick.core.Request;
import nettlewick.decision.AttemptResult;
import nettlewick.decision.EndpointLoad;
import nettlewick.net.format.JsonFields;

/** One attempt to have an endpoint serve a request; the response reports its progress line by line. */
final class AttemptExchange extends OutboundRequest {
    /** A result has at most 64 KiB, and JSON may need six bytes to encode one. */
    private static final int MAX_LINE_BYTES = 6 * 65536 + 4096;

    /** A duplicate response follows the first within this time. */
    private static final double DUPLICATE_ANSWER_WINDOW_MILLIS = 50;

    private final Attempt attempt;
    private final ProgressCoalescer progress;

    AttemptExchange(Attempt attempt, EndpointConnectionPools pools) {
        super(pools);
        this.attempt = attempt;
        progress = new ProgressCoalescer(
                share -> pools.coordinator().reportProgress(attempt, share), pools::runAtEndOfTurn);
    }

    @Override
    RequestOptions requestOptions() {
        Request request = attempt.request();
        ForwardedRequest forwarded = (ForwardedRequest) request.payload();
        double remainingSeconds = Math.max(0.001, (request.deadlineMillis() - pools().now()) / 1000);
        RequestOptions options = new RequestOptions()
                .setMethod(forwarded.method())
                .setURI(forwarded.uri())
                .putHeader("X-Request-Id", request.id())
                .putHeader("X-Class", request.requestClass())
                .putHeader("X-Deadline", String.format(Locale.ROOT, "%.3f", remainingSeconds))
                .putHeader("Content-Length", Integer.toString(forwarded.body().length()));
        if (forwarded.idempotencyKey() != null) {
            options.putHeader("Idempotency-Key", forwarded.idempotencyKey());
        }
        return options;
    }

    @Override
    boolean mayStillSend() {
        return attempt.mayStart(pools().now());
    }

    @Override
    double requiredIdleMillis() {
        return pools().config().isIdempotentClass(attempt.request().requestClass())
                ? 0
                : DUPLICATE_ANSWER_WINDOW_MILLIS;
    }

    @Override
    Buffer body() {
        return ((ForwardedRequest) attempt.request().payload()).body();
    }

    @Override
    void readResponse(HttpClientResponse response) {
        if (response.statusCode() != OK) {
            finish(resultOfError(response), null, LoadReport.parse(response.getHeader("X-Load")));
            return;
        }
        RecordParser lines = RecordParser.newDelimited("\n").maxRecordSize(MAX_LINE_BYTES);
        // The parser keeps on buffering a line that is too long, so nothing more may reach it.
        lines.exceptionHandler(e -> abandon(AttemptResult.ERROR));
        lines.handler(line -> {
            if (!isOver() && line.length() > 0) {
                handleLine(line.toString(StandardCharsets.UTF_8));
            }
        });
        response.handler(part -> {
            if (isOver()) {
                discard(part);
            } else {
                lines.handle(part);
            }
        });
    }

    private void handleLine(String text) {
        try {
            JsonFields fields = JsonFields.parse("a line", text);
            if (fields.has("id") && !fields.text("id").equals(attempt.request().id())) {
                // The line belongs to another request: whether this one ran is unknown, so it counts as failed.
                abandon(AttemptResult.ERROR);
                return;
            }
            EndpointLoad load = fields.has("load") ? LoadReport.fromJson(fields.object("load")) : null;
            switch (fields.text("state")) {
                case "started" -> progress.report(0);
                case "running" -> progress.report(fields.numberOr("share", 0, 0, 1));
                case "done" ->
                    finish(AttemptResult.SERVED, fields.text("result").getBytes(StandardCharsets.UTF_8), load);
                case "failed" -> finish(AttemptResult.ERROR, null, load);
                case "returned" -> finish(AttemptResult.OVERLOADED, null, load);
                case "lost" -> finish(AttemptResult.BROKEN, null, load);
                default -> {}
            }
        } catch (JsonFields.InvalidFieldException e) {
            abandon(AttemptResult.ERROR);
        }
    }

    @Override
    void requestWritten() {
        pools().coordinator().metrics().countForwarded();
    }

    @Override
    void bodyEnded() {
        // A response that ends without its final line leaves open whether the request ran.
        connectionLost();
    }

    @Override
    void reportOutcome(Attempt.Outcome outcome) {
        progress.flush();
        pools().coordinator().attemptEnded(attempt, outcome);
    }
}
