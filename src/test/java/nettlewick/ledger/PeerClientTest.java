package nettlewick.ledger;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import nettlewick.ConcurrentCallers;
import nettlewick.core.Clock;
import nettlewick.stubs.StubPlatform;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Requests from many threads to a peer that responds immediately. */
@Timeout(60)
class PeerClientTest {
    private static final byte[] KEY = "0123456789abcdef0123456789abcdef".getBytes();
    private static final int CALLS_PER_CALLER = 200;
    private static final double TIMEOUT_MILLIS = 10_000;
    private static final int NO_CONTENT = 204;

    private Vertx vertx;

    @BeforeEach
    void open() {
        vertx = Vertx.vertx();
    }

    @AfterEach
    void close() throws Exception {
        StubPlatform.awaitResult(vertx.close());
    }

    private int listen() throws Exception {
        MessageAuthenticator authenticator = new MessageAuthenticator(KEY);
        HttpServer server = vertx.createHttpServer()
                .requestHandler(request -> request.response()
                        .setStatusCode(NO_CONTENT)
                        .putHeader(
                                PeerServer.SIGNATURE_HEADER,
                                authenticator.signResponse(
                                        request.getHeader(PeerServer.NONCE_HEADER), NO_CONTENT, new byte[0]))
                        .end());
        return StubPlatform.awaitResult(server.listen(0, "127.0.0.1")).actualPort();
    }

    private List<String> callRepeatedly(int port) {
        List<String> faults = new ArrayList<>();
        InetSocketAddress peer = new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
        try (PeerClient client =
                new PeerClient(vertx, peer, new MessageAuthenticator(KEY), Clock.system(), TIMEOUT_MILLIS)) {
            for (int i = 0; i < CALLS_PER_CALLER; i++) {
                client.get(PeerServer.HEADS_PATH);
            }
        } catch (Exception e) {
            faults.add(e.toString());
        }
        return faults;
    }

    /** Guards against response handlers that are set after the response has ended, so that the end is never seen. */
    @Test
    void everyResponseIsReadEvenIfTheCallerIsScheduledLate() throws Exception {
        int port = listen();
        assertEquals(List.of(), ConcurrentCallers.runOnEach(() -> callRepeatedly(port)));
    }
}
