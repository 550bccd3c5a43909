package nettlewick.net;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.datagram.DatagramSocket;
import io.vertx.core.datagram.DatagramSocketOptions;
import io.vertx.core.net.SocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.function.BiConsumer;

/** Short messages to and from the other dispatchers. Lives on the event loop. */
final class PeerSocket {
    private static final int MOST = 256;
    /** Between two tries for a port that another process still holds. */
    private static final long AGAIN = 100;

    private Config config;
    private volatile boolean bound;
    private boolean closed;
    private final Vertx vertx;
    private DatagramSocket socket;
    private final Map<String, Integer> ranks = new HashMap<>();

    PeerSocket(Vertx vertx, Config config) {
        this.vertx = vertx;
        reload(config);
    }

    /** Takes the peers' addresses over. */
    void reload(Config next) {
        config = next;
        ranks.clear();
        for (int rank = 0; rank < config.peers().size(); rank++) {
            ranks.put(name(config.peers().get(rank)), rank);
        }
    }

    private static String name(SocketAddress address) {
        return address.hostAddress() + ':' + address.port();
    }

    /** Hands each message on with the sender's rank. */
    Future<Void> listen(BiConsumer<Integer, byte[]> heard) {
        if (config.peerListen() == null || !config.settings().limits().peers()) {
            return Future.succeededFuture();
        }
        socket = vertx.createDatagramSocket(new DatagramSocketOptions());
        socket.exceptionHandler(e -> { });
        socket.handler(packet -> {
            // Danger: anybody can send a datagram; only a known dispatcher is heard, and only short ones.
            Integer rank = ranks.get(name(packet.sender()));
            if (rank != null && rank != config.settings().rank() && packet.data().length() <= MOST) {
                heard.accept(rank, packet.data().getBytes());
            }
        });
        return socket.listen(config.peerListen().port(), config.peerListen().hostAddress())
                .onSuccess(s -> bound = true).mapEmpty();
    }

    /** Listens as soon as the process that holds the port gives it up. */
    void await(BiConsumer<Integer, byte[]> heard) {
        listen(heard).onFailure(e -> {
            socket.close();
            if (!closed) {
                vertx.setTimer(AGAIN, id -> await(heard));
            }
        });
    }

    boolean bound() {
        return bound;
    }

    /** Gives the port up. */
    void close() {
        closed = true;
        bound = false;
        if (socket != null) {
            socket.close();
        }
    }

    void send(int rank, byte[] data) {
        // Danger: one longer datagram voids the whole run. One sent before the socket is bound binds it to
        // another port: peers would take it for a stranger's, and this dispatcher could not listen any more.
        if (bound && rank >= 0 && rank < config.peers().size() && rank != config.settings().rank()
                && data.length <= MOST) {
            SocketAddress to = config.peers().get(rank);
            socket.send(Buffer.buffer(data), to.port(), to.hostAddress());
        }
    }
}
