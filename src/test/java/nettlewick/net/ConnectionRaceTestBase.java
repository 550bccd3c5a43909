package nettlewick.net;

import static nettlewick.net.DispatcherOnStubPlatform.waitUntil;

import com.google.gson.Gson;
import io.vertx.core.http.HttpServerRequest;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import nettlewick.core.Clock;
import nettlewick.net.client.PlatformFrontend;
import nettlewick.net.config.PlatformConfig;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;

/**
 * A dispatcher on the stub platform, for tests that force races between requests, responses, closes and signals on real
 * sockets.
 */
@Timeout(30)
abstract class ConnectionRaceTestBase {
    static final String HEALTH = "GET /_health HTTP/1.1\r\nHost: x\r\n\r\n";
    static final String GARBAGE = "no request at all\r\n\r\n";
    DispatcherOnStubPlatform platform;
    Map<String, Object> config;

    @BeforeEach
    final void open() throws Exception {
        platform = new DispatcherOnStubPlatform();
        config = platform.config();
    }

    @AfterEach
    final void close() {
        platform.close();
    }

    /**
     * Sets one of the limits in the settings; tests use it to turn probes off and to let connections be established
     * late.
     */
    @SuppressWarnings("unchecked")
    void setCeiling(String name, Object value) {
        Map<String, Object> settings = (Map<String, Object>) config.get("settings");
        Map<String, Object> limits = new HashMap<>((Map<String, Object>) settings.get("ceilings"));
        limits.put(name, value);
        settings.put("ceilings", limits);
    }

    int start() throws Exception {
        DispatcherServer dispatcher = platform.start(config);
        int port = dispatcher.ports().get(0);
        waitUntil(() -> isHealthy(port));
        return port;
    }

    /** Starts a dispatcher with the test's clock; the test closes it. */
    DispatcherServer start(Clock clock) throws Exception {
        DispatcherServer dispatcher = new DispatcherServer(
                PlatformConfig.parse(new Gson().toJson(config), Map.of()), clock, PlatformFrontend::new);
        DispatcherOnStubPlatform.awaitResult(dispatcher.start());
        waitUntil(() -> isHealthy(dispatcher.ports().get(0)));
        return dispatcher;
    }

    static boolean isHealthy(int port) {
        try (RawClient client = new RawClient(port)) {
            return client.send(HEALTH).read().status() == 200;
        } catch (java.io.IOException e) {
            return false;
        }
    }

    /** Waits until the event loop has handled everything that was in its sockets before this call. */
    static void awaitEventLoop(int port) throws Exception {
        try (RawClient client = new RawClient(port)) {
            for (int i = 0; i < 3; i++) {
                client.send(HEALTH).read();
            }
        }
    }

    static void awaitEventLoop(RawClient client) throws Exception {
        for (int i = 0; i < 3; i++) {
            client.send(HEALTH).read();
        }
    }

    /** Makes the endpoints hold each request until the test finishes it. */
    List<HttpServerRequest> holdRequests() {
        List<HttpServerRequest> held = new java.util.concurrent.CopyOnWriteArrayList<>();
        platform.requestOverride = held::add;
        return held;
    }

    static void finish(HttpServerRequest request) {
        String id = request.getHeader("X-Request-Id");
        request.response()
                .setChunked(true)
                .end("{\"id\":\"" + id + "\",\"from\":\"s-1\",\"state\":\"done\",\"result\":\"r-" + id + "\"}\n");
    }

    static void await(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Blocks the event loop of a dispatcher until it is released. */
    static final class BlockedEventLoop {
        private final CountDownLatch release = new CountDownLatch(1);

        BlockedEventLoop(DispatcherServer dispatcher) throws InterruptedException {
            CountDownLatch blocked = new CountDownLatch(1);
            dispatcher.eventLoop().runOnContext(v -> {
                blocked.countDown();
                await(release);
            });
            blocked.await();
        }

        void release() {
            release.countDown();
        }
    }
}
