package nettlewick.sse;

import io.vertx.core.net.SocketAddress;
import java.net.InetSocketAddress;
import nettlewick.settings.Block;

/**
 * Where the frontend for event streams listens, and its limits.
 *
 * @param listen             the address
 * @param retryMillis        how long clients are told to wait before they reconnect
 * @param heartbeatMillis    between comments that keep a silent stream open
 * @param abandonGraceMillis how long a request without subscribers goes on
 * @param retentionMillis    how long a finished stream can still be attached to
 * @param maxFinishedStreams how many finished streams are retained
 * @param maxSubscribers     how many streams are open to clients at once
 */
public record EventStreamConfig(
        SocketAddress listen,
        long retryMillis,
        long heartbeatMillis,
        long abandonGraceMillis,
        long retentionMillis,
        int maxFinishedStreams,
        int maxSubscribers) {
    /** Reads the settings block {@code edge}. */
    public static EventStreamConfig of(Block edge) {
        InetSocketAddress listen = edge.address("listen");
        return new EventStreamConfig(
                SocketAddress.inetSocketAddress(
                        listen.getPort(), listen.getAddress().getHostAddress()),
                (long) edge.durationMillis("retry"),
                (long) edge.durationMillis("heartbeat"),
                (long) edge.durationMillis("grace"),
                (long) edge.durationMillis("keep"),
                (int) edge.wholeNumber("keep-streams"),
                (int) edge.wholeNumber("max-readers"));
    }
}
