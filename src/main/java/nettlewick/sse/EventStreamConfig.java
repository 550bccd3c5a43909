package nettlewick.sse;

import io.vertx.core.net.SocketAddress;
import java.net.InetSocketAddress;
import nettlewick.settings.Block;

/**
 * The listen address and limits of the event stream frontend.
 *
 * @param listen             the listen address
 * @param retryMillis        the delay that clients are told to wait before they reconnect
 * @param heartbeatMillis    the interval between comments that keep an idle stream open
 * @param abandonGraceMillis how long a request without subscribers continues before it is abandoned
 * @param retentionMillis    how long clients can still attach to a finished stream
 * @param maxFinishedStreams the largest number of finished streams that are retained
 * @param maxSubscribers     the largest number of client connections that read streams at once
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
    public static EventStreamConfig of(Block block) {
        InetSocketAddress listen = block.address("listen");
        return new EventStreamConfig(
                SocketAddress.inetSocketAddress(
                        listen.getPort(), listen.getAddress().getHostAddress()),
                (long) block.durationMillis("retry"),
                (long) block.durationMillis("heartbeat"),
                (long) block.durationMillis("grace"),
                (long) block.durationMillis("keep"),
                (int) block.wholeNumber("keep-streams"),
                (int) block.wholeNumber("max-readers"));
    }
}
