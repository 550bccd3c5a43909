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

/** A dispatcher with the shared key that sends false reports to all others, each twice and some of them corrupted. */
public final class HostileDispatcher implements AutoCloseable {
    private static final long INTERVAL_MILLIS = 50;
    private static final double GARBLED_SHARE = 0.2;

    private final DatagramSocket socket = new DatagramSocket(0, InetAddress.getByName("127.0.0.1"));
    private final MessageCodec codec;
    private final LeaseSettings settings;
    private final String leaseName;
    private final List<InetSocketAddress> recipients;
    private final Supplier<byte[]> reports;
    private final SplittableRandom random = new SplittableRandom(3);
    private final Thread thread = new Thread(this::sendReports, "hostile");

    /** @param settingsFile the settings file of the dispatcher that it impersonates */
    public HostileDispatcher(
            Path settingsFile, String leaseName, List<InetSocketAddress> recipients, Supplier<byte[]> reports)
            throws IOException {
        this.settings =
                LeaseSettings.of(Settings.read(settingsFile).block("duty").orElseThrow());
        this.leaseName = leaseName;
        this.recipients = recipients;
        this.reports = reports;
        codec = new MessageCodec(
                this.settings.sharedKey(), this.settings.membershipHash(), this.settings.dispatcher(), 77);
        thread.setDaemon(true);
        thread.start();
    }

    private void sendReports() {
        try {
            while (!socket.isClosed()) {
                byte[] report = reports.get();
                if (random.nextDouble() < GARBLED_SHARE) {
                    report[random.nextInt(report.length)]++;
                }
                byte[] data =
                        codec.encode(LeaseMessage.of(LeaseMessage.Kind.REPORT, leaseName, settings.dispatcher(), 77, 0)
                                .withState(0, 0, report));
                for (InetSocketAddress recipient : recipients) {
                    for (int copy = 0; copy < 2; copy++) {
                        socket.send(new DatagramPacket(data, data.length, recipient));
                    }
                }
                TimeUnit.MILLISECONDS.sleep(INTERVAL_MILLIS);
            }
        } catch (IOException | InterruptedException e) {
            // The dispatcher was closed.
        }
    }

    @Override
    public void close() {
        socket.close();
        thread.interrupt();
    }
}
