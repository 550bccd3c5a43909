import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of one play: a line for each thing that was sent, answered or run, with milliseconds since the start. */
final class Record {
    private final PrintWriter out;
    private final long startNanos = System.nanoTime();

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    synchronized void line(String text) {
        String line = String.format("%8.1f  %s", (System.nanoTime() - startNanos) / 1e6, text);
        out.println(line);
        out.flush();
    }
}
