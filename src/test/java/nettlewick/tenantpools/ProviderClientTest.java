package nettlewick.tenantpools;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import nettlewick.ConcurrentCallers;
import nettlewick.stubs.StubPlatform;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Requests from many threads to a provider that responds immediately. */
@Timeout(60)
class ProviderClientTest {
    private static final int CALLS_PER_CALLER = 200;
    private static final int TIMEOUT_MILLIS = 10_000;
    private static final int STATUS_PRECONDITION_FAILED = 412;

    private Vertx vertx;

    @BeforeEach
    void createVertx() {
        vertx = Vertx.vertx();
    }

    @AfterEach
    void closeVertx() throws Exception {
        StubPlatform.awaitResult(vertx.close());
    }

    private URI startProvider() throws Exception {
        HttpServer server = vertx.createHttpServer()
                .requestHandler(request -> request.response()
                        .setStatusCode(STATUS_PRECONDITION_FAILED)
                        .end());
        return URI.create("http://127.0.0.1:"
                + StubPlatform.awaitResult(server.listen(0, "127.0.0.1")).actualPort());
    }

    private static List<ProviderAnswer> callRepeatedly(URI url) throws Exception {
        List<ProviderAnswer> answers = new ArrayList<>();
        try (ProviderClient client = new ProviderClient(url, TIMEOUT_MILLIS)) {
            for (int i = 0; i < CALLS_PER_CALLER; i++) {
                CompletableFuture<ProviderAnswer> answer = new CompletableFuture<>();
                client.fetchReport("red", 0, answer::complete);
                answers.add(answer.get(2 * TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
            }
        }
        return answers;
    }

    /**
     * Guards against a response that counts as missing because its body was requested after the end of the response.
     */
    @Test
    void everyAnswerIsReadEvenIfTheCallerIsScheduledLate() throws Exception {
        URI url = startProvider();
        List<ProviderAnswer> unexpected = ConcurrentCallers.runOnEach(() -> callRepeatedly(url)).stream()
                .filter(answer -> !(answer instanceof ProviderAnswer.VersionConflict))
                .toList();
        assertEquals(List.of(), unexpected);
    }
}
