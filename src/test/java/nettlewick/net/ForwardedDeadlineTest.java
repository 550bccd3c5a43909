package nettlewick.net;

import static nettlewick.net.DispatcherOnStubPlatform.requestBytes;
import static nettlewick.net.DispatcherOnStubPlatform.waitUntil;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.internal.VertxInternal;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;

/**
 * The deadline forwarded to an endpoint is at most the time that the client has left, wherever the request has waited.
 */
class ForwardedDeadlineTest extends ConnectionRaceTestBase {
    /** The forwarded deadline is computed when the request is written, not when its endpoint is chosen. */
    @Test
    void computesTheDeadlineOnceConnected() throws Exception {
        setCeiling("probes", false);
        setCeiling("connect_timeout", 10_000_000_000L);
        try (RawEndpoint endpoint = new RawEndpoint().fillAcceptQueue()) {
            platform.addEndpoint("s-1", endpoint.port());
            int port = start();
            try (RawClient client = new RawClient(port)) {
                long sentAt = System.nanoTime();
                client.send(requestBytes("/api", "late", "step-view", ""));
                waitUntil(() -> platform.dispatcher().endpointPools().pendingConnects() == 1);
                endpoint.startAccepting();
                long[] receivedAt = new long[1];
                endpoint.script = (request, socket) -> {
                    receivedAt[0] = System.nanoTime();
                    RawEndpoint.write(socket, RawEndpoint.servedResponse(request.id()));
                };
                assertEquals("r-late", client.read().body());
                assertForwardedDeadline(4, sentAt, receivedAt[0], endpoint.received.get(0));
            }
        }
    }

    /** Guards against a full deadline for a request that has waited behind another on its connection. */
    @Test
    void countsTimeSpentBehindAPipelinedRequest() throws Exception {
        setCeiling("probes", false);
        try (RawEndpoint endpoint = new RawEndpoint().startAccepting()) {
            platform.addEndpoint("s-1", endpoint.port());
            int port = start();
            CountDownLatch release = new CountDownLatch(1);
            long[] receivedAt = new long[1];
            endpoint.script = (request, socket) -> {
                if (request.id().equals("first")) {
                    await(release);
                }
                receivedAt[0] = System.nanoTime();
                RawEndpoint.write(socket, RawEndpoint.servedResponse(request.id()));
            };
            try (RawClient client = new RawClient(port)) {
                long sentAt = System.nanoTime();
                client.send(
                        requestBytes("/api", "first", "step-view", ""),
                        requestBytes("/api", "second", "step-view", ""));
                waitUntil(() -> endpoint.received.size() == 1);
                waitUntil(() -> System.nanoTime() - sentAt > 600_000_000L);
                release.countDown();
                assertEquals("r-first", client.read().body());
                assertEquals("r-second", client.read().body());
                assertForwardedDeadline(4, sentAt, receivedAt[0], endpoint.received.get(1));
            }
        }
    }

    /** Guards against ignoring the time that a request is unread in its socket during a stall of the event loop. */
    @Test
    void countsTimeSpentUnreadInTheSocket() throws Exception {
        setCeiling("probes", false);
        try (RawEndpoint endpoint = new RawEndpoint().startAccepting()) {
            platform.addEndpoint("s-1", endpoint.port());
            int port = start();
            long[] receivedAt = new long[1];
            endpoint.script = (request, socket) -> {
                receivedAt[0] = System.nanoTime();
                RawEndpoint.write(socket, RawEndpoint.servedResponse(request.id()));
            };
            try (RawClient client = new RawClient(port)) {
                BlockedEventLoop loop = new BlockedEventLoop(platform.dispatcher());
                long sentAt = System.nanoTime();
                client.send(requestBytes("/api", "unread", "step-view", ""));
                waitUntil(() -> System.nanoTime() - sentAt > 500_000_000L);
                loop.release();
                assertEquals("r-unread", client.read().body());
                assertForwardedDeadline(4, sentAt, receivedAt[0], endpoint.received.get(0));
            }
        }
    }

    /**
     * Guards against ignoring the time that a request and its new connection wait in the accept queue while the whole
     * process is stalled.
     */
    @Test
    void countsTimeSpentInTheAcceptQueue() throws Exception {
        setCeiling("probes", false);
        try (RawEndpoint endpoint = new RawEndpoint().startAccepting()) {
            platform.addEndpoint("s-1", endpoint.port());
            int port = start();
            long[] receivedAt = new long[1];
            endpoint.script = (request, socket) -> {
                receivedAt[0] = System.nanoTime();
                RawEndpoint.write(socket, RawEndpoint.servedResponse(request.id()));
            };
            CountDownLatch acceptorReleased = new CountDownLatch(1);
            ((VertxInternal) platform.dispatcher().vertx())
                    .acceptorEventLoopGroup()
                    .next()
                    .execute(() -> await(acceptorReleased));
            BlockedEventLoop loop = new BlockedEventLoop(platform.dispatcher());
            try (RawClient client = new RawClient(port)) {
                long sentAt = System.nanoTime();
                client.send(requestBytes("/api", "new", "step-view", ""));
                waitUntil(() -> System.nanoTime() - sentAt > 500_000_000L);
                acceptorReleased.countDown();
                loop.release();
                assertEquals("r-new", client.read().body());
                assertForwardedDeadline(4, sentAt, receivedAt[0], endpoint.received.get(0));
            }
        }
    }

    private static void assertForwardedDeadline(
            double deadlineSeconds, long sentAt, long receivedAt, RawEndpoint.ReceivedRequest request) {
        double forwardedSeconds = Double.parseDouble(request.header("x-deadline"));
        double remainingSeconds = deadlineSeconds - (receivedAt - sentAt) / 1e9;
        assertTrue(
                forwardedSeconds <= remainingSeconds + 0.15,
                "forwarded " + forwardedSeconds + " s with " + remainingSeconds + " s left");
    }
}
