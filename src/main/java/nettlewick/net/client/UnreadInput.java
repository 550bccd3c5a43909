package nettlewick.net.client;

import io.netty.channel.Channel;
import io.netty.channel.nio.AbstractNioChannel;

/**
 * Reads what has arrived on a connection and has not been read yet. A close is read after the bytes sent before it.
 * Runs on the event loop.
 */
final class UnreadInput {
    /** So many reads empty the largest buffer of a socket. */
    private static final int MAX_READS = 512;

    private boolean hasReceivedBytes;

    /** Called for any bytes that are read from the connection. */
    void bytesReceived() {
        hasReceivedBytes = true;
    }

    /** Reads until nothing more has arrived, or the connection is closed. */
    void readAll(Channel channel) {
        if (channel.unsafe() instanceof AbstractNioChannel.NioUnsafe unsafe) {
            hasReceivedBytes = true;
            for (int i = 0; i < MAX_READS && hasReceivedBytes && channel.isActive(); i++) {
                hasReceivedBytes = false;
                unsafe.read();
            }
        }
    }
}
