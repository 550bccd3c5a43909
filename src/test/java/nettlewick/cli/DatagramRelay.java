package nettlewick.cli;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Arrays;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Forwards datagrams between dispatchers, and drops, duplicates, delays or blocks them. */
final class DatagramRelay implements AutoCloseable {
    private static final int MAX_DELAY_MILLIS = 20;
    private final DatagramSocket[] sockets;
    private final int[] targets;
    private final SplittableRandom random;
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor(r -> {
        Thread t = new Thread(r, "relay");
        t.setDaemon(true);
        return t;
    });
    private final AtomicInteger lost = new AtomicInteger();
    private final AtomicInteger duplicated = new AtomicInteger();
    private volatile double lossProbability;
    private volatile double duplicationProbability;
    private volatile int blockedSender = -1;
    private volatile Set<Integer> isolated = Set.of();

    DatagramRelay(int[] targets, long seed) throws IOException {
        this.targets = targets.clone();
        random = new SplittableRandom(seed);
        sockets = new DatagramSocket[targets.length];
        for (int n = 0; n < sockets.length; n++) {
            sockets[n] = new DatagramSocket(0, InetAddress.getByName("127.0.0.1"));
            int to = n;
            Thread t = new Thread(() -> forwardLoop(to), "relay-" + n);
            t.setDaemon(true);
            t.start();
        }
    }

    int[] ports() {
        return Arrays.stream(sockets).mapToInt(DatagramSocket::getLocalPort).toArray();
    }

    void setFaults(double loss, double duplication) {
        lossProbability = loss;
        duplicationProbability = duplication;
    }

    /** Blocks all datagrams from one dispatcher, but none to it; -1 blocks none. */
    void blockSender(int number) {
        blockedSender = number;
    }

    /** Blocks all datagrams between these dispatchers and the others; an empty set ends the partition. */
    void partition(Set<Integer> group) {
        isolated = group;
    }

    private int sender(int port) {
        for (int n = 0; n < targets.length; n++) {
            if (targets[n] == port) {
                return n;
            }
        }
        return -1;
    }

    int lostCount() {
        return lost.get();
    }

    int duplicatedCount() {
        return duplicated.get();
    }

    private void forwardLoop(int to) {
        byte[] buffer = new byte[8192];
        while (!sockets[to].isClosed()) {
            DatagramPacket packet = new DatagramPacket(buffer, buffer.length);
            try {
                sockets[to].receive(packet);
            } catch (IOException e) {
                return;
            }
            byte[] data = Arrays.copyOf(packet.getData(), packet.getLength());
            synchronized (random) {
                int from = sender(packet.getPort());
                boolean isBlocked = from == blockedSender || isolated.contains(from) != isolated.contains(to);
                if (isBlocked || random.nextDouble() < lossProbability) {
                    lost.incrementAndGet();
                    continue;
                }
                send(to, data, random.nextInt(MAX_DELAY_MILLIS));
                if (random.nextDouble() < duplicationProbability) {
                    duplicated.incrementAndGet();
                    send(to, data, random.nextInt(MAX_DELAY_MILLIS));
                }
            }
        }
    }

    private void send(int to, byte[] data, int delayMillis) {
        timer.schedule(
                () -> {
                    try {
                        sockets[to].send(
                                new DatagramPacket(data, data.length, new InetSocketAddress("127.0.0.1", targets[to])));
                    } catch (IOException e) {
                        lost.incrementAndGet();
                    }
                },
                delayMillis,
                TimeUnit.MILLISECONDS);
    }

    @Override
    public void close() {
        timer.shutdownNow();
        for (DatagramSocket socket : sockets) {
            socket.close();
        }
    }
}
