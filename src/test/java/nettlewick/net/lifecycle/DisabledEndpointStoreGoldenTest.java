package nettlewick.net.lifecycle;

import static nettlewick.golden.GoldenFile.assertMatches;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Collectors;
import nettlewick.golden.GoldenFile;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Reads the file of disabled endpoints as an earlier build wrote it, and writes the same bytes. */
class DisabledEndpointStoreGoldenTest {
    private static final String FILE = "net/bans.json";
    private static final double NOW = 1_733_356_800_000.0;

    @TempDir
    private Path dir;

    /** Records the golden file again, only if requested. */
    @BeforeAll
    static void record(@TempDir Path folder) throws Exception {
        if (Boolean.getBoolean("golden.record")) {
            assertMatches(FILE, written(folder.resolve("bans")));
        }
    }

    private static String written(Path file) throws Exception {
        DisabledEndpointStore store = new DisabledEndpointStore(file);
        store.setDisabled("runner-1", true, NOW);
        store.setDisabled("10.0.0.7:8080", true, NOW + 0.5);
        store.setDisabled("école \"2\" <a&b>", true, NOW + 1);
        store.setDisabled("10.0.0.7:8080", false, NOW + 2);
        return Files.readString(file);
    }

    @Test
    void writesTheFileByteForByteAsRecorded() throws Exception {
        assertMatches(FILE, written(dir.resolve("bans")));
    }

    @Test
    void readsTheRecordedFile() throws Exception {
        Path file = Files.copy(GoldenFile.recorded(FILE), dir.resolve("bans"));
        DisabledEndpointStore store = new DisabledEndpointStore(file);
        String text = store.readChanges().stream()
                .map(b -> b.endpoint() + " | " + b.disabled() + " | " + b.sinceMillis() + "\n")
                .collect(Collectors.joining());
        text += store.isDisabled("runner-1") + " " + store.isDisabled("10.0.0.7:8080") + " "
                + store.readChanges().size() + "\n";
        store.setDisabled("runner-3", true, NOW + 100_000);
        assertMatches("net/bans-read.txt", text + Files.readString(file) + "\n");
    }
}
