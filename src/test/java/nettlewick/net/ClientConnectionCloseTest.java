package nettlewick.net;

import static nettlewick.net.DispatcherOnStubPlatform.requestBytes;
import static nettlewick.net.DispatcherOnStubPlatform.waitUntil;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import nettlewick.core.Clock;
import org.junit.jupiter.api.Test;

/**
 * The close of a client connection, and what arrives at the same time: pipelined requests, garbage, floods, signals.
 */
class ClientConnectionCloseTest extends ConnectionRaceTestBase {
    private static final int LARGE_BODY_BYTES = 60_000;
    private static final int PIPELINED_REQUESTS = 4;
    private static final int ROUNDS_OF_DEPARTED_CLIENTS = 10;

    /** Guards against rejecting a forwarded request because of the garbage that follows it. */
    @Test
    void answersTheRequestInFlightBeforeRejectingGarbageBehindIt() throws Exception {
        platform.addEndpoint("s-1");
        List<HttpServerRequest> held = holdRequests();
        int port = start();
        try (RawClient client = new RawClient(port)) {
            client.send(requestBytes("/api", "a", "mark-submit", ""));
            waitUntil(() -> held.size() == 1);
            client.send(GARBAGE);
            awaitEventLoop(port);
            finish(held.get(0));
            assertEquals("r-a", client.read().body());
            assertEquals(400, client.read().status());
            assertNull(client.read());
        }
        assertEquals(1, platform.receivedRequests.size());
    }

    /** Guards against complete requests that get no response because more are pipelined than may wait. */
    @Test
    void answersEachOfTooManyPipelinedRequests() throws Exception {
        platform.addEndpoint("s-1");
        List<HttpServerRequest> held = holdRequests();
        int port = start();
        try (RawClient client = new RawClient(port)) {
            client.send(requestBytes("/api", "a", "step-view", ""));
            waitUntil(() -> held.size() == 1);
            Buffer more = Buffer.buffer();
            for (int i = 0; i < 5; i++) {
                more.appendBuffer(requestBytes("/api", "more-" + i, "step-view", ""));
            }
            client.send(more);
            awaitEventLoop(port);
            finish(held.get(0));
            List<Integer> statuses = new ArrayList<>();
            for (RawClient.Response response = client.read(); response != null; response = client.read()) {
                statuses.add(response.status());
            }
            assertEquals(List.of(200, 429, 429, 429, 429, 429), statuses);
        }
        assertEquals(1, platform.receivedRequests.size(), "no rejected request is forwarded");
    }

    /** Guards against a flood of bytes behind the request in flight that hides the close of its client. */
    @Test
    void noticesThatAClientLeavesBehindAFloodOfBytes() throws Exception {
        platform.addEndpoint("s-1");
        List<HttpServerRequest> held = holdRequests();
        int port = start();
        RawClient client = new RawClient(port);
        client.send(requestBytes("/api", "a", "step-view", "").toString().replace("X-Deadline: 4", "X-Deadline: 40"));
        waitUntil(() -> held.size() == 1);
        // More than the kernel buffers for a connection that is not read: the close comes after all of it.
        CompletableFuture<Void> flood = CompletableFuture.runAsync(() -> {
            try {
                client.send(GARBAGE + "x".repeat(8 << 20));
                client.close();
            } catch (java.io.IOException e) {
                throw new java.io.UncheckedIOException(e);
            }
        });
        flood.get();
        waitUntil(() -> !platform.dispatcher().frontends().get(0).hasConnections());
    }

    /** Guards against forwarding the request of a client whose close is behind large requests that are not read yet. */
    @Test
    void noticesThatAClientHasLeftBehindUnreadRequestsBeforeItForwardsTheFirst() throws Exception {
        platform.addEndpoint("s-1");
        int port = start();
        String body = "x".repeat(LARGE_BODY_BYTES);
        for (int round = 0; round < ROUNDS_OF_DEPARTED_CLIENTS; round++) {
            BlockedEventLoop loop = new BlockedEventLoop(platform.dispatcher());
            try (RawClient client = new RawClient(port)) {
                for (int i = 0; i < PIPELINED_REQUESTS; i++) {
                    client.send(requestBytes("/api", "r" + round + "-" + i, "mark-submit", body));
                }
            }
            loop.release();
            awaitEventLoop(port);
            waitUntil(() -> !platform.dispatcher().frontends().get(0).hasConnections());
        }
        assertEquals(0, platform.receivedRequests.size(), "requests of clients that had left");
    }

