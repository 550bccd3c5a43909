package nettlewick.net;

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

/** One attempt of an RPC at a sim runner; the answer tells of it line by line. */
final class AttemptExchange extends OutboundRequest {
    /** A result is 64 KiB at most, and JSON may write a byte of it in six. */
    private static final int LINE_MOST = 6 * 65536 + 4096;

    /** A second answer to one request comes some milliseconds after the first; at most this many. */
    private static final double SECOND_ANSWER = 50;

    private final Attempt attempt;

    AttemptExchange(Attempt attempt, EndpointConnectionPools subchannels) {
        super(subchannels);
        this.attempt = attempt;
    }

    @Override
    RequestOptions head() {
        Request request = attempt.request();
        ForwardedRequest rpc = (ForwardedRequest) request.cargo();
        double left = Math.max(0.001, (request.deadline() - subchannels.now()) / 1000);
        RequestOptions head = new RequestOptions()
                .setMethod(rpc.method())
                .setURI(rpc.uri())
                .putHeader("X-Request-Id", request.id())
                .putHeader("X-Class", request.requestClass())
                .putHeader("X-Deadline", String.format(Locale.ROOT, "%.3f", left))
                .putHeader("Content-Length", Integer.toString(rpc.body().length()));
        if (rpc.idempotencyKey() != null) {
            head.putHeader("Idempotency-Key", rpc.idempotencyKey());
        }
        return head;
    }

    @Override
    boolean mayBegin() {
        return attempt.mayBegin(subchannels.now());
    }

    @Override
    double rest() {
        return subchannels.config().mayRepeat(attempt.request().requestClass()) ? 0 : SECOND_ANSWER;
    }

    @Override
    Buffer body() {
        return ((ForwardedRequest) attempt.request().cargo()).body();
    }

    @Override
    void answer(HttpClientResponse response) {
        if (response.statusCode() != OK) {
            finish(unserved(response), null, LoadReport.parse(response.getHeader("X-Load")));
            return;
        }
        RecordParser lines = RecordParser.newDelimited("\n").maxRecordSize(LINE_MOST);
        lines.exceptionHandler(e -> finish(AttemptResult.ERROR, null, null));
        lines.handler(line -> {
            if (!over() && line.length() > 0) {
                line(line.toString(StandardCharsets.UTF_8));
            }
        });
        response.handler(lines);
    }

    private void line(String text) {
        try {
            JsonFields f = JsonFields.parse("a line", text);
            if (f.has("id") && !f.text("id").equals(attempt.request().id())) {
                // Meant for another request: what became of this one is not known, and it is served by
                // nobody.
                finish(AttemptResult.ERROR, null, null);
                return;
            }
            EndpointLoad load = f.has("load") ? LoadReport.of(f.part("load")) : null;
            switch (f.text("state")) {
                case "started" -> subchannels.core().reportProgress(attempt, 0);
                case "running" -> subchannels.core().reportProgress(attempt, f.numberOr("share", 0, 0, 1));
                case "done" -> finish(AttemptResult.SERVED, f.text("result").getBytes(StandardCharsets.UTF_8), load);
                case "failed" -> finish(AttemptResult.ERROR, null, load);
                case "returned" -> finish(AttemptResult.OVERLOADED, null, load);
                case "lost" -> finish(AttemptResult.BROKEN, null, load);
                default -> {}
            }
        } catch (JsonFields.InvalidFieldException e) {
            finish(AttemptResult.ERROR, null, null);
        }
    }

    @Override
    void sent() {
        subchannels.core().figures().relayed();
    }

    @Override
    void answered() {
        // Danger: an answer that ends in good order without its last line tells nothing: it may have run.
        broke();
    }

    @Override
    void tell(Attempt.Outcome outcome) {
        subchannels.core().attemptEnded(attempt, outcome);
    }
}
