package nettlewick.lease;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import nettlewick.settings.Settings;

/** One of the tier that has the key and lies: its words go to all, some of them twice, some of them garbled. */
public final class HostileDispatcher implements AutoCloseable {
    private static final long EACH_MILLIS = 50;
    private static final double GARBLED = 0.2;

    private final DatagramSocket socket = new DatagramSocket(0, InetAddress.getByName("127.0.0.1"));
    private final MessageCodec envelope;
    private final LeaseSettings settings;
    private final String duty;
    private final List<InetSocketAddress> to;
    private final Supplier<byte[]> words;
    private final SplittableRandom random = new SplittableRandom(3);
    private final Thread thread = new Thread(this::lie, "hostile");

    /** @param settings of the dispatcher that it is, as its file has them */
    public HostileDispatcher(Path settings, String duty, List<InetSocketAddress> to, Supplier<byte[]> words)
            throws IOException {
        this.settings = LeaseSettings.of(Settings.read(settings).block("duty").orElseThrow());
        this.duty = duty;
        this.to = to;
        this.words = words;
        envelope = new MessageCodec(this.settings.key(), this.settings.list(), this.settings.number(), 77);
        thread.setDaemon(true);
        thread.start();
    }

    private void lie() {
        try {
            while (!socket.isClosed()) {
                byte[] word = words.get();
                if (random.nextDouble() < GARBLED) {
                    word[random.nextInt(word.length)]++;
                }
                byte[] data = envelope.close(LeaseMessage.of(LeaseMessage.Kind.WORD, duty, settings.number(), 77, 0)
                        .holding(0, 0, word));
                for (InetSocketAddress one : to) {
                    for (int times = 0; times < 2; times++) {
                        socket.send(new DatagramPacket(data, data.length, one));
                    }
                }
                TimeUnit.MILLISECONDS.sleep(EACH_MILLIS);
            }
        } catch (IOException | InterruptedException e) {
            // its end
        }
    }

    @Override
    public void close() {
        socket.close();
        thread.interrupt();
    }
}
