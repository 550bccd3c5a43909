package nettlewick.net;

import static nettlewick.net.DispatcherOnStubPlatform.requestBytes;
import static nettlewick.net.DispatcherOnStubPlatform.until;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;

/** What has changed by the time a connection to a runner is up: client, runner, window. */
class LateEndpointConnectionTest extends ConnectionRaceTestBase {
    /** Guards against an attempt that begins when a connection comes up after its client has gone. */
    @Test
    void sendsNothingOnceTheClientHasLeft() throws Exception {
        setCeiling("probes", false);
        setCeiling("connect_timeout", 10_000_000_000L);
        try (RawEndpoint endpoint = new RawEndpoint().fillAcceptQueue()) {
            platform.addRunner("s-1", endpoint.port());
            int port = start();
            RawClient departedClient = new RawClient(port);
            departedClient.send(requestBytes("/api", "gone", "mark-submit", ""));
            until(() -> platform.dispatcher().endpointPools().pendingConnects() == 1);
            departedClient.close();
            until(() -> !platform.dispatcher().frontends().get(0).hasConnections());
            endpoint.startAccepting();
            until(() -> endpoint.accepted.size() == 1);
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
            assertEquals(1, endpoint.accepted.size(), "the connection that came up serves the next job");
        }
    }

    /** Guards against a departure that waits unread in the client's socket while its request is sent on. */
    @Test
    void noticesAnUnreadCloseBeforeForwarding() throws Exception {
        setCeiling("probes", false);
        setCeiling("connect_timeout", 10_000_000_000L);
        try (RawEndpoint endpoint = new RawEndpoint().fillAcceptQueue()) {
            platform.addRunner("s-1", endpoint.port());
            int port = start();
            RawClient departedClient = new RawClient(port);
            departedClient.send(requestBytes("/api", "gone", "mark-submit", ""));
            until(() -> platform.dispatcher().endpointPools().pendingConnects() == 1);
            BlockedEventLoop loop = new BlockedEventLoop(platform.dispatcher());
            // While the loop stands still, the connection to the runner comes up and the client leaves after it.
            endpoint.startAccepting();
            until(() -> endpoint.accepted.size() == 1);
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

    /** Guards against a job sent to a runner that was told to drain, or started anew, while its connection came up. */
    @Test
    void sendsNothingOnceTheEndpointHasChanged() throws Exception {
        setCeiling("probes", false);
        setCeiling("connect_timeout", 10_000_000_000L);
        for (boolean drains : new boolean[] {true, false}) {
            try (RawEndpoint endpoint = new RawEndpoint().fillAcceptQueue();
                    DispatcherOnStubPlatform ownPlatform = new DispatcherOnStubPlatform()) {
                Map<String, Object> ownConfig = ownPlatform.config();
                ownConfig.put("settings", config.get("settings"));
                ownPlatform.addRunner("s-1", endpoint.port());
                int port = ownPlatform.start(ownConfig).ports().get(0);
                until(() -> isHealthy(port));
                try (RawClient client = new RawClient(port)) {
                    client.send(requestBytes("/api", "a", "mark-submit", ""));
                    until(() -> ownPlatform.dispatcher().endpointPools().pendingConnects() == 1);
                    ownPlatform.tell("s-1", drains ? "Terminating" : "Ready", drains ? 0 : System.currentTimeMillis());
                    until(() -> ownPlatform.dispatcher().endpointPools().updatesOf("s-1") == 2);
                    endpoint.startAccepting();
                    assertEquals(503, client.read().status());
                    assertEquals(List.of(), endpoint.receivedIds());
                }
            }
        }
    }

    /** Guards against a keyed job that is repeated after its window, since the connection came up late. */
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
            platform.addRunner("s-1", first.port());
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
                until(() -> first.received.size() == 1);
                platform.addRunner("s-2", second.port());
                until(() -> platform.dispatcher().endpointPools().updatesOf("s-2") == 1);
                secondListed.countDown();
                until(() -> platform.dispatcher().endpointPools().pendingConnects() == 1);
                until(() -> System.nanoTime() - sentAt > 1_600_000_000L);
                second.startAccepting();
                assertEquals(502, client.read().status(), "it may have run, and cannot be repeated any more");
                assertEquals(List.of(), second.receivedIds());
            }
        }
    }
}
