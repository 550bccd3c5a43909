package nettlewick.pcap;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpMethod;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicReference;
import nettlewick.core.Clock;
import nettlewick.decision.SchedulerSettings.Idempotency;
import nettlewick.decision.SchedulerSettings.RequestClass;
import nettlewick.decision.SchedulerSettings.Scope;
import nettlewick.net.DispatcherOnStubPlatform;
import nettlewick.net.client.PlatformFrontend;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Which captured requests a replay sends once more. */
@Timeout(30)
class ReplayedRequestsTest {
    private static final double CAPTURED_AT_MILLIS = 1000;
    private static final long WINDOW_NANOS = 5_000_000_000L;

    /** Guards against a replay that runs a request a second time which must not run twice. */
    @Test
    void aServedNonIdempotentRequestIsNeverReplayed() throws Exception {
        Capture capture = captureServedRequests("mark-submit", "step-view", "mark-submit");
        try (DispatcherOnStubPlatform platform = new DispatcherOnStubPlatform()) {
            platform.addEndpoint("s-1");
            AtomicReference<CaptureReplayer> replayer = new AtomicReference<>();
            platform.start(environment -> {
                replayer.set(new CaptureReplayer(environment, capture));
                return replayer.get();
            });
            assertEquals(
                    new CaptureReplayer.Summary(1, 1, 0, 0, 0, 2, 0),
                    DispatcherOnStubPlatform.awaitResult(replayer.get().whenDone()));
            assertEquals(1, platform.receivedRequests.size());
        }
    }

    /** Guards against repeating a keyed request where its key may be unknown. */
    @ParameterizedTest
    @CsvSource({
        "IDEMPOTENT, ZONE, , Infinity",
        "NON_IDEMPOTENT, ALL, key, -Infinity",
        "KEYED, ALL, key, 6000",
        "KEYED, ZONE, key, -Infinity",
        "KEYED, CELL, key, -Infinity",
        "KEYED, ALL, , -Infinity"
    })
    void aRequestIsRepeatedOnlyWhileItsClassAndKeyAllow(
            Idempotency idempotency, Scope scope, String key, double latestStartMillis) {
        RequestClass requestClass =
                new RequestClass("c", idempotency, scope, WINDOW_NANOS, 1, 0, 1, 1, 0, false, -1, 0);
        assertEquals(latestStartMillis, ReplayPolicy.latestStartMillis(requestClass, key, CAPTURED_AT_MILLIS));
    }

    private static Capture captureServedRequests(String... requestClasses) throws Exception {
        ByteArrayOutputStream file = new ByteArrayOutputStream();
        try (DispatcherOnStubPlatform platform = new DispatcherOnStubPlatform()) {
            platform.addEndpoint("s-1");
            CaptureWriter writer = new CaptureWriter(file, Clock.system(), 1 << 20);
            int port = platform.start(environment -> new PlatformFrontend(environment, writer))
                    .ports()
                    .get(1);
            var client = platform.vertx.createHttpClient(new HttpClientOptions().setDefaultPort(port));
            for (int i = 0; i < requestClasses.length; i++) {
                Map<String, String> headers =
                        Map.of("X-Request-Id", "r" + i, "X-Class", requestClasses[i], "X-Deadline", "4");
                Buffer result =
                        DispatcherOnStubPlatform.awaitResult(client.request(HttpMethod.POST, port, "127.0.0.1", "/api")
                                .compose(request -> {
                                    request.headers().addAll(headers);
                                    return request.send("{}");
                                })
                                .compose(response -> response.body()));
                assertEquals("r-r" + i, result.toString().substring(0, 4), "it was served");
            }
        }
        Capture capture = Capture.read(new ByteArrayInputStream(file.toByteArray()));
        assertEquals(
                List.of("/api", "/api", "/api"),
                capture.requests().stream().map(RecordedRequest::uri).toList());
        return capture;
    }
}
