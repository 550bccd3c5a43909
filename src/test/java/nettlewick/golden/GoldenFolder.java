package nettlewick.golden;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Stream;

/** Folders of stored data under {@code src/test/resources/golden}. Trailing zeros of spool files are truncated. */
public final class GoldenFolder {
    /** The maximum number of trailing zeros kept in a preallocated file. */
    private static final int ZEROS_KEPT = 64;

    private GoldenFolder() {}

    /** Copies a recorded folder, so that a test can write to the copy. */
    public static void copy(String name, Path target) throws IOException {
        Files.createDirectories(target);
        for (Path file : files(GoldenFile.recorded(name))) {
            Files.copy(file, target.resolve(file.getFileName()));
        }
    }

    /**
     * Records the current files of a folder, even if a process has them open, except those with the excluded suffix.
     */
    public static void record(Path source, String name, String excludedSuffix) throws IOException {
        Path target = GoldenFile.recorded(name);
        Files.createDirectories(target);
        for (Path old : files(target)) {
            Files.delete(old);
        }
        for (Path file : files(source)) {
            if (!file.toString().endsWith(excludedSuffix)) {
                byte[] content =
                        isSpoolFile(file) ? trimTrailingZeros(Files.readAllBytes(file)) : Files.readAllBytes(file);
                Files.write(target.resolve(file.getFileName()), content);
            }
        }
    }

    private static boolean isSpoolFile(Path file) {
        return file.getFileName().toString().startsWith("spool-");
    }

    private static byte[] trimTrailingZeros(byte[] bytes) {
        int contentLength = bytes.length;
        while (contentLength > 0 && bytes[contentLength - 1] == 0) {
            contentLength--;
        }
        return Arrays.copyOf(bytes, Math.min(bytes.length, contentLength + ZEROS_KEPT));
    }

    private static List<Path> files(Path folder) throws IOException {
        try (Stream<Path> all = Files.list(folder)) {
            return all.filter(Files::isRegularFile).sorted().toList();
        }
    }
}
