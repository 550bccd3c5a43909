package nettlewick.sse;

import io.vertx.core.net.SocketAddress;
import java.net.InetSocketAddress;
import nettlewick.settings.Block;

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
public record EventStreamConfig(
        SocketAddress listen,
        long retryMillis,
        long heartbeatMillis,
        long abandonGraceMillis,
        long retentionMillis,
        int maxFinishedStreams,
        int maxSubscribers) {
    /** Takes the settings' block {@code edge} over. */
    public static EventStreamConfig of(Block edge) {
        InetSocketAddress listen = edge.address("listen");
        return new EventStreamConfig(
                SocketAddress.inetSocketAddress(
                        listen.getPort(), listen.getAddress().getHostAddress()),
                (long) edge.span("retry"),
                (long) edge.span("heartbeat"),
                (long) edge.span("grace"),
                (long) edge.span("keep"),
                (int) edge.whole("keep-streams"),
                (int) edge.whole("max-readers"));
    }
}
