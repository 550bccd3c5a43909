package nettlewick.net;

import static nettlewick.net.DispatcherOnStubPlatform.requestBytes;
import static nettlewick.net.DispatcherOnStubPlatform.waitUntil;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;

/**
 * What may have changed by the time a connection to an endpoint is established: the client, the endpoint, the dedup
 * window.
 */
class LateEndpointConnectionTest extends ConnectionRaceTestBase {
    /** Guards against starting an attempt when its connection is established after the client has left. */
    @Test
    void sendsNothingOnceTheClientHasLeft() throws Exception {
        setCeiling("probes", false);
        setCeiling("connect_timeout", 10_000_000_000L);
        try (RawEndpoint endpoint = new RawEndpoint().fillAcceptQueue()) {
            platform.addEndpoint("s-1", endpoint.port());
            int port = start();
            RawClient departedClient = new RawClient(port);
            departedClient.send(requestBytes("/api", "gone", "mark-submit", ""));
            waitUntil(() -> platform.dispatcher().endpointPools().pendingConnects() == 1);
            departedClient.close();
            waitUntil(() -> !platform.dispatcher().frontends().get(0).hasConnections());
            endpoint.startAccepting();
            waitUntil(() -> endpoint.accepted.size() == 1);
            awaitEventLoop(port);
            try (RawClient remainingClient = new RawClient(port)) {
                assertEquals(
                        "r-stays",
                        remainingClient
                                .send(requestBytes("/api", "stays", "step-view", ""))
                                .read()
                                .body());
            }
            assertEquals(List.of("stays"), endpoint.receivedIds());
            assertEquals(1, endpoint.accepted.size(), "the late connection serves the next request");
        }
    }

    /** Guards against forwarding a request while the close of its client is unread in the socket. */
    @Test
    void noticesAnUnreadCloseBeforeForwarding() throws Exception {
        setCeiling("probes", false);
        setCeiling("connect_timeout", 10_000_000_000L);
        try (RawEndpoint endpoint = new RawEndpoint().fillAcceptQueue()) {
            platform.addEndpoint("s-1", endpoint.port());
            int port = start();
            RawClient departedClient = new RawClient(port);
            departedClient.send(requestBytes("/api", "gone", "mark-submit", ""));
            waitUntil(() -> platform.dispatcher().endpointPools().pendingConnects() == 1);
            BlockedEventLoop loop = new BlockedEventLoop(platform.dispatcher());
            // While the loop is blocked, the endpoint accepts the connection, and then the client leaves.
            endpoint.startAccepting();
            waitUntil(() -> endpoint.accepted.size() == 1);
            departedClient.close();
            loop.release();
            awaitEventLoop(port);
            try (RawClient remainingClient = new RawClient(port)) {
                assertEquals(
                        "r-stays",
                        remainingClient
                                .send(requestBytes("/api", "stays", "step-view", ""))
                                .read()
                                .body());
            }
            assertEquals(List.of("stays"), endpoint.receivedIds());
        }
    }

    /**
     * Guards against sending a request to an endpoint that began to drain, or restarted, while the connection was being
     * established.
     */
    @Test
    void sendsNothingOnceTheEndpointHasChanged() throws Exception {
        setCeiling("probes", false);
        setCeiling("connect_timeout", 10_000_000_000L);
        for (boolean drains : new boolean[] {true, false}) {
            try (RawEndpoint endpoint = new RawEndpoint().fillAcceptQueue();
                    DispatcherOnStubPlatform ownPlatform = new DispatcherOnStubPlatform()) {
                Map<String, Object> ownConfig = ownPlatform.config();
                ownConfig.put("settings", config.get("settings"));
                ownPlatform.addEndpoint("s-1", endpoint.port());
                int port = ownPlatform.start(ownConfig).ports().get(0);
                waitUntil(() -> isHealthy(port));
                try (RawClient client = new RawClient(port)) {
                    client.send(requestBytes("/api", "a", "mark-submit", ""));
                    waitUntil(() -> ownPlatform.dispatcher().endpointPools().pendingConnects() == 1);
                    ownPlatform.announceHealth(
                            "s-1", drains ? "Terminating" : "Ready", drains ? 0 : System.currentTimeMillis());
                    waitUntil(() -> ownPlatform.dispatcher().endpointPools().updatesOf("s-1") == 2);
                    endpoint.startAccepting();
                    assertEquals(503, client.read().status());
                    assertEquals(List.of(), endpoint.receivedIds());
                }
            }
        }
    }

    /** Guards against retrying a keyed request after its dedup window because the connection was established late. */
    @Test
    @SuppressWarnings("unchecked")
    void doesNotRetryAfterTheDedupWindow() throws Exception {
        setCeiling("probes", false);
        setCeiling("connect_timeout", 10_000_000_000L);
        Map<String, Object> settings = (Map<String, Object>) config.get("settings");
        List<Map<String, Object>> classes = new ArrayList<>();
        for (Object requestClass : (List<?>) settings.get("classes")) {
            Map<String, Object> changedClass = new HashMap<>((Map<String, Object>) requestClass);
            changedClass.put("window", 1_500_000_000L);
            classes.add(changedClass);
        }
        settings.put("classes", classes);
        try (RawEndpoint first = new RawEndpoint().startAccepting();
                RawEndpoint second = new RawEndpoint().fillAcceptQueue()) {
            platform.addEndpoint("s-1", first.port());
            int port = start();
            CountDownLatch secondListed = new CountDownLatch(1);
            first.script = (request, socket) -> {
                await(secondListed);
                socket.close();
            };
            try (RawClient client = new RawClient(port)) {
                long sentAt = System.nanoTime();
                client.send(requestBytes("/api", "k", "save-run", "", "Idempotency-Key: K")
                        .toString()
                        .replace("X-Deadline: 4", "X-Deadline: 12"));
                waitUntil(() -> first.received.size() == 1);
                platform.addEndpoint("s-2", second.port());
                waitUntil(() -> platform.dispatcher().endpointPools().updatesOf("s-2") == 1);
                secondListed.countDown();
                waitUntil(() -> platform.dispatcher().endpointPools().pendingConnects() == 1);
                waitUntil(() -> System.nanoTime() - sentAt > 1_600_000_000L);
                second.startAccepting();
                assertEquals(502, client.read().status(), "it may have run and can no longer be retried");
                assertEquals(List.of(), second.receivedIds());
            }
        }
    }
}
