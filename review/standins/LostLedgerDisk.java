import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * A dispatcher with a ledger exports its entries to a folder and to a receiver. Its process is killed, its ledger's
 * disk is lost, and it starts again with an empty folder. What was exported before and what is answered after must both
 * be there in the end.
 */
final class LostLedgerDisk {
    private static final String RUNNER = "s-5be2a07c";
    private static final int JOBS_BEFORE = 20;
    private static final int JOBS_AFTER = 10;
    private static final int EXPORT_WAIT_SECONDS = 20;
    private static final Pattern REQUEST = Pattern.compile("\"request\":\"([^\"]+)\"");

    private final Kit.Bench bench;
    private final Path exportFolder;
    /** The batches that the receiver has, by dispatcher, export and number, as the operators' page says. */
    private final Map<String, String> received = new ConcurrentHashMap<>();

    private LostLedgerDisk(Kit.Bench bench) {
        this.bench = bench;
        exportFolder = bench.temporary.resolve("export");
    }

    public static void main(String[] args) {
        Kit.run(Path.of(args[0]), Path.of(args[1]), bench -> new LostLedgerDisk(bench).play());
    }

    private int play() throws Exception {
        Kit.Discovery discovery = new Kit.Discovery(List.of(Kit.host(RUNNER, Kit.serve((request, out, socket) -> run(request, out)))));
        int receiver = Kit.serve((request, out, socket) -> receive(request, out));
        int port = Kit.freePort();
        Path store = bench.temporary.resolve("disk/ledger");
        Files.createDirectories(store);
        Path settings = Files.writeString(
                bench.temporary.resolve("nettlewick.conf"),
                "ledger {\n    store " + store + "\n    mode sync\n"
                        + "    export files {\n        folder " + exportFolder
                        + "\n        format jsonl\n        every 1s\n    }\n"
                        + "    export office {\n        url http://" + Kit.HOST + ":" + receiver + "/batches"
                        + "\n        format jsonl\n        every 1s\n    }\n}\n");
        String config = Kit.config(port, discovery, List.of(Kit.classOf("step-view", "retryable", 5000)), true);
        String arguments = " --settings " + settings;

        Kit.Dispatcher first = new Kit.Dispatcher(bench, "first", port, config, arguments);
        first.awaitReady();
        sendJobs(port, "before", JOBS_BEFORE);
        if (!awaitExports(JOBS_BEFORE, 0)) {
            throw new IOException("the first jobs were not exported: " + Files.readString(first.log));
        }
        bench.record("all " + JOBS_BEFORE + " entries are exported to the folder and to the receiver");
        first.kill();
        bench.record("dispatcher killed (SIGKILL)");
        if (Kit.trouble()) {
            try (Stream<Path> files = Files.walk(store)) {
                files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
            }
            Files.createDirectories(store);
            bench.record("the ledger's disk is lost; the dispatcher starts with an empty folder");
        }
        Kit.Dispatcher second = new Kit.Dispatcher(bench, "second", port, config, arguments);
        second.awaitReady();
        sendJobs(port, "after", JOBS_AFTER);
        awaitExports(JOBS_BEFORE, JOBS_AFTER);
        bench.recordLog(second, Pattern.compile("ledger"), 5);
        int missing = report("folder", requestsInFolder()) + report("receiver", requestsAtReceiver());
        return missing > 0 ? Kit.BROKEN : Kit.HELD;
    }

    private boolean awaitExports(int before, int after) throws IOException {
        double until = bench.seconds() + EXPORT_WAIT_SECONDS;
        while (bench.seconds() < until) {
            if (missing(requestsInFolder(), before, after) + missing(requestsAtReceiver(), before, after) == 0) {
                return true;
            }
            Kit.sleep(200);
        }
        return false;
    }

    private static int missing(Map<String, Integer> found, int before, int after) {
        int missing = 0;
        for (int i = 0; i < before; i++) {
            missing += found.containsKey("before" + i) ? 0 : 1;
        }
        for (int i = 0; i < after; i++) {
            missing += found.containsKey("after" + i) ? 0 : 1;
        }
        return missing;
    }

    private int report(String target, Map<String, Integer> found) {
        int missingBefore = missing(found, JOBS_BEFORE, 0);
        int missingAfter = missing(found, 0, JOBS_AFTER);
        bench.record(target + ": " + found.size() + " of " + (JOBS_BEFORE + JOBS_AFTER) + " entries; missing of those "
                + "exported before the restart " + missingBefore + ", of those answered after it " + missingAfter);
        return missingBefore + missingAfter;
    }

    /** How often each request stands in the batches that have a manifest. */
    private Map<String, Integer> requestsInFolder() throws IOException {
        Map<String, Integer> found = new TreeMap<>();
        if (!Files.isDirectory(exportFolder)) {
            return found;
        }
        try (Stream<Path> files = Files.list(exportFolder)) {
            for (Path manifest : files.filter(f -> f.toString().endsWith(".manifest.json")).toList()) {
                Path data = Path.of(manifest.toString().replace(".manifest.json", ".jsonl"));
                count(Files.readString(data), found);
            }
        }
        return found;
    }

    private Map<String, Integer> requestsAtReceiver() {
        Map<String, Integer> found = new TreeMap<>();
        received.values().forEach(batch -> count(batch, found));
        return found;
    }

    private static void count(String batch, Map<String, Integer> found) {
        for (Matcher request = REQUEST.matcher(batch); request.find(); ) {
            found.merge(request.group(1), 1, Integer::sum);
        }
    }

    /** The receiver: answers 2xx once it has a batch, also if it had it before, and knows it by the three headers. */
    private void receive(Kit.Message request, OutputStream out) throws IOException {
        Map<String, String> headers = request.headers();
        String name = headers.get("x-batch-dispatcher") + "/" + headers.get("x-batch-export") + "/"
                + headers.get("x-batch-number");
        boolean isKnown = received.putIfAbsent(name, request.text()) != null;
        bench.record("receiver gets batch " + name + (isKnown ? ", which it has" : ", which is new") + ": "
                + request.text().lines().count() + " entries");
        Kit.respond(out, "200 OK", "", isKnown ? "known" : "taken");
    }

    private void run(Kit.Message request, OutputStream out) throws IOException {
        if (request.first().startsWith("GET")) {
            Kit.respond(out, "200 OK", "", "depth=0,concurrent=0,x0=8,x1=8");
            return;
        }
        String id = request.headers().get("x-request-id");
        bench.record("sim runner runs " + id);
        Kit.beginChunks(out);
        Kit.chunk(out, Kit.line(id, RUNNER, "\"started\""));
        Kit.sleep(20);
        Kit.chunk(out, Kit.line(id, RUNNER, "\"done\",\"result\":\"r-" + id + "\""));
        Kit.endChunks(out);
    }

    private void sendJobs(int port, String name, int jobs) throws IOException {
        for (int i = 0; i < jobs; i++) {
            try (Socket socket = new Socket(Kit.HOST, port)) {
                socket.setSoTimeout(10_000);
                socket.getOutputStream()
                        .write((Kit.job(name + i, "step-view", 5, 2, "") + "{}").getBytes(StandardCharsets.US_ASCII));
                Kit.Message answer = Kit.Message.read(new BufferedInputStream(socket.getInputStream()));
                bench.record("job " + name + i + " answered " + answer.status());
                if (answer.status() != 200) {
                    throw new IOException("job " + name + i + " was not served");
                }
            }
        }
    }
}
