package nettlewick.net;

import static nettlewick.net.DispatcherOnStubPlatform.requestBytes;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Connections to endpoints are closed as soon as the response on them turns out to be malformed. */
class AbandonedResponseTest extends ConnectionRaceTestBase {
    private static final String OK = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final int CHUNK_BYTES = 32 * 1024;
    /** More than a line may hold, and more than is read of a response behind its result. */
    private static final int CHUNKS = 16;

    /** Shorter than the time for which the rest of a well-formed response is awaited. */
    private static final long MAX_CLOSE_MILLIS = 800;

    private final CompletableFuture<Void> connectionClosed = new CompletableFuture<>();

    @BeforeEach
    void disableProbes() {
        setCeiling("probes", false);
    }

    /** Guards against buffering a line without an end until the heap is full. */
    @Test
    void aResponseWithALineThatIsTooLongIsClosedAtOnce() throws Exception {
        assertClosedWithResponse(502, (request, socket) -> {
            RawEndpoint.write(socket, OK);
            writeBytesWithoutLineEnd(socket);
        });
    }

    /** Guards against reading without limit what follows a result. */
    @Test
    void aResultThatIsFollowedByTooManyBytesIsDeliveredAndItsConnectionClosed() throws Exception {
        assertClosedWithResponse(200, (request, socket) -> {
            String line = "{\"id\":\"" + request.id() + "\",\"state\":\"done\",\"result\":\"r\"}\n";
            RawEndpoint.write(socket, OK + chunk(line));
            writeBytesWithoutLineEnd(socket);
        });
    }

    /** Guards against a second copy: the next attempt must not be sent while the endpoint may go on with this one. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "{\"id\":\"a\",\"state\":\"run\n",
                "no JSON\n",
                "{\"id\":\"a\"}\n",
                "{\"id\":\"a\",\"state\":\"done\"}\n",
                "{\"id\":\"a\",\"state\":\"running\",\"share\":2}\n",
                "{\"id\":\"another\",\"state\":\"done\",\"result\":\"r\"}\n"
            })
    void aMalformedLineClosesTheConnection(String line) throws Exception {
        assertClosedWithResponse(502, (request, socket) -> RawEndpoint.write(socket, OK + chunk(line)));
    }

    private void assertClosedWithResponse(int expectedStatus, RawEndpoint.Script response) throws Exception {
        try (RawEndpoint endpoint = new RawEndpoint().startAccepting()) {
            platform.addEndpoint("s-1", endpoint.port());
            endpoint.script = (request, socket) -> {
                try {
                    response.handle(request, socket);
                    socket.getInputStream().read();
                } finally {
                    connectionClosed.complete(null);
                }
            };
            try (RawClient client = new RawClient(start())) {
                RawClient.Response received = client.send(requestBytes("/api", "a", "mark-submit", ""))
                        .read();
                assertEquals(expectedStatus, received.status(), received.body());
                connectionClosed.get(MAX_CLOSE_MILLIS, TimeUnit.MILLISECONDS);
            }
            assertEquals(List.of("a"), endpoint.receivedIds(), "it may have run and is not sent again");
        }
    }

    private static void writeBytesWithoutLineEnd(Socket socket) throws IOException {
        String chunk = chunk("x".repeat(CHUNK_BYTES));
        for (int i = 0; i < CHUNKS; i++) {
            RawEndpoint.write(socket, chunk);
        }
    }

    private static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }
}
