package nettlewick.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.Gson;
import io.vertx.core.buffer.Buffer;
import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import nettlewick.net.DispatcherOnStubPlatform;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * A rolling restart of three real dispatcher processes by SIGTERM. Some clients reuse connections, some pipeline
 * requests, and some open a connection for each request.
 */
@Tag("fleet")
@Timeout(120)
class RollingRestartProcessTest {
    private static final int DISPATCHERS = 3;
    private static final int CLIENTS = 9;
    private static final int PIPELINED = 3;
    /** At most one in this many new connections may be closed without a response. */
    private static final int MIN_CONNECTIONS_PER_FAILURE = 200;

    @TempDir
    private Path dir;

    private final int[] ports = new int[DISPATCHERS];
    private final Process[] dispatchers = new Process[DISPATCHERS];
    private final ConcurrentLinkedQueue<String> failures = new ConcurrentLinkedQueue<>();
    private final Map<String, AtomicInteger> statuses = new ConcurrentHashMap<>();
    private final AtomicInteger requestCount = new AtomicInteger();
    private final AtomicInteger newConnections = new AtomicInteger();
    private final AtomicInteger failedNewConnections = new AtomicInteger();
    private volatile boolean stopped;

    private record Response(String status, String head) {
        boolean closesConnection() {
            return head.toLowerCase(Locale.ROOT).contains("\nconnection: close");
        }
    }

