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
 * A rolling restart of three real dispatcher processes by SIGTERM, under clients that reuse connections, that pipeline
 * requests, and that open a connection for each request.
 */
@Tag("fleet")
@Timeout(120)
class RollingRestartProcessTest {
    private static final int DISPATCHERS = 3;
    private static final int CLIENTS = 9;
    private static final int PIPELINED = 3;
    /** One request in this many on a new connection may be answered by a close. */
    private static final int MAX_BROKEN_RATIO = 200;

    @TempDir
    private Path dir;

    private final int[] ports = new int[DISPATCHERS];
    private final Process[] dispatchers = new Process[DISPATCHERS];
    private final ConcurrentLinkedQueue<String> broken = new ConcurrentLinkedQueue<>();
    private final Map<String, AtomicInteger> statuses = new ConcurrentHashMap<>();
    private final AtomicInteger numbers = new AtomicInteger();
    private final AtomicInteger newOnes = new AtomicInteger();
    private final AtomicInteger newBroken = new AtomicInteger();
    private volatile boolean stopped;

    private record Answer(String status, String head) {
        boolean last() {
            return head.toLowerCase(Locale.ROOT).contains("\nconnection: close");
        }
    }

    /** The next response, or null if the connection ended before its first byte. */
    private static Answer read(InputStream in) throws IOException {
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
        return new Answer(head.substring(9, 12), head.toString());
    }

    private byte[] request(String id, String... headers) {
        Buffer bytes = DispatcherOnStubPlatform.requestBytes(
                "/api", id, id.startsWith("mark") ? "mark-submit" : "step-view", "10", headers);
        return bytes.toString().replace("X-Deadline: 4\r", "X-Deadline: 0.9\r").getBytes(StandardCharsets.US_ASCII);
    }

    private String id(int client) {
        return (client % 2 == 0 ? "mark-" : "view-") + numbers.incrementAndGet();
    }

    private void record(Answer answer, String id) {
        statuses.computeIfAbsent(answer.status(), s -> new AtomicInteger()).incrementAndGet();
        if (!answer.status().equals("200")
                && !(answer.status().equals("503") && answer.head().contains("Retry-After"))) {
            broken.add(id + " got " + answer.head());
        }
    }

    private Socket connect(int dispatcher) throws IOException {
        Socket socket = new Socket();
        socket.connect(new InetSocketAddress("127.0.0.1", ports[dispatcher]), 1000);
        socket.setTcpNoDelay(true);
        return socket;
    }

    /** Sends that many requests at once on one connection and reads their responses, as long as it stays open. */
    private void useOneConnection(int client, int at, int together) {
        try (Socket socket = connect(at)) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            for (boolean last = false; !last && !stopped; ) {
                ByteArrayOutputStream all = new ByteArrayOutputStream();
                List<String> ids = new ArrayList<>();
                for (int i = 0; i < together; i++) {
                    ids.add(id(client));
                    all.write(request(ids.get(i)));
                }
                socket.getOutputStream().write(all.toByteArray());
                for (String id : ids) {
                    Answer answer = null;
                    try {
                        answer = read(in);
                    } catch (IOException e) {
                        broken.add(id + " of " + ids + " at n" + at + ": " + e);
                        return;
                    }
                    if (answer == null) {
                        broken.add(id + " of " + ids + " at n" + at + ": closed, no answer");
                        return;
                    }
                    record(answer, id);
                    last = answer.last();
                }
            }
        } catch (IOException e) {
            // The dispatcher is down, or the connection ended before anything was sent.
            pause();
        }
    }

    private void useNewConnection(int client, int at) {
        String id = id(client);
        try (Socket socket = connect(at)) {
            newOnes.incrementAndGet();
            try {
                socket.getOutputStream().write(request(id, "Connection: close"));
                Answer answer = read(new BufferedInputStream(socket.getInputStream()));
                if (answer == null) {
                    newBroken.incrementAndGet();
                } else {
                    record(answer, id);
                }
            } catch (IOException e) {
                newBroken.incrementAndGet();
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

    private void start(DispatcherOnStubPlatform world, int number) throws IOException {
        Map<String, Object> config = world.config();
        @SuppressWarnings("unchecked")
        Map<String, Object> settings = (Map<String, Object>) config.get("settings");
        settings.put("rank", number);
        settings.put("fleet_size", DISPATCHERS);
        List<Map<String, Object>> classes = new ArrayList<>();
        for (Object one : (List<?>) settings.get("classes")) {
            Map<String, Object> changed = new HashMap<>((Map<String, Object>) one);
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

    private boolean healthy(int number) {
        try (Socket socket = connect(number)) {
            socket.getOutputStream()
                    .write("GET /_health HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
                            .getBytes(StandardCharsets.US_ASCII));
            Answer answer = read(socket.getInputStream());
            return answer != null && answer.status().equals("200");
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
        try (DispatcherOnStubPlatform world = new DispatcherOnStubPlatform()) {
            for (int r = 0; r < 4; r++) {
                world.addRunner("s-" + r);
            }
            for (int n = 0; n < DISPATCHERS; n++) {
                start(world, n);
            }
            for (int n = 0; n < DISPATCHERS; n++) {
                int one = n;
                ChildProcess.awaitCondition(dispatchers[n], dir.resolve("log" + n), () -> healthy(one));
            }
            List<Thread> clients = new ArrayList<>();
            for (int c = 0; c < CLIENTS; c++) {
                int client = c;
                Thread t = new Thread(
                        () -> {
                            for (int at = client / 3; !stopped; at++) {
                                switch (client % 3) {
                                    case 0 -> useOneConnection(client, at % DISPATCHERS, 1);
                                    case 1 -> useOneConnection(client, at % DISPATCHERS, PIPELINED);
                                    default -> useNewConnection(client, at % DISPATCHERS);
                                }
                            }
                        },
                        "client-" + c);
                t.start();
                clients.add(t);
            }
            for (int n = 0; n < DISPATCHERS; n++) {
                int one = n;
                int before = numbers.get();
                DispatcherOnStubPlatform.until(() -> numbers.get() > before + 200);
                dispatchers[n].destroy();
                assertTrue(dispatchers[n].waitFor(20, TimeUnit.SECONDS), "n" + n + " has not ended");
                start(world, n);
                ChildProcess.awaitCondition(dispatchers[n], dir.resolve("log" + n), () -> healthy(one));
            }
            stopped = true;
            for (Thread t : clients) {
                t.join();
            }
            assertEquals(List.of(), List.copyOf(broken), statuses::toString);
            assertTrue(
                    newBroken.get() <= newOnes.get() / MAX_BROKEN_RATIO,
                    newBroken + " of " + newOnes + " on new connections");
            assertTrue(statuses.get("200").get() > 300, statuses::toString);
            world.runs.forEach(
                    (id, runs) -> assertTrue(!id.startsWith("mark") || runs.get() <= 1, id + " ran " + runs));
        }
    }

    @AfterEach
    void end() {
        stopped = true;
        for (Process p : dispatchers) {
            if (p != null) {
                p.destroyForcibly();
            }
        }
    }
}
