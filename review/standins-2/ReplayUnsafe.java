import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/** What clients sent is captured and replayed; a mark-submit that has run must not be sent again. */
final class ReplayUnsafe {
    private static final int JOBS = 10;

    public static void main(String[] args) throws Exception {
        Play.run(args, play -> {
            Map<String, Integer> runs = new ConcurrentHashMap<>();
            Runner runner = play.keep(new Runner("s-00000001", play.record));
            runner.behave(job -> {
                if ("mark-submit".equals(job.request.header("X-Class"))) {
                    runs.merge(job.id, 1, Integer::sum);
                }
                job.done(20, "r" + job.id);
            });
            Discovery discovery = play.discovery("posta", runner);
            Path capture = play.folder.resolve("clients.pcap");
            Dispatcher dispatcher = play.keep(
                    Dispatcher.start(play.folder, discovery, 1024, 192, new Settings(), " --capture " + capture));
            for (int i = 0; i < JOBS; i++) {
                String id = String.format("%016x", 0x4000 + i);
                byte[] job = Http.job(
                        id,
                        i % 2 == 0 ? "mark-submit" : "step-view",
                        "college-nord",
                        5,
                        "",
                        "{\"mark\":17}".getBytes(StandardCharsets.UTF_8));
                Http.Message answer = Http.exchange(dispatcher.port, job, 6000);
                play.record.line(id + " answered by " + (answer == null ? "nothing" : answer.first));
                if (answer == null || answer.status() != 200) {
                    throw new IOException("a job was not served");
                }
            }
            dispatcher.process().destroy();
            dispatcher.process().waitFor(20, TimeUnit.SECONDS);
            if (play.trouble) {
                replay(play, discovery, capture);
            }
            long again = runs.values().stream().filter(n -> n > 1).count();
            play.record.line(runs.size() + " mark-submits were run, " + again + " of them more than once");
            return again == 0;
        });
    }

    /** Replays a capture file by the deploy file's command, with `replay` in place of `serve`. */
    static void replay(Play play, Discovery discovery, Path capture) throws Exception {
        int port = Http.freePort();
        Path config = Dispatcher.configuration(
                play.folder, port, Http.freePort(), discovery, 1024, 192, new Settings());
        Path log = play.folder.resolve("replay.txt");
        Process process = Dispatcher.process(
                config,
                Files.createDirectories(play.folder.resolve("tmp-replay")),
                log,
                Dispatcher.command("run").replaceAll("serve$", "replay " + capture));
        play.keep(() -> process.destroyForcibly().waitFor());
        play.record.line("the replay begins");
        if (!process.waitFor(40, TimeUnit.SECONDS)) {
            throw new IOException("the replay does not end");
        }
        for (String line : Files.readAllLines(log)) {
            play.record.line("replay: " + line);
        }
        if (process.exitValue() != 0) {
            throw new IOException("the replay ended with " + process.exitValue());
        }
    }
}
