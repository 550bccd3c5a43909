package nettlewick.net;

import static nettlewick.net.DispatcherOnStubPlatform.requestBytes;
import static nettlewick.net.DispatcherOnStubPlatform.until;
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

/** The end of a client's connection, and what crosses it: pipelined requests, garbage, floods, signals. */
class ClientConnectionCloseTest extends ConnectionRaceTestBase {
    /** Guards against a request in work that is answered for what stands behind it, and forwarded all the same. */
    @Test
    void answersTheRequestInFlightBeforeRejectingGarbageBehindIt() throws Exception {
        platform.addRunner("s-1");
        List<HttpServerRequest> held = holdRequests();
        int port = start();
        try (RawClient client = new RawClient(port)) {
            client.send(requestBytes("/api", "a", "mark-submit", ""));
            until(() -> held.size() == 1);
            client.send(GARBAGE);
            awaitEventLoop(port);
            finish(held.get(0));
            assertEquals("r-a", client.read().body());
            assertEquals(400, client.read().status());
            assertNull(client.read());
        }
        assertEquals(1, platform.seen.size());
    }

    /** Guards against requests that were read whole and end with no answer, when more comes than may wait. */
    @Test
    void answersEachOfTooManyPipelinedRequests() throws Exception {
        platform.addRunner("s-1");
        List<HttpServerRequest> held = holdRequests();
        int port = start();
        try (RawClient client = new RawClient(port)) {
            client.send(requestBytes("/api", "a", "step-view", ""));
            until(() -> held.size() == 1);
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
        assertEquals(1, platform.seen.size(), "none of those that were refused went on");
    }

    /** Guards against a flood behind a request in work that hides its client's departure. */
    @Test
    void noticesThatAClientLeavesBehindAFloodOfBytes() throws Exception {
        platform.addRunner("s-1");
        List<HttpServerRequest> held = holdRequests();
        int port = start();
        RawClient client = new RawClient(port);
        client.send(requestBytes("/api", "a", "step-view", "").toString().replace("X-Deadline: 4", "X-Deadline: 40"));
        until(() -> held.size() == 1);
        // More than the kernel holds for a connection that is not read: its end stands behind all of it.
        CompletableFuture<Void> flood = CompletableFuture.runAsync(() -> {
            try {
                client.send(GARBAGE + "x".repeat(8 << 20));
                client.close();
            } catch (java.io.IOException e) {
                throw new java.io.UncheckedIOException(e);
            }
        });
        flood.get();
        until(() -> !platform.dispatcher().frontends().get(0).hasConnections());
    }

    /**
     * Guards against a close over unread bytes, which resets the connection under the answer just written. The clock
     * stands, so that the lingering close has no end of its own.
     */
    @Test
    void lastResponseIsNotLostToUnreadBytes() throws Exception {
        platform.addRunner("s-1");
        List<HttpServerRequest> held = holdRequests();
        double start = System.currentTimeMillis();
        Clock clock = Clock.stoppedAt(start);
        DispatcherServer dispatcher = start(clock);
        int port = dispatcher.ports().get(0);
        try (RawClient client = new RawClient(port)) {
            client.send(requestBytes("/api", "a", "mark-submit", "", "Connection: close")
                    .toString()
                    .replace("X-Deadline: 4", "X-Deadline: 0.5"));
            until(() -> held.size() == 1);
            BlockedEventLoop loop = new BlockedEventLoop(dispatcher);
            client.send("\r\nbytes that nobody asked for");
            // The core ends the request at its deadline; the answer waits behind the loop's halt, the bytes unread.
            clock.advanceTo(start + 600);
            boolean[] allAnswered = new boolean[1];
            while (!allAnswered[0]) {
                CompletableFuture<Integer> unanswered = new CompletableFuture<>();
                dispatcher.coordinator().withUnansweredCount(unanswered::complete);
                allAnswered[0] = unanswered.get() == 0;
            }
            loop.release();
            assertEquals(502, client.read().status());
            assertNull(client.read(), "ended in good order");
            client.send("more");
            awaitEventLoop(port);
            client.send("and more: a connection that was closed would be reset by now");
        }
        DispatcherOnStubPlatform.get(dispatcher.close());
    }

    /**
     * Guards against a request that crosses the end of its idle connection and is read and dropped, or forwarded: it is
     * never taken, and its client is told so by the reset.
     */
    @Test
    void neverAcceptsARequestThatCrossesTheCloseOfAnIdleConnection() throws Exception {
        platform.addRunner("s-1");
        int port = start();
        try (RawClient client = new RawClient(port)) {
            assertNull(client.read(), "a connection that asks nothing is ended");
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
                    "the client is told that nobody reads it");
        }
        try (RawClient client = new RawClient(port)) {
            assertEquals(
                    200,
                    client.send(requestBytes("/api", "a", "step-view", "1"))
                            .read()
                            .status());
            CompletableFuture<Void> shutdown = CompletableFuture.runAsync(platform.dispatcher()::shutDown);
            assertNull(client.read(), "so is a resting one at the planned end");
            client.send(requestBytes("/api", "c", "step-view", "1"));
            shutdown.get();
        }
        assertEquals(1, platform.seen.size());
    }

    /** Guards against a connection that the kernel has accepted and the end of the listener resets. */
    @Test
    void answersConnectionsInTheAcceptQueueBeforeShutdown() throws Exception {
        platform.addRunner("s-1");
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
