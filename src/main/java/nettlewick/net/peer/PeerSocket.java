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

/** Short messages to and from the other dispatchers. Lives on the event loop. */
public final class PeerSocket {
    private static final ComponentLogger LOG = ComponentLogger.of("peers");
    private static final int MAX_DATAGRAM_BYTES = 256;
    /** Between two tries for a port that another process still holds. */
    private static final long BIND_RETRY_MILLIS = 100;

    private PlatformConfig config;
    private volatile boolean bound;
    private boolean closed;
    private final Vertx vertx;
    private DatagramSocket socket;
    private final Map<String, Integer> ranksByAddress = new HashMap<>();
    /** Datagrams passed over here: longer than the protocol allows, and from an address that is no peer's. */
    private final AtomicLong oversized = new AtomicLong();

    private final AtomicLong unknownSenders = new AtomicLong();

    public PeerSocket(Vertx vertx, PlatformConfig config) {
        this.vertx = vertx;
        reload(config);
    }

    /** Takes the peers' addresses over. */
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

    /** Hands each message on with the sender's rank. */
    public Future<Void> listen(BiConsumer<Integer, byte[]> handler) {
        if (config.peerListen() == null || !config.settings().limits().peers()) {
            return Future.succeededFuture();
        }
        socket = vertx.createDatagramSocket(new DatagramSocketOptions());
        socket.exceptionHandler(e -> {});
        socket.handler(packet -> {
            // Danger: anybody can send a datagram; only a known dispatcher is heard, and only short ones.
            Integer rank = ranksByAddress.get(key(packet.sender()));
            if (rank == null || rank == config.settings().rank()) {
                countIgnored(unknownSenders, "from an address that is no peer's, " + key(packet.sender()));
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

    /** Listens as soon as the process that holds the port gives it up. */
    public void listenWhenPortIsFree(BiConsumer<Integer, byte[]> handler) {
        listen(handler).onFailure(e -> {
            socket.close();
            if (!closed) {
                vertx.setTimer(BIND_RETRY_MILLIS, id -> listenWhenPortIsFree(handler));
            }
        });
    }

    /** Counts a datagram that is not heard; the first of each kind is logged. */
    private static void countIgnored(AtomicLong counter, String description) {
        if (counter.getAndIncrement() == 0) {
            LOG.warning(
                    "datagram-passed-over",
                    "a datagram " + description
                            + " is passed over; such are counted in the figures from now on, not logged again");
        }
    }

    /** Datagrams passed over here since the start, by kind. */
    public Map<String, Number> ignoredDatagrams() {
        return Map.of(
                "peers.passed_over.oversized", oversized.get(), "peers.passed_over.strangers", unknownSenders.get());
    }

    public boolean isBound() {
        return bound;
    }

    /** Gives the port up. */
    public void close() {
        closed = true;
        bound = false;
        if (socket != null) {
            socket.close();
        }
    }

    public void send(int rank, byte[] data) {
        // Danger: one longer datagram voids the whole run. One sent before the socket is bound binds it to
        // another port: peers would take it for a stranger's, and this dispatcher could not listen any more.
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
