package nettlewick.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.Gson;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import nettlewick.net.DispatcherOnStubPlatform;
import nettlewick.net.RawClient;
import nettlewick.stubs.ReservedPorts;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** A real dispatcher process receives several signals while requests are in flight. */
@Timeout(60)
class SignalsProcessTest {
    @TempDir
    private Path dir;

    private Process dispatcher;

    @AfterEach
    void killDispatcher() {
        if (dispatcher != null) {
            dispatcher.destroyForcibly();
        }
    }

    private void signal(String name) throws IOException, InterruptedException {
        assertEquals(
                0,
                new ProcessBuilder("kill", "-" + name, Long.toString(dispatcher.pid()))
                        .start()
                        .waitFor());
    }

    private static boolean isHealthy(int port) {
        try (RawClient client = new RawClient(port)) {
            return client.send("GET /_health HTTP/1.1\r\nHost: x\r\n\r\n")
                            .read()
                            .status()
                    == 200;
        } catch (IOException e) {
            return false;
        }
    }

    /** Neither a reload nor a second SIGTERM may cut a graceful shutdown short. */
    @Test
    void repeatedSignalsDoNotCutAGracefulShutdownShort() throws Exception {
        int port = ReservedPorts.reserve();
        try (DispatcherOnStubPlatform platform = new DispatcherOnStubPlatform()) {
            platform.addEndpoint("s-1");
            Map<String, Object> config = platform.config();
            config.put("listen", "127.0.0.1:" + port);
            Path file = Files.writeString(dir.resolve("config"), new Gson().toJson(config));
            dispatcher = ChildProcess.start(
                    dir.resolve("log"),
                    Map.of("ROUTER_CONFIG", file.toString(), "JAVA_TOOL_OPTIONS", "-Djava.io.tmpdir=" + dir),
                    "serve");
            ChildProcess.awaitCondition(dispatcher, dir.resolve("log"), () -> isHealthy(port));
            try (RawClient busy = new RawClient(port);
                    RawClient keepAlive = new RawClient(port)) {
                assertEquals(
                        "r-k1",
                        keepAlive
                                .send(DispatcherOnStubPlatform.requestBytes("/api", "k1", "step-view", "10"))
                                .read()
                                .body());
                busy.send(DispatcherOnStubPlatform.requestBytes("/api", "w", "mark-submit", "1200"));
                DispatcherOnStubPlatform.waitUntil(() -> platform.receivedRequests.size() == 2);
                for (String signal : new String[] {"HUP", "TERM", "HUP", "TERM"}) {
                    signal(signal);
                }
                assertEquals(
                        "r-k2",
                        keepAlive
                                .send(DispatcherOnStubPlatform.requestBytes("/api", "k2", "step-view", "10"))
                                .read()
                                .body());
                try (RawClient newClient = new RawClient(port)) {
                    assertEquals(
                            "r-l",
                            newClient
                                    .send(DispatcherOnStubPlatform.requestBytes("/api", "l", "mark-submit", "10"))
                                    .read()
                                    .body());
                }
                assertEquals("r-w", busy.read().body());
                assertNull(keepAlive.read(), "the connection is closed, not reset");
            }
            assertTrue(dispatcher.waitFor(15, TimeUnit.SECONDS), "the dispatcher has not exited");
            assertEquals(0, dispatcher.exitValue());
            platform.executionCounts.forEach((id, runs) -> assertEquals(1, runs.get(), id));
        }
    }
}
