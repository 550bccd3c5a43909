import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Pattern;

/**
 * A tablet hands in a job on the event-stream front. Its link drops twice; each time the tablet is back a second
 * later, as it was told, and attaches to its job again.
 */
final class StreamDrops {
    private static final double DEADLINE_SECONDS = 25;
    private static final long RUN_MILLIS = 6000;
    /** What the front tells clients to wait before they connect again. */
    private static final long RETRY_MILLIS = 1000;

    private static final long FIRST_DROP_MILLIS = 500;
    private static final long SECOND_DROP_MILLIS = 3000;
    private static final String ID = "9b1f03aa5c7e2d41";
    private static final String BODY = "{\"marks\":17}";

    private final Kit.Bench bench;

    private StreamDrops(Kit.Bench bench) {
        this.bench = bench;
    }

    public static void main(String[] args) {
        Kit.run(Path.of(args[0]), Path.of(args[1]), bench -> new StreamDrops(bench).play());
    }

    private int play() throws Exception {
        Runner runner = new Runner(bench, "s-1", 4, 8, true, job -> RUN_MILLIS);
        int edge = Kit.freePort();
        Path settings = Files.writeString(
                bench.temporary.resolve("settings.conf"),
                "edge {\n    listen " + Kit.HOST + ":" + edge + "\n    retry 1s\n    grace 3s\n    keep 30s\n}\n");
        int port = Kit.freePort();
        String config = Kit.config(
                port,
                new Kit.Discovery(List.of(Kit.host(runner.name, runner.port))),
                List.of(Kit.classOf("transfer", "fragile", (long) (DEADLINE_SECONDS * 1000))),
                false);
        Kit.Dispatcher dispatcher = new Kit.Dispatcher(bench, "n0", port, config, " --settings " + settings);
        dispatcher.awaitReady();
        Kit.sleep(500);
        long startedAt = System.nanoTime();
        Stream stream = new Stream(bench, "tablet", edge, request(0, null));
        if (Kit.trouble()) {
            stream = dropAt(startedAt, FIRST_DROP_MILLIS, stream, edge, 1);
            stream = dropAt(startedAt, SECOND_DROP_MILLIS, stream, edge, 2);
        }
        String last = stream.awaitFinal(RUN_MILLIS + 5000);
        Kit.sleep(Math.max(0, RUN_MILLIS + 500 - (System.nanoTime() - startedAt) / Kit.MS));
        stream.close();
        bench.recordLog(dispatcher, Pattern.compile("WARN|SEVERE"), 5);
        bench.record("the tablet's final event: " + last + "; the runner has done " + runner.done.get() + " job");
        if (runner.taken.getOrDefault(ID, List.of()).size() != 1 || runner.done.get() != 1) {
            return Kit.COULD_NOT_RUN;
        }
        return last != null && last.startsWith("result ") && last.contains("result of ") ? Kit.HELD : Kit.BROKEN;
    }

    private Stream dropAt(long startedAt, long dropMillis, Stream stream, int edge, int number) throws Exception {
        Kit.sleep(dropMillis - (System.nanoTime() - startedAt) / Kit.MS);
        String lastEventId = stream.lastEventId();
        stream.close();
        bench.record("the tablet's link drops, time " + number);
        Kit.sleep(RETRY_MILLIS);
        double spent = (System.nanoTime() - startedAt) / 1e9;
        bench.record("the tablet is back");
        return new Stream(bench, "tablet", edge, request(spent, lastEventId));
    }

    private static String request(double spentSeconds, String lastEventId) {
        String more = lastEventId == null ? "" : "Last-Event-ID: " + lastEventId + "\r\n";
        return Kit.job(ID, "transfer", DEADLINE_SECONDS - spentSeconds, BODY.length(), more) + BODY;
    }
}
