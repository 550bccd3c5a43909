package nettlewick.net.peer;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.datagram.DatagramSocket;
import io.vertx.core.datagram.DatagramSocketOptions;
import io.vertx.core.net.SocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BiConsumer;
import nettlewick.log.ComponentLogger;
import nettlewick.net.config.PlatformConfig;

/**
 * Sends and receives the datagrams between dispatchers. Runs on the event loop; counters and {@link
 * #isBound} may be read from any thread.
 */
public final class PeerSocket {
    private static final ComponentLogger LOG = ComponentLogger.of("peers");
    private static final int MAX_DATAGRAM_BYTES = 256;
    /** Interval between attempts to bind a port that another process still holds. */
    private static final long BIND_RETRY_MILLIS = 100;

    private PlatformConfig config;
    private volatile boolean bound;
    private boolean closed;
    private final Vertx vertx;
    private DatagramSocket socket;
    private final Map<String, Integer> ranksByAddress = new HashMap<>();
    /** Ignored datagrams: those longer than the protocol allows, and those from an unknown sender. */
    private final AtomicLong oversized = new AtomicLong();

    private final AtomicLong unknownSenders = new AtomicLong();

    /** Creates the socket; it does not listen yet. */
    public PeerSocket(Vertx vertx, PlatformConfig config) {
        this.vertx = vertx;
        reload(config);
    }

    /** Applies the peers' addresses of this configuration. */
    public void reload(PlatformConfig next) {
        config = next;
        ranksByAddress.clear();
        for (int rank = 0; rank < config.peers().size(); rank++) {
            ranksByAddress.put(key(config.peers().get(rank)), rank);
        }
    }

    private static String key(SocketAddress address) {
        return address.hostAddress() + ':' + address.port();
    }

    /** Starts listening; passes each message on with its sender's rank. */
    public Future<Void> listen(BiConsumer<Integer, byte[]> handler) {
        if (config.peerListen() == null || !config.settings().limits().allowsPeers()) {
            return Future.succeededFuture();
        }
        socket = vertx.createDatagramSocket(new DatagramSocketOptions());
        socket.exceptionHandler(e -> {});
        socket.handler(packet -> {
            // Anyone can send a datagram: only short ones from a known dispatcher are accepted.
            Integer rank = ranksByAddress.get(key(packet.sender()));
            if (rank == null || rank == config.settings().rank()) {
                countIgnored(unknownSenders, "from an unknown sender, " + key(packet.sender()));
            } else if (packet.data().length() > MAX_DATAGRAM_BYTES) {
                countIgnored(oversized, "of " + packet.data().length() + " bytes, from " + key(packet.sender()));
            } else {
                handler.accept(rank, packet.data().getBytes());
            }
        });
        return socket.listen(config.peerListen().port(), config.peerListen().hostAddress())
                .onSuccess(s -> bound = true)
                .mapEmpty();
    }

    /** Starts listening as soon as the process that holds the port releases it. */
    public void listenWhenPortIsFree(BiConsumer<Integer, byte[]> handler) {
        listen(handler).onFailure(e -> {
            socket.close();
            if (!closed) {
                vertx.setTimer(BIND_RETRY_MILLIS, id -> listenWhenPortIsFree(handler));
            }
        });
    }

    /** Counts an ignored datagram; the first of each kind is logged. */
    private static void countIgnored(AtomicLong counter, String description) {
        if (counter.getAndIncrement() == 0) {
            LOG.warning(
                    "datagram-passed-over",
                    "ignored a datagram " + description + "; further ones are counted in the metrics but not logged");
        }
    }

    /** Ignored datagrams since the start, by metric name. */
    public Map<String, Number> ignoredDatagrams() {
        return Map.of(
                "peers.passed_over.oversized", oversized.get(), "peers.passed_over.strangers", unknownSenders.get());
    }

    /** Whether the socket holds its port; for any thread. */
    public boolean isBound() {
        return bound;
    }

    /** Closes the socket. */
    public void close() {
        closed = true;
        bound = false;
        if (socket != null) {
            socket.close();
        }
    }

    /** Sends a message to the peer of this rank, if the socket is bound and the message is short enough. */
    public void send(int rank, byte[] data) {
        // A datagram over the limit violates the protocol. One sent before the socket is bound would bind it to
        // another port: peers would not recognise the sender, and this dispatcher could not listen any more.
        if (bound
                && rank >= 0
                && rank < config.peers().size()
                && rank != config.settings().rank()
                && data.length <= MAX_DATAGRAM_BYTES) {
            SocketAddress recipient = config.peers().get(rank);
            socket.send(Buffer.buffer(data), recipient.port(), recipient.hostAddress());
        }
    }
}
