package nettlewick.fleettest;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.DoubleSupplier;
import nettlewick.stubs.StubPlatform;

/**
 * Relays the dispatchers' connections to endpoints and discovery. Each server has a listener for each group of
 * dispatchers, so that a partition between two parties affects the right connections. Data on a stalled connection is
 * buffered and delivered later, as a network would; refused connections are closed at once.
 */
final class TcpRelay {
    private static final long POLL_MILLIS = 5;
    /** How often an inactive connection is polled. */
    private static final long IDLE_POLL_MILLIS = 100;

    private static final int TRICKLE_BYTES = 8;

    private final Vertx vertx;
    private final NetClient client;
    private final LinkFaults links;
    private final DoubleSupplier clock;

    TcpRelay(Vertx vertx, LinkFaults links, DoubleSupplier clock) {
        this.vertx = vertx;
        this.links = links;
        this.clock = clock;
        client = vertx.createNetClient();
    }

    /**
     * Listens for one group of dispatchers on behalf of one server.
     *
     * @param group the number of a dispatcher of the group
     * @param server its number among all parties
     * @return the address to connect to
     */
    InetSocketAddress open(int group, int server, InetSocketAddress target) throws Exception {
        NetServer listener = vertx.createNetServer();
        listener.connectHandler(socket -> accept(socket, group, server, target));
        StubPlatform.awaitResult(listener.listen(0, "127.0.0.1"));
        return new InetSocketAddress("127.0.0.1", listener.actualPort());
    }

    private void accept(NetSocket downstream, int group, int server, InetSocketAddress target) {
        LinkFaults.ConnectionState state = links.connectionState(group, server, server, clock.getAsDouble());
        if (state == LinkFaults.ConnectionState.REFUSED || state == LinkFaults.ConnectionState.RESET) {
            downstream.close();
            return;
        }
        downstream.exceptionHandler(e -> {});
        downstream.pause();
        client.connect(target.getPort(), target.getHostString())
                .onFailure(e -> downstream.close())
                .onSuccess(upstream -> {
                    upstream.exceptionHandler(e -> {});
                    Pipe toServer = new Pipe(downstream, upstream, group, server, server);
                    Pipe toClient = new Pipe(upstream, downstream, server, group, server);
                    long timer = vertx.setPeriodic(IDLE_POLL_MILLIS, id -> {
                        toServer.deliver();
                        toClient.deliver();
                    });
                    downstream.closeHandler(v -> {
                        vertx.cancelTimer(timer);
                        toServer.end();
                    });
                    upstream.closeHandler(v -> {
                        vertx.cancelTimer(timer);
                        toClient.end();
                    });
                    downstream.resume();
                });
    }

    /** One direction of a connection. */
    private final class Pipe {
        private final NetSocket from;
        private final NetSocket to;
        private final int sender;
        private final int receiver;
        private final int server;
        private final Deque<Buffer> buffers = new ArrayDeque<>();
        private final Deque<Double> deliveryTimes = new ArrayDeque<>();
        private boolean isScheduled;

        Pipe(NetSocket from, NetSocket to, int sender, int receiver, int server) {
            this.from = from;
            this.to = to;
            this.sender = sender;
            this.receiver = receiver;
            this.server = server;
            from.handler(bytes -> {
                buffers.add(bytes);
                deliveryTimes.add(clock.getAsDouble() + links.delayMillis());
                deliver();
                schedulePoll();
            });
        }

        /** Schedules another delivery while data is buffered. */
        private void schedulePoll() {
            if (!buffers.isEmpty() && !isScheduled) {
                isScheduled = true;
                vertx.setTimer(POLL_MILLIS, id -> {
                    isScheduled = false;
                    deliver();
                    schedulePoll();
                });
            }
        }

        /** Delivers the data that may be delivered now. */
        void deliver() {
            double now = clock.getAsDouble();
            LinkFaults.ConnectionState state = links.connectionState(sender, receiver, server, now);
            if (state == LinkFaults.ConnectionState.RESET) {
                from.close();
                to.close();
            } else if (state == LinkFaults.ConnectionState.TRICKLING && !buffers.isEmpty()) {
                Buffer first = buffers.poll();
                int length = Math.min(TRICKLE_BYTES, first.length());
                to.write(first.getBuffer(0, length));
                if (length < first.length()) {
                    buffers.addFirst(first.getBuffer(length, first.length()));
                } else {
                    deliveryTimes.poll();
                }
            } else if (state == LinkFaults.ConnectionState.OPEN || state == LinkFaults.ConnectionState.REFUSED) {
                while (!buffers.isEmpty() && deliveryTimes.peek() <= now) {
                    to.write(buffers.poll());
                    deliveryTimes.poll();
                }
            }
        }

        /** The sender has closed: its remaining data is delivered unless the link is stalled. */
        void end() {
            List<Buffer> undelivered = new ArrayList<>(buffers);
            buffers.clear();
            if (links.connectionState(sender, receiver, server, clock.getAsDouble())
                    != LinkFaults.ConnectionState.STALLED) {
                undelivered.forEach(to::write);
                to.close();
            } else {
                // A partition also hides the close: the other side learns of it when the link is open again.
                long[] timer = new long[1];
                timer[0] = vertx.setPeriodic(POLL_MILLIS, id -> {
                    if (links.connectionState(sender, receiver, server, clock.getAsDouble())
                            != LinkFaults.ConnectionState.STALLED) {
                        vertx.cancelTimer(timer[0]);
                        undelivered.forEach(to::write);
                        to.close();
                    }
                });
            }
        }
    }
}
