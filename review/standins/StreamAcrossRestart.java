import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A tablet reads the progress stream of a mark-submit that waits at a busy sim runner. The dispatcher is killed and
 * started again; the tablet sends the same request again, as the README says. The sim runner must not get it twice.
 */
final class StreamAcrossRestart {
    private static final String ID = "9b1f03aa5c7e2d41";
    private static final String RUNNER = "s-5be2a07c";
    private static final long BUSY_MILLIS = 4000;
    private static final long RUN_MILLIS = 80;
    private static final long KILL_AFTER_MILLIS = 500;

    private final Kit.Bench bench;
    /** The one slot of the sim runner; jobs that wait start in order. */
    private final Semaphore slot = new Semaphore(1, true);

    private final AtomicInteger received = new AtomicInteger();
    private final AtomicInteger executed = new AtomicInteger();
    private volatile int finalEvents;
    private volatile String lastEventId;

    private StreamAcrossRestart(Kit.Bench bench) {
        this.bench = bench;
    }

    public static void main(String[] args) {
        Kit.run(Path.of(args[0]), Path.of(args[1]), bench -> new StreamAcrossRestart(bench).play());
    }

    private int play() throws Exception {
        Kit.Discovery discovery = new Kit.Discovery(List.of(Kit.host(RUNNER, Kit.serve(this::run))));
        int port = Kit.freePort();
        int edgePort = Kit.freePort();
        Path settings = Files.writeString(
                bench.temporary.resolve("nettlewick.conf"), "edge {\n    listen " + Kit.HOST + ":" + edgePort + "\n}\n");
        String config = Kit.config(port, discovery, List.of(Kit.classOf("mark-submit", "fragile", 5000)), true);
        String arguments = " --settings " + settings;
        Kit.Dispatcher first = new Kit.Dispatcher(bench, "first", port, config, arguments);
        first.awaitReady();
        Thread tablet = Kit.daemon(() -> readToTheEnd(edgePort));
        for (int i = 0; received.get() == 0 && i < 100; i++) {
            Kit.sleep(50);
        }
        if (Kit.trouble()) {
            Kit.sleep(KILL_AFTER_MILLIS);
            first.kill();
            bench.record("dispatcher killed (SIGKILL)");
            new Kit.Dispatcher(bench, "second", port, config, arguments).awaitReady();
        }
        tablet.join(40_000);
        // What has been sent twice also runs twice: wait for it.
        for (int i = 0; executed.get() < received.get() && i < 200; i++) {
            Kit.sleep(50);
        }
        bench.record("the sim runner got " + ID + " " + received + " times and ran it " + executed + " times");
        bench.record("final events at the tablet: " + finalEvents);
        if (received.get() == 0 || tablet.isAlive()) {
            throw new IOException("the job was not sent, or the tablet's stream did not end");
        }
        return received.get() > 1 ? Kit.BROKEN : Kit.HELD;
    }

    /** A sim runner with one slot, busy with the job of another dispatcher's client when the mark-submit comes. */
    private void run(Kit.Message request, OutputStream out, Socket socket) throws IOException {
        if (request.first().startsWith("GET")) {
            Kit.respond(out, "200 OK", "", "depth=0,concurrent=0,x0=1,x1=1");
            return;
        }
        String id = request.headers().get("x-request-id");
        bench.record("sim runner got " + id + ", attempt " + received.incrementAndGet() + "; it waits");
        if (received.get() == 1) {
            slot.acquireUninterruptibly();
            Kit.daemon(() -> {
                Kit.sleep(BUSY_MILLIS);
                slot.release();
            });
        }
        Kit.beginChunks(out);
        // Waiting work is kept when its connection ends.
        slot.acquireUninterruptibly();
        try {
            bench.record("sim runner starts " + id);
            tell(out, Kit.line(id, RUNNER, "\"started\""));
            Kit.sleep(RUN_MILLIS);
            executed.incrementAndGet();
            bench.record("sim runner has run " + id);
        } finally {
            slot.release();
        }
        Kit.chunk(out, Kit.line(id, RUNNER, "\"done\",\"result\":\"marked\""));
        Kit.endChunks(out);
    }

    private void tell(OutputStream out, String line) {
        try {
            Kit.chunk(out, line);
        } catch (IOException e) {
            bench.record("sim runner: the connection of this attempt has ended");
        }
    }

    /** The tablet: reads the stream, and after a lost connection sends the same request again. */
    private void readToTheEnd(int port) {
        int retryMillis = 1000;
        while (finalEvents == 0) {
            try (Socket socket = new Socket(Kit.HOST, port)) {
                socket.setSoTimeout(30_000);
                String more = lastEventId == null ? "" : "Last-Event-ID: " + lastEventId + "\r\n";
                socket.getOutputStream()
                        .write((Kit.job(ID, "mark-submit", 5, 2, more) + "{}").getBytes(StandardCharsets.US_ASCII));
                bench.record("tablet sends " + ID + (more.isEmpty() ? ", no event seen yet" : ", " + more.strip()));
                retryMillis = readEvents(new BufferedInputStream(socket.getInputStream()), retryMillis);
            } catch (IOException e) {
                bench.record("tablet: " + e.getMessage());
            }
            if (finalEvents == 0) {
                Kit.sleep(retryMillis);
            }
        }
    }

    private int readEvents(InputStream in, int retryBefore) throws IOException {
        int retryMillis = retryBefore;
        String type = "";
        for (String text = Kit.Message.line(in); text != null; text = Kit.Message.line(in)) {
            if (text.startsWith("HTTP/1.1")) {
                bench.record("tablet gets " + text);
            } else if (text.startsWith("retry: ")) {
                retryMillis = Integer.parseInt(text.substring(7));
                bench.record("tablet gets " + text);
            } else if (text.startsWith("id: ")) {
                lastEventId = text.substring(4);
            } else if (text.startsWith("event: ")) {
                type = text.substring(7);
            } else if (text.startsWith("data: ")) {
                bench.record("tablet gets event " + lastEventId + ", " + type + " " + text);
                if (!type.equals("progress")) {
                    finalEvents++;
                    return retryMillis;
                }
            }
        }
        throw new IOException("the stream broke off");
    }
}
