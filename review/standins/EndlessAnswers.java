import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Pattern;

/**
 * Eight sim runners behind one dispatcher, and clients that send step-view jobs. One attempt in eight is answered with
 * a last line that never ends. Each job must have its final answer half a second after its time at the latest.
 */
final class EndlessAnswers {
    private static final int RUNNERS = 8;
    private static final int SPOILT_ONE_IN = 8;
    private static final int JOBS_A_SECOND = 30;
    private static final int LENGTH_SECONDS = 15;
    private static final double DEADLINE_SECONDS = 5;
    private static final double LATEST_SECONDS = DEADLINE_SECONDS + 0.5;
    /** Half of what a body may hold. */
    private static final String BODY = "{\"steps\":\"" + "x".repeat(32_000) + "\"}";

    private static final int CLIENTS = 120;
    private static final int RECOVERY_SECONDS = 5;
    /** What a runner sends of an endless answer at most, in bytes a second: a link of 100 Mbit/s. */
    private static final long BYTES_A_SECOND = 12_500_000;

    private final Kit.Bench bench;
    private final AtomicInteger attempts = new AtomicInteger();
    private final AtomicInteger spoilt = new AtomicInteger();
    private final AtomicLong spoiltBytes = new AtomicLong();
    private final Map<String, String> endings = new ConcurrentHashMap<>();
    private final AtomicInteger lost = new AtomicInteger();
    private final AtomicInteger brokenOff = new AtomicInteger();
    private volatile boolean spoils;

    private EndlessAnswers(Kit.Bench bench) {
        this.bench = bench;
    }

    public static void main(String[] args) {
        Kit.run(Path.of(args[0]), Path.of(args[1]), bench -> new EndlessAnswers(bench).play());
    }

    private int play() throws Exception {
        List<String> hosts = Kit.newList();
        for (int i = 0; i < RUNNERS; i++) {
            String name = "s-" + i;
            hosts.add(Kit.host(name, Kit.serve((request, out, socket) -> run(name, request, out))));
        }
        Kit.Discovery discovery = new Kit.Discovery(hosts);
        int port = Kit.freePort();
        String config = Kit.config(port, discovery, List.of(Kit.classOf("step-view", "retryable", 5000)), true);
        Kit.Dispatcher dispatcher = new Kit.Dispatcher(bench, "n0", port, config, "");
        dispatcher.awaitReady();
        bench.record("ready");
        spoils = Kit.trouble();
        Thread[] clients = new Thread[CLIENTS];
        long begin = System.nanoTime();
        int jobs = JOBS_A_SECOND * LENGTH_SECONDS;
        for (int c = 0; c < CLIENTS; c++) {
            int client = c;
            clients[c] = Kit.daemon(() -> {
                Connection connection = new Connection(port);
                for (int job = client; job < jobs; job += CLIENTS) {
                    long due = begin + (long) (job * 1e9 / JOBS_A_SECOND);
                    Kit.sleep((due - System.nanoTime()) / 1_000_000);
                    connection.send("v" + job);
                }
            });
        }
        for (Thread client : clients) {
            client.join();
        }
        spoils = false;
        Kit.sleep(RECOVERY_SECONDS * 1000L);
        Connection afterwards = new Connection(port);
        int unanswered = 0;
        for (int i = 0; i < 3; i++) {
            unanswered += afterwards.send("later" + i) ? 0 : 1;
        }
        bench.record("sent one after another, " + RECOVERY_SECONDS + " s after the last spoilt answer: 3 jobs, "
                + unanswered + " without an answer in time");
        bench.record("attempts " + attempts + ", of these answered without an end " + spoilt + " ("
                + spoiltBytes.get() / 1_000_000 + " MB written)");
        Map<String, Integer> counts = new java.util.TreeMap<>();
        endings.values().forEach(e -> counts.merge(e, 1, Integer::sum));
        bench.record("jobs " + endings.size() + ", their ends " + counts);
        bench.record("no final answer " + LATEST_SECONDS + " s after they were sent, connection open: " + lost
                + "; connection ended without an answer: " + brokenOff);
        bench.record("dispatcher alive: " + dispatcher.process.isAlive());
        bench.recordLog(dispatcher, Pattern.compile("OutOfMemory|SEVERE|ERROR"), 5);
        return lost.get() > 0 || !dispatcher.process.isAlive() ? Kit.BROKEN : Kit.HELD;
    }

