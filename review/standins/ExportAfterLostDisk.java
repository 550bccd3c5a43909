import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * A dispatcher with a ledger that exports to a folder. It serves jobs, exports them and ends as planned; then it is
 * started again, with an empty folder for the ledger where its disk was lost, and serves and exports more jobs.
 */
final class ExportAfterLostDisk {
    private static final int JOBS_BEFORE = 5;
    private static final int JOBS_AFTER = 3;
    private static final long EXPORT_TIMEOUT_MILLIS = 15_000;
    private static final long QUIET_MILLIS = 3_000;
    /** SIGKILL comes no sooner than the longest deadline, counted as 3 s at most, and 0.7 s after SIGTERM. */
    private static final long KILL_MILLIS = 3_700;

    private static final Pattern FILE_OF_BATCH = Pattern.compile("\"file\":\"([^\"]+)\"");
    private static final Pattern REQUEST_OF_ENTRY = Pattern.compile("\"request\":\"([^\"]+)\"");

    private final Kit.Bench bench;
    private final Path exports;
    private Kit.Discovery discovery;

    private ExportAfterLostDisk(Kit.Bench bench) {
        this.bench = bench;
        exports = bench.temporary.resolve("exports");
    }

    public static void main(String[] args) {
        Kit.run(Path.of(args[0]), Path.of(args[1]), bench -> new ExportAfterLostDisk(bench).play());
    }

    private int play() throws Exception {
        Runner runner = new Runner(bench, "s-1", 4, 8, false, job -> 20);
        discovery = new Kit.Discovery(List.of(Kit.host(runner.name, runner.port)));
        List<String> served = new ArrayList<>();
        live("first", bench.temporary.resolve("disk-1"), JOBS_BEFORE, served);
        Map<String, String> before = completeBatches();
        before.forEach((name, content) -> bench.record("exported in " + name + ": " + requestsIn(content)));
        if (Kit.trouble()) {
            bench.record("the ledger's disk is lost; the dispatcher starts with an empty folder, the exports stay");
        }
        live("second", bench.temporary.resolve(Kit.trouble() ? "disk-2" : "disk-1"), JOBS_AFTER, served);
        Map<String, String> after = completeBatches();
        after.forEach((name, content) -> bench.record("exported in " + name + ": " + requestsIn(content)));
        return judge(served, before, after);
    }

    /** A life of the dispatcher: serves jobs, waits for their export, and ends by SIGTERM. */
    private void live(String life, Path disk, int jobs, List<String> served) throws Exception {
        Path settings = Files.writeString(
                bench.temporary.resolve(life + ".conf"),
                "ledger {\n    store \"" + disk + "\"\n    mode sync\n    export books {\n        folder \"" + exports
                        + "\"\n        format jsonl\n        every 1s\n    }\n}\n");
        int port = Kit.freePort();
        String config =
                Kit.config(port, discovery, List.of(Kit.classOf("mark-submit", "fragile", 5000)), true);
        Kit.Dispatcher dispatcher = new Kit.Dispatcher(bench, life, port, config, " --settings " + settings);
        dispatcher.awaitReady();
        List<String> mine = new ArrayList<>();
        for (int i = 0; i < jobs; i++) {
            String id = String.format(Locale.ROOT, "%s%010x", life.equals("first") ? "aaaaaa" : "bbbbbb", i);
            if (serve(port, id)) {
                mine.add(id);
            }
        }
        served.addAll(mine);
        bench.record(life + " life has served " + mine);
        long until = System.nanoTime() + EXPORT_TIMEOUT_MILLIS * Kit.MS;
        while (System.nanoTime() < until
                && !requestsIn(String.join("", completeBatches().values())).containsAll(mine)) {
            Kit.sleep(100);
        }
        Kit.sleep(QUIET_MILLIS);
        dispatcher.terminate(KILL_MILLIS);
        bench.record(life + " life has ended");
    }

    private boolean serve(int port, String id) throws IOException {
        try (Socket socket = new Socket(Kit.HOST, port)) {
            socket.setSoTimeout(6000);
            String request = Kit.job(id, "mark-submit", 5, 2, "") + "{}";
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            Kit.Message answer = Kit.Message.read(new BufferedInputStream(socket.getInputStream()));
            return answer != null && answer.status() == 200;
        }
    }

    /** The contents of the batches that count, since their manifest is there, by the name of the batch. */
    private Map<String, String> completeBatches() throws IOException {
        Map<String, String> batches = new TreeMap<>();
        if (!Files.isDirectory(exports)) {
            return batches;
        }
        try (Stream<Path> files = Files.list(exports)) {
            for (Path manifest : files.filter(file -> file.toString().endsWith(".manifest.json"))
                    .toList()) {
                Matcher file = FILE_OF_BATCH.matcher(Files.readString(manifest));
                if (file.find()) {
                    batches.put(file.group(1), Files.readString(exports.resolve(file.group(1))));
                }
            }
        }
        return batches;
    }

    private static List<String> requestsIn(String entries) {
        List<String> requests = new ArrayList<>();
        Matcher request = REQUEST_OF_ENTRY.matcher(entries);
        while (request.find()) {
            requests.add(request.group(1));
        }
        return requests;
    }

    private int judge(List<String> served, Map<String, String> before, Map<String, String> after) {
        if (served.size() < JOBS_BEFORE + JOBS_AFTER || before.isEmpty()) {
            bench.record("not all jobs were served, or nothing was exported");
            return Kit.COULD_NOT_RUN;
        }
        int broken = 0;
        for (Map.Entry<String, String> batch : before.entrySet()) {
            if (!batch.getValue().equals(after.get(batch.getKey()))) {
                broken++;
                bench.record("BROKEN: batch " + batch.getKey() + " has changed after it counted");
            }
        }
        List<String> exported = requestsIn(String.join("", after.values()));
        for (String id : served) {
            long times = exported.stream().filter(id::equals).count();
            if (times != 1) {
                broken++;
                bench.record("BROKEN: the entry of job " + id + " is in the export " + times + " times");
            }
        }
        return broken > 0 ? Kit.BROKEN : Kit.HELD;
    }
}
