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

/** Guards against datagrams of strangers and against long ones, of which one that is sent voids the run. */
@Timeout(20)
class PeerSocketTest {
    @Test
    void acceptsAndSendsOnlyShortMessagesOfKnownPeers() throws Exception {
        InetAddress loopback = InetAddress.getByName("127.0.0.1");
        Vertx vertx = Vertx.vertx();
        int own;
        try (DatagramSocket free = new DatagramSocket(0, loopback)) {
            own = free.getLocalPort();
        }
        try (DispatcherOnStubPlatform world = new DispatcherOnStubPlatform();
                DatagramSocket peer = new DatagramSocket(0, loopback);
                DatagramSocket stranger = new DatagramSocket(0, loopback)) {
            Map<String, Object> config = world.config();
            config.put("peer_listen", "127.0.0.1:" + own);
            config.put("peers", List.of("127.0.0.1:" + own, "127.0.0.1:" + peer.getLocalPort()));
            PeerSocket socket = new PeerSocket(vertx, PlatformConfig.parse(new Gson().toJson(config), Map.of()));
            socket.send(1, new byte[4]);
            BlockingQueue<String> handler = new LinkedBlockingQueue<>();
            DispatcherOnStubPlatform.get(socket.listen((rank, data) -> handler.add(rank + " " + data.length)));
            stranger.send(new DatagramPacket(new byte[7], 7, loopback, own));
            peer.send(new DatagramPacket(new byte[257], 257, loopback, own));
            peer.send(new DatagramPacket(new byte[256], 256, loopback, own));
            assertEquals("1 256", handler.poll(10, TimeUnit.SECONDS));
            assertEquals(0, handler.size());
            assertEquals(
                    Map.of("peers.passed_over.oversized", 1L, "peers.passed_over.strangers", 1L),
                    socket.ignoredDatagrams(),
                    "each passed over is counted");
            socket.send(1, new byte[257]);
            socket.send(0, new byte[3]);
            socket.send(1, new byte[5]);
            DatagramPacket got = new DatagramPacket(new byte[1024], 1024);
            peer.receive(got);
            assertEquals(5, got.getLength());
        } finally {
            DispatcherOnStubPlatform.get(vertx.close());
        }
    }
}
