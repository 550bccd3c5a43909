package nettlewick.golden;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HexFormat;

/**
 * Compares output of the program with text recorded under {@code src/test/resources/golden}.
 *
 * <p>The recorded files hold formats that must not change: wire bytes, stored data and printed JSON. They are written
 * only if the system property {@code golden.record} is {@code true}; a missing file is a failure.
 */
public final class GoldenFile {
    private static final Path FOLDER = Path.of("src/test/resources/golden");
    private static final int BYTES_PER_LINE = 32;

    private GoldenFile() {}

    /** Fails unless {@code actual} equals the recorded text exactly. */
    public static void assertMatches(String name, String actual) {
        Path file = FOLDER.resolve(name);
        try {
            if (Boolean.getBoolean("golden.record")) {
                Files.createDirectories(file.getParent());
                Files.writeString(file, actual);
            }
            assertEquals(Files.readString(file), actual, "differs from " + file);
        } catch (IOException e) {
            throw new AssertionError("golden file " + file + " cannot be read", e);
        }
    }

    /** The path of a recorded file or folder, for tests that read data stored by an earlier build. */
    public static Path recorded(String name) {
        return FOLDER.resolve(name);
    }

    /** Formats bytes as hexadecimal digits, {@value #BYTES_PER_LINE} bytes per line. */
    public static String hex(byte[] bytes) {
        StringBuilder text = new StringBuilder();
        for (int start = 0; start < bytes.length; start += BYTES_PER_LINE) {
            int end = Math.min(bytes.length, start + BYTES_PER_LINE);
            text.append(HexFormat.of().formatHex(bytes, start, end)).append('\n');
        }
        return text.toString();
    }
}
