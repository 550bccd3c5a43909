package nettlewick.net.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.google.gson.Gson;
import io.vertx.core.Vertx;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import nettlewick.net.DispatcherOnStubPlatform;
import nettlewick.net.config.PlatformConfig;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Guards against accepting datagrams from unknown senders, and against oversized ones: a single oversized datagram that
 * is sent invalidates the whole run.
 */
@Timeout(20)
class PeerSocketTest {
    @Test
    void acceptsAndSendsOnlyShortMessagesOfKnownPeers() throws Exception {
        InetAddress loopback = InetAddress.getByName("127.0.0.1");
        Vertx vertx = Vertx.vertx();
        int ownPort;
        try (DatagramSocket portFinder = new DatagramSocket(0, loopback)) {
            ownPort = portFinder.getLocalPort();
        }
        try (DispatcherOnStubPlatform platform = new DispatcherOnStubPlatform();
                DatagramSocket peer = new DatagramSocket(0, loopback);
                DatagramSocket unknownSender = new DatagramSocket(0, loopback)) {
            Map<String, Object> config = platform.config();
            config.put("peer_listen", "127.0.0.1:" + ownPort);
            config.put("peers", List.of("127.0.0.1:" + ownPort, "127.0.0.1:" + peer.getLocalPort()));
            PeerSocket socket = new PeerSocket(vertx, PlatformConfig.parse(new Gson().toJson(config), Map.of()));
            socket.send(1, new byte[4]);
            BlockingQueue<String> receivedMessages = new LinkedBlockingQueue<>();
            DispatcherOnStubPlatform.awaitResult(
                    socket.listen((rank, data) -> receivedMessages.add(rank + " " + data.length)));
            unknownSender.send(new DatagramPacket(new byte[7], 7, loopback, ownPort));
            peer.send(new DatagramPacket(new byte[257], 257, loopback, ownPort));
            peer.send(new DatagramPacket(new byte[256], 256, loopback, ownPort));
            assertEquals("1 256", receivedMessages.poll(10, TimeUnit.SECONDS));
            assertEquals(0, receivedMessages.size());
            assertEquals(
                    Map.of("peers.passed_over.oversized", 1L, "peers.passed_over.strangers", 1L),
                    socket.ignoredDatagrams(),
                    "each ignored datagram is counted");
            socket.send(1, new byte[257]);
            socket.send(0, new byte[3]);
            socket.send(1, new byte[5]);
            DatagramPacket received = new DatagramPacket(new byte[1024], 1024);
            peer.receive(received);
            assertEquals(5, received.getLength());
        } finally {
            DispatcherOnStubPlatform.awaitResult(vertx.close());
        }
    }
}
