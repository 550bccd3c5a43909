package nettlewick.sse;

import io.vertx.core.net.SocketAddress;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import nettlewick.net.Address;
import nettlewick.net.Fields;

/**
 * Where the front for progress streams listens, and its bounds; times in milliseconds.
 *
 * @param retry       what clients are told to wait before they come again
 * @param heartbeat   pause between comments that keep a silent stream open
 * @param grace       how long a job whose client dropped its stream is kept going unwatched
 * @param keep        how long a finished stream can still be attached to
 * @param keepStreams most finished streams that are kept
 * @param maxReaders  most streams open to clients at once
 */
public record EdgeConfig(SocketAddress listen, long retry, long heartbeat, long grace, long keep,
        int keepStreams, int maxReaders) {
    private static final long HOUR = 3_600_000;

    public static EdgeConfig load(String file) {
        try {
            return of(Files.readString(Path.of(file)));
        } catch (IOException | IllegalArgumentException e) {
            throw new Fields.Bad("--edge", file + " (" + e + ")", "a readable file");
        }
    }

    static EdgeConfig of(String text) {
        Fields f = Fields.parse("the edge file", text);
        return new EdgeConfig(Address.parse("listen", f.text("listen")), f.wholeOr("retry_ms", 1000, 1, HOUR),
                f.wholeOr("heartbeat_ms", 5000, 10, HOUR), f.wholeOr("grace_ms", 3000, 0, HOUR),
                f.wholeOr("keep_ms", 30_000, 0, HOUR), (int) f.wholeOr("keep_streams", 500, 0, 100_000),
                (int) f.wholeOr("max_readers", 200, 1, 100_000));
    }
}
