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
 * Carries the dispatchers' connections to runners and discovery: a listener for each server and group of
 * dispatchers, so that a cut between two parties finds the right bytes. What is stalled is kept and passed
 * on later, as the network would; what is refused is closed at once.
 */
final class TcpRelay {
    private static final long LOOK = 5;
    /** How often a connection on which nothing moves is looked at. */
    private static final long SWEEP = 100;

    private static final int TRICKLE = 8;

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
     * @param group  a dispatcher of the group, by its number
     * @param server by its number among all parties
     * @return the address to dial
     */
    InetSocketAddress open(int group, int server, InetSocketAddress target) throws Exception {
        NetServer listener = vertx.createNetServer();
        listener.connectHandler(socket -> accept(socket, group, server, target));
        StubPlatform.awaitResult(listener.listen(0, "127.0.0.1"));
        return new InetSocketAddress("127.0.0.1", listener.actualPort());
    }

    private void accept(NetSocket front, int group, int server, InetSocketAddress target) {
        LinkFaults.Way way = links.way(group, server, server, clock.getAsDouble());
        if (way == LinkFaults.Way.REFUSED || way == LinkFaults.Way.RESET) {
            front.close();
            return;
        }
        front.exceptionHandler(e -> {});
        front.pause();
        client.connect(target.getPort(), target.getHostString())
                .onFailure(e -> front.close())
                .onSuccess(back -> {
                    back.exceptionHandler(e -> {});
                    Pipe there = new Pipe(front, back, group, server, server);
                    Pipe here = new Pipe(back, front, server, group, server);
                    long timer = vertx.setPeriodic(SWEEP, id -> {
                        there.flow();
                        here.flow();
                    });
                    front.closeHandler(v -> {
                        vertx.cancelTimer(timer);
                        there.end();
                    });
                    back.closeHandler(v -> {
                        vertx.cancelTimer(timer);
                        here.end();
                    });
                    front.resume();
                });
    }

    /** One direction of a connection. */
    private final class Pipe {
        private final NetSocket from;
        private final NetSocket to;
        private final int sender;
        private final int receiver;
        private final int server;
        private final Deque<Buffer> held = new ArrayDeque<>();
        private final Deque<Double> due = new ArrayDeque<>();
        private boolean ticking;

        Pipe(NetSocket from, NetSocket to, int sender, int receiver, int server) {
            this.from = from;
            this.to = to;
            this.sender = sender;
            this.receiver = receiver;
            this.server = server;
            from.handler(bytes -> {
                held.add(bytes);
                due.add(clock.getAsDouble() + links.delay());
                flow();
                tick();
            });
        }

        /** Looks again soon, as long as something is held. */
        private void tick() {
            if (!held.isEmpty() && !ticking) {
                ticking = true;
                vertx.setTimer(LOOK, id -> {
                    ticking = false;
                    flow();
                    tick();
                });
            }
        }

        /** Passes on what may pass now. */
        void flow() {
            double now = clock.getAsDouble();
            LinkFaults.Way way = links.way(sender, receiver, server, now);
            if (way == LinkFaults.Way.RESET) {
                from.close();
                to.close();
            } else if (way == LinkFaults.Way.TRICKLES && !held.isEmpty()) {
                Buffer first = held.poll();
                int some = Math.min(TRICKLE, first.length());
                to.write(first.getBuffer(0, some));
                if (some < first.length()) {
                    held.addFirst(first.getBuffer(some, first.length()));
                } else {
                    due.poll();
                }
            } else if (way == LinkFaults.Way.OPEN || way == LinkFaults.Way.REFUSED) {
                while (!held.isEmpty() && due.peek() <= now) {
                    to.write(held.poll());
                    due.poll();
                }
            }
        }

        /** The sender has gone: what it wrote arrives, unless the way is shut. */
        void end() {
            List<Buffer> rest = new ArrayList<>(held);
            held.clear();
            if (links.way(sender, receiver, server, clock.getAsDouble()) != LinkFaults.Way.STALLED) {
                rest.forEach(to::write);
                to.close();
            } else {
                // A cut hides the end, too: the other side learns of it when the way is open again.
                long[] timer = new long[1];
                timer[0] = vertx.setPeriodic(LOOK, id -> {
                    if (links.way(sender, receiver, server, clock.getAsDouble()) != LinkFaults.Way.STALLED) {
                        vertx.cancelTimer(timer[0]);
                        rest.forEach(to::write);
                        to.close();
                    }
                });
            }
        }
    }
}
