import java.io.IOException;
import java.io.OutputStream;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A sound sim runner: answers probes, runs jobs in order on its slots, keeps a bounded queue, turns the rest away
 * unseen, and tells of the start and, each second, of the progress of a job.
 */
final class Runner {
    /** How long a job runs, in milliseconds. */
    interface RunTime {
        long of(Kit.Message job);
    }

    final String name;
    final int port;
    /** The bodies of the jobs that were taken, by request id; more than one for an id that came more than once. */
    final Map<String, List<String>> taken = new ConcurrentHashMap<>();

    /** The ids of the jobs that began to run, in order. */
    final List<String> begun = new CopyOnWriteArrayList<>();

    final AtomicInteger done = new AtomicInteger();

    private final Kit.Bench bench;
    private final boolean records;
    private final int queueLength;
    private final Semaphore freeSlots;
    private final AtomicInteger waiting = new AtomicInteger();
    private final AtomicInteger running = new AtomicInteger();
    private final RunTime runTime;

    /** @param records whether each job goes into the record */
    Runner(Kit.Bench bench, String name, int slots, int queueLength, boolean records, RunTime runTime)
            throws IOException {
        this.bench = bench;
        this.name = name;
        this.queueLength = queueLength;
        this.records = records;
        this.runTime = runTime;
        freeSlots = new Semaphore(slots, true);
        port = Kit.serve((request, out, socket) -> serve(request, out));
    }

    /** What the runner answers to a job with this body. */
    static String resultOf(String body) {
        return "result of " + body;
    }

    private static String escape(String text) {
        return text.replace("\\", "\\\\").replace("\"", "\\\"");
    }

    private void serve(Kit.Message request, OutputStream out) throws IOException {
        String path = request.first().split(" ")[1];
        if (path.startsWith("/ping") || path.startsWith("/_load")) {
            int free = freeSlots.availablePermits();
            Kit.respond(
                    out,
                    "200 OK",
                    "",
                    "depth=" + waiting.get() + ",concurrent=" + (waiting.get() + running.get()) + ",x0=" + free
                            + ",x1=" + free);
            return;
        }
        if (waiting.get() >= queueLength) {
            Kit.respond(out, "503 Service Unavailable", "X-Not-Run: 1\r\n", "");
            return;
        }
        waiting.incrementAndGet();
        String id = request.headers().get("x-request-id");
        taken.computeIfAbsent(id, key -> new CopyOnWriteArrayList<>()).add(request.text());
        record("job " + id + " taken with body " + request.text());
        Kit.beginChunks(out);
        freeSlots.acquireUninterruptibly();
        waiting.decrementAndGet();
        running.incrementAndGet();
        begun.add(id);
        record("job " + id + " begins to run");
        try {
            run(id, runTime.of(request), out);
            record("job " + id + " done");
            done.incrementAndGet();
            Kit.chunk(out, Kit.line(id, name, "\"done\",\"result\":\"" + escape(resultOf(request.text())) + "\""));
            Kit.endChunks(out);
        } finally {
            running.decrementAndGet();
            freeSlots.release();
        }
    }

    private void run(String id, long totalMillis, OutputStream out) {
        tell(out, Kit.line(id, name, "\"started\""));
        long end = System.nanoTime() + totalMillis * Kit.MS;
        for (long left = totalMillis; left > 0; left = (end - System.nanoTime()) / Kit.MS) {
            Kit.sleep(Math.min(1000, left));
            long still = (end - System.nanoTime()) / Kit.MS;
            if (still > 0) {
                String share = String.format(Locale.ROOT, "%.2f", 1 - (double) still / totalMillis);
                tell(out, Kit.line(id, name, "\"running\",\"share\":" + share));
            }
        }
    }

    /** A job goes on where its dispatcher has gone. */
    private static void tell(OutputStream out, String line) {
        try {
            Kit.chunk(out, line);
        } catch (IOException e) {
            // The connection is broken; nobody hears of the job any more.
        }
    }

    private void record(String line) {
        if (records) {
            bench.record(name + ": " + line);
        }
    }
}
