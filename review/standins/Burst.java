import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Pattern;

/**
 * One dispatcher in front of twenty sound workers, with jobs of a site's two classes and bodies of 64 KiB. After some
 * seconds a burst of half as much again begins. The dispatcher must not crash, and each job must have its final answer
 * half a second after its time at the latest.
 */
final class Burst {
    private static final String SHORT = "time-lookup";
    private static final String LONG = "result-post";
    private static final int LONG_PERCENT = 45;
    private static final long SHORT_RUN_MILLIS = 400;
    private static final long LONG_RUN_MILLIS = 1600;
    private static final long SHORT_DEADLINE_MILLIS = 7500;
    private static final long LONG_DEADLINE_MILLIS = 25_000;

    private static final int WORKERS = 20;
    private static final int SLOTS = 4;
    private static final double JOBS_A_SECOND = 40;
    private static final double BURST_FACTOR = 1.5;
    private static final double BURST_FROM_SECONDS = 5;
    private static final double LENGTH_SECONDS = 50;
    private static final String BODY = "x".repeat(65_536);
    private static final int SLACK_MILLIS = 500;
    private static final int CONNECT_MILLIS = 3000;
    /** A third of the descriptors: clients hold no more connections. */
    private static final int MOST_CONNECTIONS = 341;
    /** With so many jobs lost the play need not go on. */
    private static final int ENOUGH_LOST = 50;
    private static final String UNANSWERED = "unanswered";
    private static final String READ_AND_CLOSED = "read and closed without an answer";

    private final Kit.Bench bench;
    private final Map<String, AtomicInteger> ends = new ConcurrentHashMap<>();
    /** The jobs that a worker got, which the dispatcher has therefore read. */
    private final Set<String> forwarded = ConcurrentHashMap.newKeySet();
    private final AtomicInteger attempts = new AtomicInteger();
    private final AtomicInteger inHand = new AtomicInteger();
    private final AtomicInteger mostInHand = new AtomicInteger();

    private Burst(Kit.Bench bench) {
        this.bench = bench;
    }

    public static void main(String[] args) {
        Kit.run(Path.of(args[0]), Path.of(args[1]), bench -> new Burst(bench).play());
    }

    private int play() throws Exception {
        List<String> hosts = Kit.newList();
        for (int i = 0; i < WORKERS; i++) {
            String name = "w-" + i;
            Semaphore slots = new Semaphore(SLOTS, true);
            hosts.add(Kit.host(name, Kit.serve((request, out, socket) -> run(name, slots, request, out))));
        }
        Kit.Discovery discovery = new Kit.Discovery(hosts);
        int port = Kit.freePort();
        List<String> classes = List.of(
                Kit.classOf(SHORT, "retryable", SHORT_DEADLINE_MILLIS),
                Kit.classOf(LONG, "fragile", LONG_DEADLINE_MILLIS));
        Kit.Dispatcher dispatcher =
                new Kit.Dispatcher(bench, "n0", port, Kit.config(port, discovery, classes, true), "");
        dispatcher.awaitReady();
        bench.record("ready");
        long begin = System.nanoTime();
        AtomicInteger pending = new AtomicInteger();
        int jobs = 0;
        boolean inBurst = false;
        for (double due = 0; due < LENGTH_SECONDS && lost() < ENOUGH_LOST; jobs++) {
            Kit.sleep((long) (due * 1000) - (System.nanoTime() - begin) / Kit.MS);
            boolean isBurst = Kit.trouble() && due >= BURST_FROM_SECONDS;
            if (isBurst && !inBurst) {
                bench.record("the burst begins");
            }
            inBurst = isBurst;
            String id = "j" + jobs;
            boolean isLong = jobs * 37 % 100 < LONG_PERCENT;
            pending.incrementAndGet();
            Kit.daemon(() -> {
                String end = send(port, id, isLong);
                ends.computeIfAbsent(end, e -> new AtomicInteger()).incrementAndGet();
                bench.record("job " + id + " of " + (isLong ? LONG : SHORT) + ": " + end);
                pending.decrementAndGet();
            });
            due += 1 / (isBurst ? JOBS_A_SECOND * BURST_FACTOR : JOBS_A_SECOND);
        }
        while (pending.get() > 0) {
            Kit.sleep(50);
        }
        boolean isAlive = dispatcher.process.isAlive();
        bench.record("jobs " + jobs + ", their ends " + new TreeMap<>(ends) + ", attempts " + attempts
                + ", most jobs in hand at once " + mostInHand);
        bench.record("dispatcher alive: " + isAlive + (isAlive ? "" : ", exit code " + dispatcher.process.exitValue()));
        bench.recordLog(dispatcher, Pattern.compile("OutOfMemory"), 5);
        return isAlive && lost() == 0 ? Kit.HELD : Kit.BROKEN;
    }

