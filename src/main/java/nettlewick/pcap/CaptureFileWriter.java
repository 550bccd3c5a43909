package nettlewick.pcap;

import io.pkts.frame.PcapGlobalHeader;
import java.io.BufferedOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import nettlewick.core.Clock;
import nettlewick.log.ComponentLogger;

/**
 * Writes raw IP packets to a pcap file up to a maximum size. Packets beyond it, or after an I/O error, are dropped.
 * Confined to the event loop.
 */
final class CaptureFileWriter implements Closeable {
    private static final ComponentLogger LOG = ComponentLogger.of("capture");
    private static final int LINK_TYPE_RAW_IP = 101;
    private static final short VERSION_MAJOR = 2;
    private static final short VERSION_MINOR = 4;
    private static final int MAX_PACKET_BYTES = 65_535;
    private static final int MAGIC_BYTES = 4;
    private static final int RECORD_HEADER_BYTES = 16;
    private static final int BUFFER_BYTES = 1 << 14;
    private static final double MILLIS_PER_SECOND = 1000;
    private static final double MICROS_PER_MILLI = 1000;

    private final OutputStream out;
    private final Clock clock;
    private long remainingBytes;
    private boolean stopped;

    /** Writes the file header immediately. */
    CaptureFileWriter(OutputStream target, Clock clock, long maxBytes) throws IOException {
        out = new BufferedOutputStream(target, BUFFER_BYTES);
        this.clock = clock;
        remainingBytes = maxBytes - PcapGlobalHeader.SIZE;
        // The library writes the magic number.
        ByteBuffer header =
                ByteBuffer.allocate(PcapGlobalHeader.SIZE - MAGIC_BYTES).order(ByteOrder.BIG_ENDIAN);
        header.putShort(VERSION_MAJOR)
                .putShort(VERSION_MINOR)
                .putInt(0)
                .putInt(0)
                .putInt(MAX_PACKET_BYTES)
                .putInt(LINK_TYPE_RAW_IP);
        new PcapGlobalHeader(ByteOrder.BIG_ENDIAN, header.array()).write(out);
        out.flush();
    }

    /** Writes a packet with the current time as its timestamp. */
    void writePacket(byte[] packet) {
        if (stopped) {
            return;
        }
        remainingBytes -= packet.length + RECORD_HEADER_BYTES;
        if (remainingBytes < 0) {
            stopped = true;
            LOG.warning("capture-full", "capture file has reached its maximum size; further packets are dropped");
            return;
        }
        try {
            out.write(recordHeader(packet.length));
            out.write(packet);
            out.flush();
        } catch (IOException e) {
            stopped = true;
            LOG.warning(
                    "capture-failed",
                    "cannot write to the capture file; further packets are dropped: " + e.getMessage());
        }
    }

    private byte[] recordHeader(int packetBytes) {
        double nowMillis = clock.nowMillis();
        return ByteBuffer.allocate(RECORD_HEADER_BYTES)
                .order(ByteOrder.BIG_ENDIAN)
                .putInt((int) (nowMillis / MILLIS_PER_SECOND))
                .putInt((int) (nowMillis % MILLIS_PER_SECOND * MICROS_PER_MILLI))
                .putInt(packetBytes)
                .putInt(packetBytes)
                .array();
    }

    @Override
    public void close() throws IOException {
        out.close();
    }
}
