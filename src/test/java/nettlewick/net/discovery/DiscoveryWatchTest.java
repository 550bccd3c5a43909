package nettlewick.net.discovery;

import static nettlewick.stubs.StubPlatform.awaitResult;
import static nettlewick.stubs.StubPlatform.waitUntil;
import static org.junit.jupiter.api.Assertions.assertEquals;

import io.vertx.core.Vertx;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.SocketAddress;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import nettlewick.core.Clock;
import nettlewick.net.FragmentedResponse;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The watch on discovery, with messages that arrive in fragments. */
@Timeout(60)
class DiscoveryWatchTest {
    private final Vertx vertx = Vertx.vertx();

    @AfterEach
    void close() throws Exception {
        awaitResult(vertx.close());
    }

    @Test
    void readsADiscoveryListSplitAtAnyByte() throws Exception {
        String list = "{\"seq\":1,\"whole\":true,\"hosts\":[{\"host\":\"s-é✓\",\"dial\":\"127.0.0.1:1\","
                + "\"health\":\"Ready\"}]}";
        FragmentedResponse response = new FragmentedResponse().line(list).line("");
        AtomicInteger cut = new AtomicInteger();
        NetServer discovery = vertx.createNetServer().connectHandler(socket -> {
            socket.exceptionHandler(e -> {});
            socket.handler(request -> response.write(vertx, socket, cut.incrementAndGet()));
        });
        awaitResult(discovery.listen(0, "127.0.0.1"));
        SocketAddress address = SocketAddress.inetSocketAddress(discovery.actualPort(), "127.0.0.1");
        List<String> receivedIds = new CopyOnWriteArrayList<>();
        for (int i = 1; i < response.length(); i++) {
            DiscoveryWatch watch = new DiscoveryWatch(
                    vertx,
                    address,
                    Clock.stoppedAt(0),
                    new WatchStalenessTimer(new PollBackoff(false, 1, 0, new SplittableRandom(1)), 0),
                    snapshot ->
                            receivedIds.add(snapshot.endpoints().get(0).entry().id()));
            watch.start(null);
            int expectedCount = i;
            waitUntil(() -> receivedIds.size() >= expectedCount);
            watch.stop();
        }
        assertEquals(List.of("s-é✓"), receivedIds.stream().distinct().toList());
    }
}
