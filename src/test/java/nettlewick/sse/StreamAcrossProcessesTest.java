package nettlewick.sse;

import static nettlewick.net.DispatcherOnStubPlatform.waitUntil;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpServerRequest;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import nettlewick.net.DispatcherOnStubPlatform;
import nettlewick.net.DispatcherServer;
import nettlewick.settings.Settings;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * A client whose connection breaks while its request waits at an endpoint, before the first event, and that reconnects
 * as the specification of server-sent events says: it sends the request again, with the last id that it received.
 */
@Timeout(60)
class StreamAcrossProcessesTest {
    /** What happens to the first process before the client reconnects. */
    enum Departure {
        /** It is gone at once. */
        KILLED,
        /** It ends after SIGTERM, while the client is not connected. */
        SHUT_DOWN,
        /** It still has the request, but no longer accepts clients. */
        STILL_RUNNING
    }

    private DispatcherOnStubPlatform platform;
    private HttpClient httpClient;
    private DispatcherServer first;
    private boolean isFirstClosed;
    private DispatcherServer second;
    private final List<HttpServerRequest> waitingRequests = new CopyOnWriteArrayList<>();

    @BeforeEach
    void open() throws Exception {
        platform = new DispatcherOnStubPlatform();
        platform.addEndpoint("s-1");
        platform.requestOverride = waitingRequests::add;
        httpClient = EventStreamClient.newHttpClient(platform.vertx);
        first = startDispatcher();
        second = startDispatcher();
    }

    private DispatcherServer startDispatcher() throws Exception {
        EventStreamConfig config = EventStreamConfig.of(Settings.parse("test", "edge {\nlisten 127.0.0.1:0\n}")
                .block("edge")
                .get());
        return platform.start(environment -> new EventStreamFrontend(environment, config));
    }

    @AfterEach
    void close() throws Exception {
        closeFirst();
        platform.close();
    }

    private void closeFirst() throws Exception {
        if (!isFirstClosed) {
            isFirstClosed = true;
            DispatcherOnStubPlatform.awaitResult(first.close());
        }
    }

    private static int streamPort(DispatcherServer dispatcher) {
        return dispatcher.ports().get(1);
    }

    /** Submits a request at the first process and waits until an endpoint has it, without a word of its start. */
    private EventStreamClient submit(String requestClass) throws InterruptedException {
        EventStreamClient client = new EventStreamClient(platform.vertx, streamPort(first), "m", requestClass);
        client.post(httpClient);
        waitUntil(() -> waitingRequests.size() == 1 && client.rawText.contains("retry: "));
        assertTrue(client.events.isEmpty());
        return client;
    }

    private void end(Departure departure, EventStreamClient client) throws Exception {
        switch (departure) {
            case KILLED -> closeFirst();
            case SHUT_DOWN -> {
                client.disconnect();
                first.shutDown();
            }
            default -> client.disconnect();
        }
    }

    /** Guards against a second run of a request whose client lost its process, or reached another one. */
    @ParameterizedTest
    @EnumSource
    void aNonIdempotentRequestIsNotSentByASecondProcess(Departure departure) throws Exception {
        EventStreamClient client = submit("mark-submit");
        end(departure, client);
        client.reconnectTo(streamPort(second), httpClient);
        client.ended.get(10, TimeUnit.SECONDS);
        assertEquals(
                List.of("failed"),
                client.events.stream()
                        .map(EventStreamClient.ReceivedEvent::name)
                        .toList());
        assertEquals(1, waitingRequests.size());
    }

    /** Guards against a repetition outside the scope or the window of a key, which another process does not know. */
    @Test
    void aKeyedRequestIsNotSentByASecondProcess() throws Exception {
        EventStreamClient client = submit("save-run");
        end(Departure.KILLED, client);
        client.reconnectTo(streamPort(second), httpClient);
        client.ended.get(10, TimeUnit.SECONDS);
        assertEquals("failed", client.lastEvent().name());
        assertEquals(1, waitingRequests.size());
    }

    /** Guards against losing requests that can be repeated safely. */
    @Test
    void anIdempotentRequestIsServedByASecondProcess() throws Exception {
        EventStreamClient client = submit("step-view");
        end(Departure.KILLED, client);
        platform.requestOverride = null;
        client.reconnectTo(streamPort(second), httpClient);
        client.ended.get(10, TimeUnit.SECONDS);
        assertEquals("result", client.lastEvent().name());
        assertEquals(1, client.finalEventCount());
    }

    /** Guards against a second run when only the connection breaks: the client gets the result of the first one. */
    @Test
    void aClientThatReturnsToTheSameProcessGetsTheResult() throws Exception {
        EventStreamClient client = submit("mark-submit");
        client.reconnect(httpClient);
        waitUntil(() -> client.status == 200);
        waitingRequests.get(0).response().end("{\"state\":\"done\",\"result\":\"r-m\"}\n");
        client.ended.get(10, TimeUnit.SECONDS);
        assertEquals("{\"result\":\"r-m\"}", client.lastEvent().data());
        assertEquals(1, waitingRequests.size());
    }
}