    /** A sim runner: probes, and jobs of 100 ms. */
    private void run(String name, Kit.Message request, OutputStream out) throws IOException {
        if (request.first().startsWith("GET")) {
            Kit.respond(out, "200 OK", "", "depth=0,concurrent=0,x0=8,x1=8");
            return;
        }
        String id = request.headers().get("x-request-id");
        Kit.beginChunks(out);
        Kit.chunk(out, Kit.line(id, name, "\"started\""));
        boolean isSpoilt = attempts.incrementAndGet() % SPOILT_ONE_IN == 0 && spoils;
        bench.record(name + " runs " + id + (isSpoilt ? ", answer without an end" : ""));
        Kit.sleep(100);
        if (isSpoilt) {
            spoilt.incrementAndGet();
            neverEnd(name, id, out);
        }
        Kit.chunk(out, Kit.line(id, name, "\"done\",\"result\":\"r-" + id + "\""));
        Kit.endChunks(out);
    }

    /** Writes a last line that has no end, until the dispatcher closes the connection. */
    private void neverEnd(String name, String id, OutputStream out) throws IOException {
        String whole = Kit.line(id, name, "\"done\",\"result\":\"");
        Kit.chunk(out, whole.substring(0, whole.length() - 2));
        String part = "x".repeat(16_384);
        long begin = System.nanoTime();
        for (long written = 0; ; written += part.length()) {
            Kit.chunk(out, part);
            spoiltBytes.addAndGet(part.length());
            double ahead = written / (double) BYTES_A_SECOND - (System.nanoTime() - begin) / 1e9;
            Kit.sleep((long) (ahead * 1000));
        }
    }

    /** A client's kept connection; one job at a time. */
    private final class Connection {
        private final int port;
        private Socket socket;
        private InputStream in;

        Connection(int port) {
            this.port = port;
        }

        boolean send(String id) {
            boolean isReused = socket != null;
            String end = sendOnce(id);
            if (end.equals("closed") && isReused) {
                // A close between requests may cross a request: it is sent once more on a new connection.
                end = sendOnce(id);
            }
            endings.put(id, end);
            if (end.equals("closed")) {
                brokenOff.incrementAndGet();
            }
            if (end.equals("unanswered") || end.equals("late")) {
                lost.incrementAndGet();
                bench.record("job " + id + ": " + end);
            }
            return Character.isDigit(end.charAt(0));
        }

        private String sendOnce(String id) {
            long sentAt = System.nanoTime();
            try {
                if (socket == null) {
                    socket = new Socket(Kit.HOST, port);
                    socket.setTcpNoDelay(true);
                    in = new BufferedInputStream(socket.getInputStream());
                }
                socket.setSoTimeout((int) (LATEST_SECONDS * 1000) + 2000);
                socket.getOutputStream()
                        .write((Kit.job(id, "step-view", DEADLINE_SECONDS, BODY.length(), "") + BODY)
                                .getBytes(StandardCharsets.US_ASCII));
                sentAt = System.nanoTime();
                Kit.Message answer = Kit.Message.read(in);
                double seconds = (System.nanoTime() - sentAt) / 1e9;
                if (answer == null) {
                    disconnect();
                    return "closed";
                }
                bench.record(String.format(Locale.ROOT, "job %s answered %d after %.3f s", id, answer.status(), seconds));
                if ("close".equalsIgnoreCase(answer.headers().get("connection"))) {
                    disconnect();
                }
                if (answer.status() == 200 && !answer.text().equals("r-" + id)) {
                    return "foreign";
                }
                return seconds > LATEST_SECONDS ? "late" : Integer.toString(answer.status());
            } catch (SocketTimeoutException e) {
                disconnect();
                return "unanswered";
            } catch (IOException e) {
                disconnect();
                return "closed";
            }
        }

        private void disconnect() {
            try {
                if (socket != null) {
                    socket.close();
                }
            } catch (IOException e) {
                // Closed already.
            }
            socket = null;
        }
    }
}