    /** The next response, or null if the connection ended before its first byte. */
    private static Response read(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int b = in.read();
            if (b < 0) {
                return null;
            }
            head.append((char) b);
        }
        Matcher length = Pattern.compile("(?i)content-length: (\\d+)").matcher(head);
        in.readNBytes(length.find() ? Integer.parseInt(length.group(1)) : 0);
        return new Response(head.substring(9, 12), head.toString());
    }

    private byte[] request(String id, String... headers) {
        Buffer bytes = DispatcherOnStubPlatform.requestBytes(
                "/api", id, id.startsWith("mark") ? "mark-submit" : "step-view", "10", headers);
        return bytes.toString().replace("X-Deadline: 4\r", "X-Deadline: 0.9\r").getBytes(StandardCharsets.US_ASCII);
    }

    private String nextId(int client) {
        return (client % 2 == 0 ? "mark-" : "view-") + requestCount.incrementAndGet();
    }

    private void record(Response response, String id) {
        statuses.computeIfAbsent(response.status(), s -> new AtomicInteger()).incrementAndGet();
        if (!response.status().equals("200")
                && !(response.status().equals("503") && response.head().contains("Retry-After"))) {
            failures.add(id + " got " + response.head());
        }
    }

    private Socket connect(int dispatcher) throws IOException {
        Socket socket = new Socket();
        socket.connect(new InetSocketAddress("127.0.0.1", ports[dispatcher]), 1000);
        socket.setTcpNoDelay(true);
        return socket;
    }

    /** Sends batches of pipelined requests on one connection and reads their responses, as long as it stays open. */
    private void useOneConnection(int client, int dispatcher, int batchSize) {
        try (Socket socket = connect(dispatcher)) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            for (boolean isClosing = false; !isClosing && !stopped; ) {
                ByteArrayOutputStream batch = new ByteArrayOutputStream();
                List<String> ids = new ArrayList<>();
                for (int i = 0; i < batchSize; i++) {
                    ids.add(nextId(client));
                    batch.write(request(ids.get(i)));
                }
                socket.getOutputStream().write(batch.toByteArray());
                for (String id : ids) {
                    Response response = null;
                    try {
                        response = read(in);
                    } catch (IOException e) {
                        failures.add(id + " of " + ids + " at n" + dispatcher + ": " + e);
                        return;
                    }
                    if (response == null) {
                        failures.add(
                                id + " of " + ids + " at n" + dispatcher + ": connection closed without a response");
                        return;
                    }
                    record(response, id);
                    isClosing = response.closesConnection();
                }
            }
        } catch (IOException e) {
            // The dispatcher is down, or the connection was closed before anything was sent.
            pause();
        }
    }

    private void useNewConnection(int client, int dispatcher) {
        String id = nextId(client);
        try (Socket socket = connect(dispatcher)) {
            newConnections.incrementAndGet();
            try {
                socket.getOutputStream().write(request(id, "Connection: close"));
                Response response = read(new BufferedInputStream(socket.getInputStream()));
                if (response == null) {
                    failedNewConnections.incrementAndGet();
                } else {
                    record(response, id);
                }
            } catch (IOException e) {
                failedNewConnections.incrementAndGet();
            }
        } catch (IOException e) {
            pause();
        }
    }

    private static void pause() {
        try {
            TimeUnit.MILLISECONDS.sleep(20);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void start(DispatcherOnStubPlatform platform, int number) throws IOException {
        Map<String, Object> config = platform.config();
        @SuppressWarnings("unchecked")
        Map<String, Object> settings = (Map<String, Object>) config.get("settings");
        settings.put("rank", number);
        settings.put("fleet_size", DISPATCHERS);
        List<Map<String, Object>> classes = new ArrayList<>();
        for (Object requestClass : (List<?>) settings.get("classes")) {
            Map<String, Object> changed = new HashMap<>((Map<String, Object>) requestClass);
            changed.put("deadline", 1_000_000_000L);
            classes.add(changed);
        }
        settings.put("classes", classes);
        config.put("name", "n" + number);
        config.put("listen", "127.0.0.1:" + ports[number]);
        Path file = Files.writeString(dir.resolve("config" + number), new Gson().toJson(config));
        dispatchers[number] = ChildProcess.start(
                dir.resolve("log" + number),
                Map.of("ROUTER_CONFIG", file.toString(), "JAVA_TOOL_OPTIONS", "-Djava.io.tmpdir=" + dir),
                "serve");
    }

    private boolean isHealthy(int number) {
        try (Socket socket = connect(number)) {
            socket.getOutputStream()
                    .write("GET /_health HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
                            .getBytes(StandardCharsets.US_ASCII));
            Response response = read(socket.getInputStream());
            return response != null && response.status().equals("200");
        } catch (IOException e) {
            return false;
        }
    }

    @Test
    void everyRequestOfARollingRestartIsAnswered() throws Exception {
        for (int n = 0; n < DISPATCHERS; n++) {
            try (ServerSocket socket = new ServerSocket(0)) {
                ports[n] = socket.getLocalPort();
            }
        }
        try (DispatcherOnStubPlatform platform = new DispatcherOnStubPlatform()) {
            for (int r = 0; r < 4; r++) {
                platform.addEndpoint("s-" + r);
            }
            for (int n = 0; n < DISPATCHERS; n++) {
                start(platform, n);
            }
            for (int n = 0; n < DISPATCHERS; n++) {
                int dispatcher = n;
                ChildProcess.awaitCondition(dispatchers[n], dir.resolve("log" + n), () -> isHealthy(dispatcher));
            }
            List<Thread> clients = new ArrayList<>();
            for (int c = 0; c < CLIENTS; c++) {
                int client = c;
                Thread t = new Thread(
                        () -> {
                            for (int turn = client / 3; !stopped; turn++) {
                                switch (client % 3) {
                                    case 0 -> useOneConnection(client, turn % DISPATCHERS, 1);
                                    case 1 -> useOneConnection(client, turn % DISPATCHERS, PIPELINED);
                                    default -> useNewConnection(client, turn % DISPATCHERS);
                                }
                            }
                        },
                        "client-" + c);
                t.start();
                clients.add(t);
            }
            for (int n = 0; n < DISPATCHERS; n++) {
                int dispatcher = n;
                int sentBefore = requestCount.get();
                DispatcherOnStubPlatform.waitUntil(() -> requestCount.get() > sentBefore + 200);
                dispatchers[n].destroy();
                assertTrue(dispatchers[n].waitFor(20, TimeUnit.SECONDS), "n" + n + " has not exited");
                start(platform, n);
                ChildProcess.awaitCondition(dispatchers[n], dir.resolve("log" + n), () -> isHealthy(dispatcher));
            }
            stopped = true;
            for (Thread t : clients) {
                t.join();
            }
            assertEquals(List.of(), List.copyOf(failures), statuses::toString);
            assertTrue(
                    failedNewConnections.get() <= newConnections.get() / MIN_CONNECTIONS_PER_FAILURE,
                    failedNewConnections + " of " + newConnections + " new connections failed");
            assertTrue(statuses.get("200").get() > 300, statuses::toString);
            platform.executionCounts.forEach(
                    (id, runs) -> assertTrue(!id.startsWith("mark") || runs.get() <= 1, id + " ran " + runs));
        }
    }

    @AfterEach
    void stopAll() {
        stopped = true;
        for (Process p : dispatchers) {
            if (p != null) {
                p.destroyForcibly();
            }
        }
    }
}
