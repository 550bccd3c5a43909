package nettlewick.net;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import java.nio.charset.StandardCharsets;
import nettlewick.core.Attempt;
import nettlewick.core.Probe;
import nettlewick.decision.AttemptResult;

/** A question to a sim runner for its load. */
final class LoadProbe extends OutboundRequest {
    private static final int MOST = 4096;

    private final Probe probe;
    private final Buffer report = Buffer.buffer();
    private AttemptResult result;

    LoadProbe(Probe probe, EndpointConnectionPools subchannels) {
        super(subchannels);
        this.probe = probe;
    }

    @Override
    RequestOptions head() {
        return new RequestOptions().setMethod(HttpMethod.GET).setURI("/_load");
    }

    @Override
    Buffer body() {
        return Buffer.buffer();
    }

    @Override
    boolean harmless() {
        return true;
    }

    @Override
    void answer(HttpClientResponse response) {
        result = response.statusCode() == OK ? AttemptResult.SERVED : unserved(response);
        response.handler(part -> {
            if (report.length() + part.length() <= MOST) {
                report.appendBuffer(part);
            }
        });
    }

    @Override
    void answered() {
        finish(result, null, LoadReport.parse(report.toString(StandardCharsets.UTF_8)));
    }

    @Override
    void tell(Attempt.Outcome outcome) {
        subchannels.core().probeAnswered(probe, outcome);
    }
}