    private int lost() {
        return count(UNANSWERED) + count(READ_AND_CLOSED);
    }

    private int count(String end) {
        AtomicInteger counted = ends.get(end);
        return counted == null ? 0 : counted.get();
    }

    /** A client that comes with one job, waits for its answer and goes. */
    private String send(int port, String id, boolean isLong) {
        long deadline = isLong ? LONG_DEADLINE_MILLIS : SHORT_DEADLINE_MILLIS;
        int connections = inHand.incrementAndGet();
        if (connections > MOST_CONNECTIONS) {
            inHand.decrementAndGet();
            return "not sent, no connection left";
        }
        mostInHand.accumulateAndGet(connections, Math::max);
        try (Socket socket = new Socket()) {
            try {
                socket.connect(new InetSocketAddress(Kit.HOST, port), CONNECT_MILLIS);
            } catch (IOException e) {
                return "not connected";
            }
            socket.setSoTimeout((int) deadline + SLACK_MILLIS);
            String more = "X-Cost-Hint: " + (isLong ? LONG_RUN_MILLIS : SHORT_RUN_MILLIS) * 1000 + "\r\n";
            String head = Kit.job(id, isLong ? LONG : SHORT, deadline / 1000.0, BODY.length(), more);
            socket.getOutputStream().write((head + BODY).getBytes(StandardCharsets.US_ASCII));
            Kit.Message answer = Kit.Message.read(new BufferedInputStream(socket.getInputStream()));
            // A close over unread bytes would have reset the connection.
            return answer == null ? READ_AND_CLOSED : Integer.toString(answer.status());
        } catch (SocketTimeoutException e) {
            return UNANSWERED;
        } catch (IOException e) {
            return forwarded.contains(id) ? READ_AND_CLOSED : "reset";
        } finally {
            inHand.decrementAndGet();
        }
    }

    /** A worker: its free slots when probed, starts in order, progress each second, a small result. */
    private void run(String name, Semaphore slots, Kit.Message request, OutputStream out) throws IOException {
        if (request.first().startsWith("GET")) {
            int free = slots.availablePermits();
            Kit.respond(out, "200 OK", "", "depth=" + slots.getQueueLength() + ",concurrent=" + (SLOTS - free)
                    + ",x0=" + free + ",x1=" + free);
            return;
        }
        String id = request.headers().get("x-request-id");
        attempts.incrementAndGet();
        forwarded.add(id);
        Kit.beginChunks(out);
        slots.acquireUninterruptibly();
        try {
            Kit.chunk(out, Kit.line(id, name, "\"started\""));
            if (request.headers().get("x-class").equals(SHORT)) {
                Kit.sleep(SHORT_RUN_MILLIS);
            } else {
                Kit.sleep(1000);
                Kit.chunk(out, Kit.line(id, name, "\"running\",\"share\":" + 1000.0 / LONG_RUN_MILLIS));
                Kit.sleep(LONG_RUN_MILLIS - 1000);
            }
        } finally {
            slots.release();
        }
        Kit.chunk(out, Kit.line(id, name, "\"done\",\"result\":\"r-" + id + "\""));
        Kit.endChunks(out);
    }
}
