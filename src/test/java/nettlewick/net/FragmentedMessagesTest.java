package nettlewick.net;

import static nettlewick.net.DispatcherOnStubPlatform.awaitResult;
import static nettlewick.net.DispatcherOnStubPlatform.requestBytes;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.SocketAddress;
import io.vertx.core.parsetools.RecordParser;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import nettlewick.admin.AdminFrontend;
import nettlewick.core.Metrics;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Messages that arrive in two fragments, split at every byte: inside a line, a length or a character. */
@Timeout(60)
class FragmentedMessagesTest {
    private final Vertx vertx = Vertx.vertx();

    @AfterEach
    void close() throws Exception {
        awaitResult(vertx.close());
    }

    private static void write(Socket socket, byte[] bytes, int cut) throws Exception {
        socket.setTcpNoDelay(true);
        OutputStream out = socket.getOutputStream();
        out.write(bytes, 0, cut);
        out.flush();
        TimeUnit.MILLISECONDS.sleep(1);
        out.write(bytes, cut, bytes.length - cut);
    }

    @Test
    void readsAnEndpointResponseSplitAtAnyByte() throws Exception {
        FragmentedResponse response = new FragmentedResponse()
                .line("{\"state\":\"started\"}")
                .line("{\"state\":\"done\",\"result\":\"é✓\"}")
                .end();
        AtomicInteger cut = new AtomicInteger(1);
        NetServer endpoint = vertx.createNetServer().connectHandler(socket -> {
            socket.exceptionHandler(e -> {});
            // A request, which has no body here, may also arrive in fragments; each is answered once.
            socket.handler(RecordParser.newDelimited("\r\n\r\n", request -> {
                if (request.toString().startsWith("GET")) {
                    socket.write("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nx0=4,x1=4");
                } else {
                    response.write(vertx, socket, cut.get());
                }
            }));
        });
        awaitResult(endpoint.listen(0, "127.0.0.1"));
        try (DispatcherOnStubPlatform platform = new DispatcherOnStubPlatform()) {
            platform.addEndpoint("s-1", endpoint.actualPort());
            int port = platform.start().ports().get(0);
            for (; cut.get() < response.length(); cut.incrementAndGet()) {
                try (Socket client = new Socket("127.0.0.1", port)) {
                    client.getOutputStream()
                            .write(requestBytes("/api", "c" + cut, "step-view", "", "Connection: close")
                                    .getBytes());
                    String received = new String(client.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
                    assertTrue(received.endsWith("\r\n\r\né✓"), "cut at " + cut + ": " + received);
                }
            }
        }
    }

    @Test
    void readsAnAdminCallSplitAtAnyByte() throws Exception {
        List<String> calls = new CopyOnWriteArrayList<>();
        AdminFrontend adminFrontend =
                new AdminFrontend(SocketAddress.inetSocketAddress(0, "127.0.0.1"), new Operations() {
                    @Override
                    public boolean isReady() {
                        return true;
                    }

                    @Override
                    public Metrics.Snapshot metrics() {
                        return null;
                    }

                    @Override
                    public Future<Boolean> setEndpointDisabled(String endpoint, boolean isDisabled) {
                        calls.add(endpoint + isDisabled);
                        return Future.succeededFuture(true);
                    }

                    @Override
                    public boolean startDraining() {
                        return false;
                    }

                    @Override
                    public boolean stopDraining() {
                        return false;
                    }
                });
        int port = awaitResult(adminFrontend.listen());
        byte[] call = "POST /-/sim-runners/s-%C3%A9/disable HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nab"
                .getBytes(StandardCharsets.US_ASCII);
        for (int cut = 1; cut < call.length; cut++) {
            try (Socket caller = new Socket("127.0.0.1", port)) {
                write(caller, call, cut);
                assertEquals(
                        "HTTP/1.1 200",
                        new String(caller.getInputStream().readNBytes(12), StandardCharsets.US_ASCII),
                        "cut at " + cut);
            }
            assertEquals(cut, calls.size());
        }
        assertEquals(List.of("s-étrue"), calls.stream().distinct().toList());
        awaitResult(adminFrontend.close());
    }
}
