import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** What each play has in common: its record, its temporary folder, and how it ends. */
final class Play {
    /** The test of one case: returns whether the rule held. */
    interface Test {
        boolean held(Play play) throws Exception;
    }

    final Path caseFolder;
    final Path folder;
    final Record record;
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    private final List<AutoCloseable> open = new ArrayList<>();

    private Play(Path caseFolder) throws IOException {
        this.caseFolder = caseFolder;
        folder = Files.createTempDirectory("review-2-");
        record = new Record(caseFolder.resolve("record.txt"));
    }

    /** Closes this at the end of the play; what was opened last is closed first. */
    <T extends AutoCloseable> T keep(T part) {
        synchronized (open) {
            open.add(part);
        }
        return part;
    }

    /** Starts the runners and their discovery. */
    Discovery discovery(String zone, Runner... runners) throws IOException {
        Discovery discovery = keep(new Discovery());
        List<String> entries = new ArrayList<>();
        for (Runner runner : runners) {
            entries.add(runner.entry(zone, "std-2c", "Ready"));
        }
        discovery.set(entries);
        return discovery;
    }

    static void run(String[] args, Test test) throws Exception {
        Play play = new Play(Path.of(args[0]));
        Runtime.getRuntime().addShutdownHook(new Thread(play::close));
        Thread limit = new Thread(() -> {
            try {
                Thread.sleep(110_000);
            } catch (InterruptedException e) {
                return;
            }
            play.record.line("the play takes too long");
            System.exit(2);
        });
        limit.setDaemon(true);
        limit.start();
        int code = 2;
        try {
            boolean held = test.held(play);
            code = held ? 0 : 1;
            play.record.line(held ? "the rule held" : "the rule was broken");
        } catch (Exception e) {
            play.record.line("the case could not run: " + e);
            e.printStackTrace();
        }
        System.exit(code);
    }

    private void close() {
        synchronized (open) {
            for (int i = open.size() - 1; i >= 0; i--) {
                try {
                    open.get(i).close();
                } catch (Exception e) {
                    record.line("cannot be closed: " + e);
                }
            }
            open.clear();
        }
        if (System.getenv("KEEP") == null) {
            try (Stream<Path> files = Files.walk(folder)) {
                files.sorted(Comparator.reverseOrder()).forEach(f -> f.toFile().delete());
            } catch (IOException e) {
                // What is left stands in the temporary folder.
            }
        } else {
            System.err.println(folder);
        }
    }
}
