package nettlewick.net;

import static nettlewick.net.DispatcherOnStubPlatform.requestBytes;
import static nettlewick.net.DispatcherOnStubPlatform.waitUntil;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import io.vertx.core.Promise;
import java.util.List;
import nettlewick.core.Clock;
import org.junit.jupiter.api.Test;

/** Responses that belong to another request, and lists with restarted version numbers. */
class MismatchedResponseTest extends ConnectionRaceTestBase {
    /** Guards against answering a request with the result of another. */
    @Test
    void lineForAnotherRequestFailsTheAttempt() throws Exception {
        setCeiling("probes", false);
        try (RawEndpoint endpoint = new RawEndpoint().startAccepting()) {
            platform.addEndpoint("s-1", endpoint.port());
            int port = start();
            endpoint.script = (request, socket) -> RawEndpoint.write(socket, RawEndpoint.servedResponse("another"));
            try (RawClient client = new RawClient(port)) {
                RawClient.Response response = client.send(requestBytes("/api", "mine", "mark-submit", ""))
                        .read();
                assertEquals(502, response.status(), response.body());
            }
            assertEquals(List.of("mine"), endpoint.receivedIds(), "it may have run and is not sent again");
        }
    }

    /**
     * Guards against taking a late duplicate response for the response to the next request on the connection. The clock
     * is stopped: no connection has been idle when the next request comes.
     */
    @Test
    void ignoresASecondResponseOnAnIdleConnection() throws Exception {
        setCeiling("probes", false);
        try (RawEndpoint endpoint = new RawEndpoint().startAccepting()) {
            platform.addEndpoint("s-1", endpoint.port());
            DispatcherServer dispatcher = start(Clock.stoppedAt(System.currentTimeMillis()));
            int port = dispatcher.ports().get(0);
            Promise<Void> sendDuplicate = Promise.promise();
            endpoint.script = (request, socket) -> {
                RawEndpoint.write(socket, RawEndpoint.servedResponse(request.id()));
                if (request.id().equals("a")) {
                    sendDuplicate.future().onComplete(v -> {
                        try {
                            RawEndpoint.write(socket, "HTTP/1.1 503 No\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
                        } catch (java.io.IOException e) {
                            // The connection is already closed.
                        }
                    });
                }
            };
            try (RawClient client = new RawClient(port)) {
                assertEquals(
                        "r-a",
                        client.send(requestBytes("/api", "a", "mark-submit", ""))
                                .read()
                                .body());
                // The next non-idempotent request comes at once, so it gets a new connection.
                assertEquals(
                        "r-b",
                        client.send(requestBytes("/api", "b", "mark-submit", ""))
                                .read()
                                .body());
                sendDuplicate.complete();
                awaitEventLoop(port);
                assertEquals(
                        "r-c",
                        client.send(requestBytes("/api", "c", "mark-submit", ""))
                                .read()
                                .body());
            }
            assertEquals(List.of("a", "b", "c"), endpoint.receivedIds());
            assertNotEquals(
                    endpoint.received.get(0).connection(),
                    endpoint.received.get(1).connection());
            DispatcherOnStubPlatform.awaitResult(dispatcher.close());
        }
    }

    /** Guards against ignoring all changes after discovery has restarted its version numbers. */
    @Test
    void requestsTheCompleteListWhenVersionsRestart() throws Exception {
        platform.addEndpoint("s-1");
        int port = start();
        platform.resetVersions();
        platform.announceHealth("s-1", "Terminating");
        waitUntil(() -> platform.discoveryRequests.size() >= 2);
        assertEquals("/catalog/members?watch=1", platform.discoveryRequests.get(1));
        waitUntil(() -> {
            try (RawClient client = new RawClient(port)) {
                return client.send(requestBytes("/api", "x" + System.nanoTime(), "mark-submit", "1"))
                                .read()
                                .status()
                        == 503;
            } catch (java.io.IOException e) {
                return false;
            }
        });
    }
}
