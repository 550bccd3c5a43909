package nettlewick.fleettest;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicLongArray;
import java.util.function.DoubleSupplier;

/**
 * Relays the datagrams between dispatchers. Each dispatcher has one socket here: the others send to it what is meant
 * for that dispatcher, and what that dispatcher sends is delivered from it, so that receivers recognize the sender by
 * the address in their list of peers. A few threads share the sockets.
 */
final class DatagramRelay implements AutoCloseable {
    private static final int BUFFER_BYTES = 8192;
    private static final int MAX_DATAGRAM_BYTES = 256;

    /** A datagram to be delivered later. */
    private record DelayedDatagram(double due, int from, int to, byte[] data) {}

    private final List<DatagramChannel> sockets = new ArrayList<>();
    private final List<InetSocketAddress> dispatchers;
    private final Map<SocketAddress, Integer> senderNumbers = new HashMap<>();
    private final LinkFaults linkFaults;
    private final DoubleSupplier clock;
    private final AtomicLongArray sent;
    private final AtomicLongArray bytes;
    private final AtomicLongArray oversized = new AtomicLongArray(1);
    private final List<Shard> shards = new ArrayList<>();
    private volatile boolean open = true;

    /**
     * @param dispatchers the address where each dispatcher receives datagrams of its peers
     * @param net the address prefix of the sockets through which peers reach them instead
     */
    DatagramRelay(
            List<InetSocketAddress> dispatchers, String net, LinkFaults linkFaults, DoubleSupplier clock, int threads)
            throws IOException {
        this.dispatchers = dispatchers;
        this.linkFaults = linkFaults;
        this.clock = clock;
        sent = new AtomicLongArray(dispatchers.size());
        bytes = new AtomicLongArray(dispatchers.size());
        for (int i = 0; i < dispatchers.size(); i++) {
            DatagramChannel socket = DatagramChannel.open();
            socket.bind(new InetSocketAddress(Fleet.address(net, i), 0));
            socket.configureBlocking(false);
            sockets.add(socket);
            senderNumbers.put(dispatchers.get(i), i);
        }
        for (int t = 0; t < threads; t++) {
            Shard shard = new Shard();
            for (int i = t; i < sockets.size(); i += threads) {
                sockets.get(i).register(shard.selector, SelectionKey.OP_READ, i);
            }
            shards.add(shard);
            shard.start();
        }
    }

    /** Returns the addresses that every dispatcher is given as its list of peers. */
    List<InetSocketAddress> addresses() throws IOException {
        List<InetSocketAddress> addresses = new ArrayList<>();
        for (DatagramChannel socket : sockets) {
            addresses.add((InetSocketAddress) socket.getLocalAddress());
        }
        return addresses;
    }

    long sent() {
        return sum(sent);
    }

    long bytes() {
        return sum(bytes);
    }

    /** Returns the number of datagrams over 256 bytes, each of which would invalidate a run on the platform. */
    long oversized() {
        return oversized.get(0);
    }

    private static long sum(AtomicLongArray array) {
        long sum = 0;
        for (int i = 0; i < array.length(); i++) {
            sum += array.get(i);
        }
        return sum;
    }

    /** Sends a malformed datagram as if from a peer: random bytes, some behind the header of a real message. */
    void sendMalformed(int to, SplittableRandom random) throws IOException {
        byte[] data = new byte[1 + random.nextInt(MAX_DATAGRAM_BYTES)];
        random.nextBytes(data);
        if (data.length > 2 && random.nextBoolean()) {
            data[0] = (byte) (0xD2 + random.nextInt(5));
            data[1] = (byte) (1 + random.nextInt(3));
            data[2] = (byte) random.nextInt(4);
        }
        sockets.get(random.nextInt(sockets.size())).send(ByteBuffer.wrap(data), dispatchers.get(to));
    }

    /** A thread and the sockets that it serves. */
    private final class Shard extends Thread {
        private final Selector selector = Selector.open();
        private final ByteBuffer buffer = ByteBuffer.allocateDirect(BUFFER_BYTES);
        private final PriorityQueue<DelayedDatagram> delayed =
                new PriorityQueue<>(Comparator.comparingDouble(DelayedDatagram::due));

        Shard() throws IOException {
            super("datagram-relay");
            setDaemon(true);
        }

        @Override
        public void run() {
            try {
                while (open) {
                    double wait = delayed.isEmpty() ? 100 : delayed.peek().due() - clock.getAsDouble();
                    if (wait < 1) {
                        selector.selectNow();
                    } else {
                        selector.select((long) Math.min(100, wait));
                    }
                    for (SelectionKey key : selector.selectedKeys()) {
                        receive((DatagramChannel) key.channel(), (int) key.attachment());
                    }
                    selector.selectedKeys().clear();
                    while (!delayed.isEmpty() && delayed.peek().due() <= clock.getAsDouble()) {
                        DelayedDatagram datagram = delayed.poll();
                        forward(datagram.from(), datagram.to(), ByteBuffer.wrap(datagram.data()));
                    }
                }
            } catch (IOException e) {
                if (open) {
                    System.err.println("nettlewick fleet-test: the datagram relay stopped: " + e);
                }
            }
        }

        private void receive(DatagramChannel socket, int to) throws IOException {
            for (SocketAddress from = socket.receive(buffer.clear());
                    from != null;
                    from = socket.receive(buffer.clear())) {
                Integer sender = senderNumbers.get(from);
                if (sender == null) {
                    continue;
                }
                buffer.flip();
                long number = sent.getAndIncrement(sender);
                bytes.addAndGet(sender, buffer.remaining());
                if (buffer.remaining() > MAX_DATAGRAM_BYTES) {
                    oversized.incrementAndGet(0);
                }
                double now = clock.getAsDouble();
                for (double delay : linkFaults.copyDelays(sender, to, number, now)) {
                    if (delay <= 0) {
                        forward(sender, to, buffer.duplicate());
                    } else {
                        byte[] data = new byte[buffer.remaining()];
                        buffer.duplicate().get(data);
                        delayed.add(new DelayedDatagram(now + delay, sender, to, data));
                    }
                }
            }
        }

        private void forward(int from, int to, ByteBuffer data) {
            try {
                sockets.get(from).send(data, dispatchers.get(to));
            } catch (IOException e) {
                // The receiver is not running, so the datagram is lost.
            }
        }
    }

    @Override
    public void close() throws IOException {
        open = false;
        for (Shard s : shards) {
            s.selector.wakeup();
        }
        for (Shard s : shards) {
            try {
                s.join(1000);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            s.selector.close();
        }
        for (DatagramChannel socket : sockets) {
            socket.close();
        }
    }
}
