package nettlewick.pcap;

import io.pkts.buffer.Buffers;
import io.pkts.frame.PcapGlobalHeader;
import io.pkts.frame.PcapRecordHeader;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.util.Arrays;

/**
 * Reads the packets of a pcap file in either byte order, with timestamps in microseconds or nanoseconds. The library
 * parses the headers but does not validate lengths, so they are checked here.
 */
final class CaptureReader {
    /** Receives the packets. */
    interface PacketHandler {
        void handle(double capturedAtMillis, byte[] packet);
    }

    private static final int MAGIC_BYTES = 4;
    private static final int MAGIC_MICROS_BIG_ENDIAN = 0xa1b2c3d4;
    private static final int MAGIC_MICROS_LITTLE_ENDIAN = 0xd4c3b2a1;
    private static final int MAGIC_NANOS_BIG_ENDIAN = 0xa1b23c4d;
    private static final int MAGIC_NANOS_LITTLE_ENDIAN = 0x4d3cb2a1;
    private static final int MAGIC_PCAPNG = 0x0a0d0d0a;
    private static final int SUPPORTED_MAJOR_VERSION = 2;
    /** The upper bits of the field describe frame check sequences. */
    private static final int LINK_TYPE_MASK = 0xffff;

    private static final int BUFFER_BYTES = 1 << 16;
    /** No supported link carries larger packets, so a record with a greater length is damaged. */
    private static final long MAX_PACKET_BYTES = 256 * 1024;

    private static final double MILLIS_PER_SECOND = 1e3;
    private static final double NANOS_PER_MILLI = 1e6;
    private static final double MICROS_PER_MILLI = 1e3;

    private final InputStream in;
    private final PcapGlobalHeader header;

    CaptureReader(InputStream stream) throws IOException {
        in = new BufferedInputStream(stream, BUFFER_BYTES);
        byte[] bytes = new byte[PcapGlobalHeader.SIZE];
        int readBytes = in.readNBytes(bytes, 0, bytes.length);
        if (readBytes < MAGIC_BYTES) {
            throw new CaptureFormatException("not a capture file: only " + readBytes + " bytes long");
        }
        int magic = ByteBuffer.wrap(bytes).getInt();
        checkMagic(magic);
        if (readBytes < bytes.length) {
            throw new CaptureFormatException("truncated in the file header");
        }
        boolean isBigEndian = magic == MAGIC_MICROS_BIG_ENDIAN || magic == MAGIC_NANOS_BIG_ENDIAN;
        header = new PcapGlobalHeader(
                isBigEndian ? ByteOrder.BIG_ENDIAN : ByteOrder.LITTLE_ENDIAN,
                Arrays.copyOfRange(bytes, MAGIC_BYTES, bytes.length),
                magic == MAGIC_NANOS_BIG_ENDIAN || magic == MAGIC_NANOS_LITTLE_ENDIAN);
        if (header.getMajorVersion() != SUPPORTED_MAJOR_VERSION) {
            throw new CaptureFormatException("pcap format version " + header.getMajorVersion() + " is not supported");
        }
    }

    private static void checkMagic(int magic) throws CaptureFormatException {
        switch (magic) {
            case MAGIC_MICROS_BIG_ENDIAN,
                    MAGIC_MICROS_LITTLE_ENDIAN,
                    MAGIC_NANOS_BIG_ENDIAN,
                    MAGIC_NANOS_LITTLE_ENDIAN -> {
                // A supported pcap file.
            }
            case MAGIC_PCAPNG ->
                throw new CaptureFormatException(
                        "pcapng files are not supported; convert the file with editcap -F pcap");
            default ->
                throw new CaptureFormatException(String.format("not a capture file: unknown magic number %08x", magic));
        }
    }

    /** The code of the link type, see {@link LinkType}. */
    int linkType() {
        return header.getDataLinkType() & LINK_TYPE_MASK;
    }

    /**
     * Passes each packet to the handler. Packets truncated by the capture are passed with the bytes that are present.
     */
    void readPackets(PacketHandler handler) throws IOException {
        byte[] recordHeader = new byte[PcapRecordHeader.SIZE];
        for (long number = 1; ; number++) {
            int readBytes = in.readNBytes(recordHeader, 0, recordHeader.length);
            if (readBytes == 0) {
                return;
            }
            if (readBytes < recordHeader.length) {
                throw new CaptureFormatException("truncated in the header of packet " + number);
            }
            PcapRecordHeader parsed =
                    new PcapRecordHeader(header.getByteOrder(), Buffers.wrap(recordHeader), header.timestampsInNs());
            handler.handle(toMillis(parsed), readPacket(parsed.getCapturedLength(), number));
        }
    }

    private byte[] readPacket(long length, long number) throws IOException {
        if (length < 0 || length > MAX_PACKET_BYTES) {
            throw new CaptureFormatException("packet " + number + " has an invalid length of " + length + " bytes");
        }
        byte[] packet = in.readNBytes((int) length);
        if (packet.length < length) {
            throw new CaptureFormatException(
                    "truncated in packet " + number + ": " + packet.length + " of " + length + " bytes");
        }
        return packet;
    }

    private double toMillis(PcapRecordHeader record) {
        double unitsPerMilli = header.timestampsInNs() ? NANOS_PER_MILLI : MICROS_PER_MILLI;
        double fraction = record.getTimeStampMicroOrNanoSeconds() / unitsPerMilli;
        return record.getTimeStampSeconds() * MILLIS_PER_SECOND + fraction;
    }
}
