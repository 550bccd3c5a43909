package nettlewick.net.endpoint;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import java.nio.charset.StandardCharsets;
import nettlewick.core.Attempt;
import nettlewick.core.Probe;
import nettlewick.decision.AttemptResult;

/** A request to an endpoint for its load report. */
final class LoadProbe extends OutboundRequest {
    private static final int MAX_REPORT_BYTES = 4096;

    private final Probe probe;
    private final Buffer report = Buffer.buffer();
    private AttemptResult result;

    LoadProbe(Probe probe, EndpointConnectionPools pools) {
        super(pools);
        this.probe = probe;
    }

    @Override
    RequestOptions requestOptions() {
        return new RequestOptions().setMethod(HttpMethod.GET).setURI("/_load");
    }

    @Override
    Buffer body() {
        return Buffer.buffer();
    }

    @Override
    boolean mayResend() {
        return true;
    }

    @Override
    void readResponse(HttpClientResponse response) {
        result = response.statusCode() == OK ? AttemptResult.SERVED : resultOfError(response);
        response.handler(part -> {
            if (report.length() + part.length() <= MAX_REPORT_BYTES) {
                report.appendBuffer(part);
            }
        });
    }

    @Override
    void bodyEnded() {
        finish(result, null, LoadReport.parse(report.toString(StandardCharsets.UTF_8)));
    }

    @Override
    void reportOutcome(Attempt.Outcome outcome) {
        pools().coordinator().probeAnswered(probe, outcome);
    }
}
