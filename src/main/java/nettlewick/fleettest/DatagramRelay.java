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
 * Carries the dispatchers' datagrams. Each dispatcher has one socket here: to it the others send what is for
 * that one, and from it what that one sends arrives at the others, so that each knows the sender by the
 * address in its list of peers. A few threads share the receivers.
 */
final class DatagramRelay implements AutoCloseable {
    private static final int BUFFER = 8192;
    private static final int LONGEST = 256;

    /** A datagram that is on its way. */
    private record Late(double due, int from, int to, byte[] data) {}

    private final List<DatagramChannel> ends = new ArrayList<>();
    private final List<InetSocketAddress> dispatchers;
    private final Map<SocketAddress, Integer> senders = new HashMap<>();
    private final LinkFaults links;
    private final DoubleSupplier clock;
    private final AtomicLongArray sent;
    private final AtomicLongArray bytes;
    private final AtomicLongArray tooLong = new AtomicLongArray(1);
    private final List<Shard> shards = new ArrayList<>();
    private volatile boolean open = true;

    /** @param dispatchers where each listens for its peers; @param net where the others reach them instead */
    DatagramRelay(List<InetSocketAddress> dispatchers, String net, LinkFaults links, DoubleSupplier clock, int threads)
            throws IOException {
        this.dispatchers = dispatchers;
        this.links = links;
        this.clock = clock;
        sent = new AtomicLongArray(dispatchers.size());
        bytes = new AtomicLongArray(dispatchers.size());
        for (int i = 0; i < dispatchers.size(); i++) {
            DatagramChannel end = DatagramChannel.open();
            end.bind(new InetSocketAddress(Fleet.address(net, i), 0));
            end.configureBlocking(false);
            ends.add(end);
            senders.put(dispatchers.get(i), i);
        }
        for (int t = 0; t < threads; t++) {
            Shard shard = new Shard();
            for (int i = t; i < ends.size(); i += threads) {
                ends.get(i).register(shard.selector, SelectionKey.OP_READ, i);
            }
            shards.add(shard);
            shard.start();
        }
    }

    /** The list of peers that every dispatcher is given. */
    List<InetSocketAddress> addresses() throws IOException {
        List<InetSocketAddress> all = new ArrayList<>();
        for (DatagramChannel end : ends) {
            all.add((InetSocketAddress) end.getLocalAddress());
        }
        return all;
    }

    long sent() {
        return sum(sent);
    }

    long bytes() {
        return sum(bytes);
    }

    /** Datagrams over 256 bytes: on the platform each would void a run. */
    long tooLong() {
        return tooLong.get(0);
    }

    private static long sum(AtomicLongArray array) {
        long sum = 0;
        for (int i = 0; i < array.length(); i++) {
            sum += array.get(i);
        }
        return sum;
    }

    /** Sends what no dispatcher wrote, as if a peer had: random bytes behind the heads of real messages. */
    void garble(int to, SplittableRandom random) throws IOException {
        byte[] data = new byte[1 + random.nextInt(LONGEST)];
        random.nextBytes(data);
        if (data.length > 2 && random.nextBoolean()) {
            data[0] = (byte) (0xD2 + random.nextInt(5));
            data[1] = (byte) (1 + random.nextInt(3));
            data[2] = (byte) random.nextInt(4);
        }
        ends.get(random.nextInt(ends.size())).send(ByteBuffer.wrap(data), dispatchers.get(to));
    }

    /** One thread with its receivers. */
    private final class Shard extends Thread {
        private final Selector selector = Selector.open();
        private final ByteBuffer buffer = ByteBuffer.allocateDirect(BUFFER);
        private final PriorityQueue<Late> late = new PriorityQueue<>(Comparator.comparingDouble(Late::due));

        Shard() throws IOException {
            super("datagram-relay");
            setDaemon(true);
        }

        @Override
        public void run() {
            try {
                while (open) {
                    double wait = late.isEmpty() ? 100 : late.peek().due() - clock.getAsDouble();
                    if (wait < 1) {
                        selector.selectNow();
                    } else {
                        selector.select((long) Math.min(100, wait));
                    }
                    for (SelectionKey key : selector.selectedKeys()) {
                        receive((DatagramChannel) key.channel(), (int) key.attachment());
                    }
                    selector.selectedKeys().clear();
                    while (!late.isEmpty() && late.peek().due() <= clock.getAsDouble()) {
                        Late l = late.poll();
                        pass(l.from(), l.to(), ByteBuffer.wrap(l.data()));
                    }
                }
            } catch (IOException e) {
                if (open) {
                    System.err.println("nettlewick lab: datagrams are no longer carried: " + e);
                }
            }
        }

        private void receive(DatagramChannel end, int to) throws IOException {
            for (SocketAddress from = end.receive(buffer.clear()); from != null; from = end.receive(buffer.clear())) {
                Integer sender = senders.get(from);
                if (sender == null) {
                    continue;
                }
                buffer.flip();
                long number = sent.getAndIncrement(sender);
                bytes.addAndGet(sender, buffer.remaining());
                if (buffer.remaining() > LONGEST) {
                    tooLong.incrementAndGet(0);
                }
                double now = clock.getAsDouble();
                for (double delay : links.fate(sender, to, number, now)) {
                    if (delay <= 0) {
                        pass(sender, to, buffer.duplicate());
                    } else {
                        byte[] data = new byte[buffer.remaining()];
                        buffer.duplicate().get(data);
                        late.add(new Late(now + delay, sender, to, data));
                    }
                }
            }
        }

        private void pass(int from, int to, ByteBuffer data) {
            try {
                ends.get(from).send(data, dispatchers.get(to));
            } catch (IOException e) {
                // its receiver is dead: lost, as such datagrams are
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
        for (DatagramChannel end : ends) {
            end.close();
        }
    }
}
