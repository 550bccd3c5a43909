package nettlewick.net;

import static nettlewick.net.DispatcherOnStubPlatform.requestBytes;
import static org.junit.jupiter.api.Assertions.assertEquals;

import io.vertx.core.Future;
import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import nettlewick.net.client.Frontend;
import nettlewick.stubs.ReservedPorts;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Clients that send requests as soon as the port of a dispatcher accepts connections. */
class StartupTest extends ConnectionRaceTestBase {
    private static final long SLOW_CREATION_MILLIS = 1500;
    private static final long SLOW_LISTEN_MILLIS = 500;

    private int port;

    @BeforeEach
    void configure() throws Exception {
        platform.addEndpoint("s-1");
        port = ReservedPorts.reserve();
        config.put("listen", "127.0.0.1:" + port);
        config.put("known", platform.currentEndpointList());
    }

    private CompletableFuture<Void> startInBackground(Frontend.Factory... additionalFactories) {
        return CompletableFuture.runAsync(() -> {
            try {
                platform.start(config, additionalFactories);
            } catch (Exception e) {
                throw new IllegalStateException(e);
            }
        });
    }

    private RawClient connectOnceItListens(CompletableFuture<Void> started) throws Exception {
        while (true) {
            if (started.isCompletedExceptionally()) {
                started.get();
            }
            try {
                return new RawClient(port);
            } catch (IOException e) {
                TimeUnit.MILLISECONDS.sleep(1);
            }
        }
    }

    /** Guards against accepting connections before the process can serve them. */
    @Test
    void isReadyAsSoonAsItListens() throws Exception {
        CompletableFuture<Void> started = startInBackground();
        try (RawClient client = connectOnceItListens(started)) {
            assertEquals(200, client.send(HEALTH).read().status());
        }
        started.get();
    }

    /** Guards against counting the time of a request from before the port was open. */
    @Test
    void requestTimeCountsFromListening() throws Exception {
        CompletableFuture<Void> started = startInBackground(SlowFrontend::new);
        try (RawClient client = connectOnceItListens(started)) {
            String request = requestBytes("/api", "early", "step-view", "10").toString();
            client.send(request.replace("X-Deadline: 4\r", "X-Deadline: 1.5\r"));
            assertEquals(200, client.read().status());
        }
        started.get();
    }

    /** Blocks the event loop when it is created, and again while the frontends start to listen. */
    private static final class SlowFrontend implements Frontend {
        SlowFrontend(Environment environment) {
            block(SLOW_CREATION_MILLIS);
        }

        private static void block(long millis) {
            try {
                TimeUnit.MILLISECONDS.sleep(millis);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        @Override
        public Future<Integer> listen() {
            block(SLOW_LISTEN_MILLIS);
            return Future.succeededFuture(0);
        }

        @Override
        public boolean hasConnections() {
            return false;
        }

        @Override
        public Future<Void> closeConnections(long timeoutMillis) {
            return Future.succeededFuture();
        }
    }
}