    /**
     * Guards against closing a socket with unread bytes, which resets the connection and destroys the response just
     * written. The clock is stopped, so that the lingering close does not time out.
     */
    @Test
    void lastResponseIsNotLostToUnreadBytes() throws Exception {
        platform.addEndpoint("s-1");
        List<HttpServerRequest> held = holdRequests();
        double start = System.currentTimeMillis();
        Clock clock = Clock.stoppedAt(start);
        DispatcherServer dispatcher = start(clock);
        int port = dispatcher.ports().get(0);
        try (RawClient client = new RawClient(port)) {
            client.send(requestBytes("/api", "a", "mark-submit", "", "Connection: close")
                    .toString()
                    .replace("X-Deadline: 4", "X-Deadline: 0.5"));
            waitUntil(() -> held.size() == 1);
            BlockedEventLoop loop = new BlockedEventLoop(dispatcher);
            client.send("\r\nbytes that nobody asked for");
            // The coordinator ends the request at its deadline; the response waits for the blocked event loop, and the
            // bytes are unread.
            clock.advanceTo(start + 600);
            boolean[] allAnswered = new boolean[1];
            while (!allAnswered[0]) {
                CompletableFuture<Integer> unanswered = new CompletableFuture<>();
                dispatcher.coordinator().queryUnansweredCount(unanswered::complete);
                allAnswered[0] = unanswered.get() == 0;
            }
            loop.release();
            assertEquals(502, client.read().status());
            assertNull(client.read(), "closed without a reset");
            client.send("more");
            awaitEventLoop(port);
            client.send("and more: a connection that was closed would be reset by now");
        }
        DispatcherOnStubPlatform.awaitResult(dispatcher.close());
    }

    /**
     * Guards against a request that arrives while its idle connection is being closed and is dropped or forwarded: it
     * is never accepted, and a reset tells its client so.
     */
    @Test
    void neverAcceptsARequestThatCrossesTheCloseOfAnIdleConnection() throws Exception {
        platform.addEndpoint("s-1");
        int port = start();
        try (RawClient client = new RawClient(port)) {
            assertNull(client.read(), "a connection without a request is closed");
            client.send(requestBytes("/api", "b", "step-view", "1"));
            awaitEventLoop(port);
            assertThrows(
                    java.io.IOException.class,
                    () -> {
                        for (int i = 0; i < 100; i++) {
                            client.send("x");
                            awaitEventLoop(port);
                        }
                    },
                    "a reset tells the client that nothing is read");
        }
        try (RawClient client = new RawClient(port)) {
            assertEquals(
                    200,
                    client.send(requestBytes("/api", "a", "step-view", "1"))
                            .read()
                            .status());
            CompletableFuture<Void> shutdown = CompletableFuture.runAsync(platform.dispatcher()::shutDown);
            assertNull(client.read(), "an idle connection is closed by the graceful shutdown");
            client.send(requestBytes("/api", "c", "step-view", "1"));
            shutdown.get();
        }
        assertEquals(1, platform.receivedRequests.size());
    }

    /** Guards against resetting connections in the accept queue when the listener closes. */
    @Test
    void answersConnectionsInTheAcceptQueueBeforeShutdown() throws Exception {
        platform.addEndpoint("s-1");
        int port = start();
        DispatcherServer dispatcher = platform.dispatcher();
        try (RawClient first = new RawClient(port)) {
            assertEquals(200, first.send(HEALTH).read().status());
            dispatcher.connectionLimiter().setMaxConnections(1);
            try (RawClient second = new RawClient(port)) {
                second.send(requestBytes("/api", "b", "step-view", "1"));
                awaitEventLoop(first);
                dispatcher.connectionLimiter().setMaxConnections(8);
                CompletableFuture<Void> shutdown = CompletableFuture.runAsync(dispatcher::shutDown);
                assertEquals("r-b", second.read().body());
                first.close();
                second.close();
                shutdown.get();
            }
        }
    }
}
