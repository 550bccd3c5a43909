package nettlewick.net;

import static nettlewick.golden.GoldenFile.assertMatches;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Collectors;
import nettlewick.golden.GoldenFile;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Reads the file of endpoints that are out by hand as an earlier build wrote it, and writes the same bytes. */
class BanFileGoldenTest {
    private static final String FILE = "net/bans.json";
    private static final double NOW = 1_733_356_800_000.0;

    @TempDir
    private Path dir;

    /** Writes the file anew; only where that was asked for. */
    @BeforeAll
    static void record(@TempDir Path made) throws Exception {
        if (Boolean.getBoolean("golden.record")) {
            assertMatches(FILE, written(made.resolve("bans")));
        }
    }

    private static String written(Path file) throws Exception {
        DisabledEndpointStore store = new DisabledEndpointStore(file);
        store.set("runner-1", true, NOW);
        store.set("10.0.0.7:8080", true, NOW + 0.5);
        store.set("école \"2\" <a&b>", true, NOW + 1);
        store.set("10.0.0.7:8080", false, NOW + 2);
        return Files.readString(file);
    }

    @Test
    void theFileIsWrittenByteForByteAsItWas() throws Exception {
        assertMatches(FILE, written(dir.resolve("bans")));
    }

    @Test
    void theFileReadsAsItDid() throws Exception {
        Path file = Files.copy(GoldenFile.recorded(FILE), dir.resolve("bans"));
        DisabledEndpointStore store = new DisabledEndpointStore(file);
        String text = store.news().stream()
                .map(b -> b.runner() + " | " + b.out() + " | " + b.since() + "\n")
                .collect(Collectors.joining());
        text += store.out("runner-1") + " " + store.out("10.0.0.7:8080") + " "
                + store.news().size() + "\n";
        store.set("runner-3", true, NOW + 100_000);
        assertMatches("net/bans-read.txt", text + Files.readString(file) + "\n");
    }
}
