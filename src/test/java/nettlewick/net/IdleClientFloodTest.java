package nettlewick.net;

import static nettlewick.net.DispatcherOnStubPlatform.requestBytes;
import static nettlewick.net.DispatcherOnStubPlatform.waitUntil;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.Gson;
import io.vertx.core.http.HttpServerRequest;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentLinkedQueue;
import nettlewick.core.Clock;
import nettlewick.net.client.PlatformFrontend;
import nettlewick.net.config.PlatformConfig;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Idle clients that use up the descriptors for clients while discovery is down. */
@Timeout(60)
class IdleClientFloodTest {
    private static final int SOCKETS = 160;
    private static final int IDLE_CLIENTS = 120;
    private final List<RawClient> idleClients = new ArrayList<>();
    private DispatcherOnStubPlatform platform;
    private Map<String, Object> config;

    @BeforeEach
    void open() throws Exception {
        platform = new DispatcherOnStubPlatform();
        config = platform.config();
        config.put("limits", Map.of("cores", 0.5, "memory_mb", 144, "sockets", SOCKETS));
        platform.addEndpoint("s-1");
    }

    @AfterEach
    void close() throws IOException {
        for (RawClient client : idleClients) {
            client.close();
        }
        platform.close();
    }

    private void connectIdleClients(int port) throws IOException {
        for (int i = 0; i < IDLE_CLIENTS; i++) {
            idleClients.add(new RawClient(port));
        }
    }

    private static boolean isServed(int port, String id) {
        try (RawClient client = new RawClient(port)) {
            RawClient.Response response =
                    client.send(requestBytes("/api", id, "step-view", "5")).read();
            return response != null && response.body().equals("r-" + id);
        } catch (IOException e) {
            return false;
        }
    }

    /** Guards against idle clients that take the descriptors for endpoints and discovery. */
    @Test
    void reachesDiscoveryAndEndpointsDespiteIdleClients() throws Exception {
        DispatcherServer dispatcher = platform.start(config);
        int port = dispatcher.ports().get(0);
        waitUntil(() -> isServed(port, "first" + System.nanoTime()));
        platform.discoveryOverride = request -> request.connection().close();
        platform.resetWatches();
        connectIdleClients(port);
        waitUntil(() -> isServed(port, "crowded" + System.nanoTime()));
        // Discovery is back and lists another endpoint: it is called, and the endpoint is reached, while the idle
        // clients stay.
        platform.addEndpoint("s-2");
        platform.announceHealth("s-1", "Terminating");
        platform.discoveryOverride = null;
        waitUntil(() -> isServed(port, "back" + System.nanoTime())
                && platform.receivedRequests.stream().anyMatch(s -> s.startsWith("s-2 ")));
        assertTrue(dispatcher.hasEndpointList());
    }

    /**
     * Guards against a restarted dispatcher that waits for an unresponsive discovery: it serves from its configured
     * list.
     */
    @Test
    void restartedDispatcherIsReadyWithoutDiscovery() throws Exception {
        ConcurrentLinkedQueue<HttpServerRequest> unansweredWatches = new ConcurrentLinkedQueue<>();
        platform.discoveryOverride = unansweredWatches::add;
        config.put("known", platform.currentEndpointList());
        DispatcherServer dispatcher = new DispatcherServer(
                PlatformConfig.parse(new Gson().toJson(config), Map.of()), Clock.system(), PlatformFrontend::new);
        DispatcherOnStubPlatform.awaitResult(dispatcher.start());
        int port = dispatcher.ports().get(0);
        connectIdleClients(port);
        try (RawClient client = new RawClient(port)) {
            assertEquals(
                    200,
                    client.send("GET /_health HTTP/1.1\r\nHost: x\r\n\r\n")
                            .read()
                            .status());
        }
        assertTrue(isServed(port, "known"));
        DispatcherOnStubPlatform.awaitResult(dispatcher.close());
    }
}
