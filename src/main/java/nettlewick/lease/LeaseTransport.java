package nettlewick.lease;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.List;
import java.util.function.Consumer;
import nettlewick.lease.MessageCodec.DiscardReason;
import nettlewick.log.ComponentLogger;

/**
 * The UDP socket over which the dispatchers exchange lease messages. Confined to the lease thread, except for
 * {@link #wakeUp}. Datagrams may get lost; the sender of a request repeats it.
 */
final class LeaseTransport implements AutoCloseable {
    private static final ComponentLogger LOG = ComponentLogger.of("duty");
    private static final int MAX_DATAGRAM_BYTES = 8192;

    private final List<InetSocketAddress> dispatchers;
    private final MessageCodec codec;
    private final Selector selector;
    private final DatagramChannel channel;

    /** @throws IOException if the configured address cannot be bound */
    LeaseTransport(LeaseSettings settings, int incarnation) throws IOException {
        dispatchers = settings.dispatchers();
        codec = new MessageCodec(settings.sharedKey(), settings.membershipHash(), settings.dispatcher(), incarnation);
        selector = Selector.open();
        channel = DatagramChannel.open();
        channel.bind(settings.listenAddress());
        channel.configureBlocking(false);
        channel.register(selector, SelectionKey.OP_READ);
    }

    /** Waits until a datagram arrives, {@link #wakeUp} is called or the timeout ends. */
    void await(long timeoutMillis) throws IOException {
        selector.select(timeoutMillis);
        selector.selectedKeys().clear();
    }

    /** Makes {@link #await} return. May be called from any thread. */
    void wakeUp() {
        selector.wakeup();
    }

    /** Passes all messages that have arrived from dispatchers of this membership to the receiver. */
    void receive(Consumer<LeaseMessage> receiver) throws IOException {
        ByteBuffer buffer = ByteBuffer.allocate(MAX_DATAGRAM_BYTES);
        for (SocketAddress from = channel.receive(buffer); from != null; from = channel.receive(buffer)) {
            byte[] bytes = new byte[buffer.flip().remaining()];
            buffer.get(bytes).clear();
            LeaseMessage message = decode(bytes, from);
            if (message != null && message.sender() < dispatchers.size()) {
                receiver.accept(message);
            }
        }
    }

    private LeaseMessage decode(byte[] bytes, SocketAddress from) {
        boolean wasWarned = codec.discardedCount(DiscardReason.OTHER_LIST) > 0;
        LeaseMessage message = codec.decode(bytes);
        if (!wasWarned && codec.discardedCount(DiscardReason.OTHER_LIST) > 0) {
            LOG.warning(
                    "other-list",
                    "discards messages of a dispatcher whose settings list other dispatchers or voters",
                    "from",
                    from);
        }
        return message;
    }

    void send(int recipient, LeaseMessage message) {
        try {
            channel.send(ByteBuffer.wrap(codec.encode(message)), dispatchers.get(recipient));
        } catch (IOException ignored) {
            // Treated like a lost datagram: the request is repeated.
        }
    }

    @Override
    public void close() throws IOException {
        channel.close();
        selector.close();
    }

    /** Logs the number of discarded datagrams by reason. */
    void logDiscarded() {
        for (DiscardReason reason : DiscardReason.values()) {
            long count = codec.discardedCount(reason);
            if (count > 0) {
                LOG.info("duty-passed-over", "lease messages discarded", "kind", reason, "count", count);
            }
        }
    }
}
