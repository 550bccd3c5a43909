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
import java.util.function.BiConsumer;

/**
 * Reads classic capture files, of both byte orders and with micro- or nanoseconds. The library takes the
 * headers apart; the checks round it are made here, since it trusts what a file says of its lengths.
 */
final class CaptureReader {
    private static final int MAGIC_BYTES = 4;
    /** Larger packets are on no link: a record that claims one is damaged. */
    private static final long MAX_PACKET_BYTES = 256 * 1024;

    private final InputStream in;
    private final PcapGlobalHeader header;

    CaptureReader(InputStream stream) throws IOException {
        in = new BufferedInputStream(stream, 1 << 16);
        byte[] bytes = new byte[PcapGlobalHeader.SIZE];
        int got = in.readNBytes(bytes, 0, bytes.length);
        if (got < MAGIC_BYTES) {
            throw new CaptureFormatException("not a capture file: it has only " + got + " bytes");
        }
        int magic = ByteBuffer.wrap(bytes).getInt();
        boolean nanos = magic == 0xa1b23c4d || magic == 0x4d3cb2a1;
        boolean big = magic == 0xa1b2c3d4 || magic == 0xa1b23c4d;
        if (magic == 0x0a0d0d0a) {
            throw new CaptureFormatException("a pcapng file, not a classic one: convert it with editcap -F pcap");
        }
        if (!nanos && !big && magic != 0xd4c3b2a1) {
            throw new CaptureFormatException(String.format("not a capture file: it begins with %08x", magic));
        }
        if (got < bytes.length) {
            throw new CaptureFormatException("the file ends within its header");
        }
        header = new PcapGlobalHeader(
                big ? ByteOrder.BIG_ENDIAN : ByteOrder.LITTLE_ENDIAN,
                Arrays.copyOfRange(bytes, MAGIC_BYTES, bytes.length),
                nanos);
        if (header.getMajorVersion() != 2) {
            throw new CaptureFormatException("version " + header.getMajorVersion() + " of the format is not known");
        }
    }

    /** The link type; its upper bits tell of check sequences and are no part of it. */
    int linkType() {
        return header.getDataLinkType() & 0xffff;
    }

    /** Hands on each packet with its time in milliseconds; returns how many were cut short by the capture. */
    int readPackets(BiConsumer<Double, byte[]> packets) throws IOException {
        int cut = 0;
        byte[] head = new byte[PcapRecordHeader.SIZE];
        for (long number = 1; ; number++) {
            int got = in.readNBytes(head, 0, head.length);
            if (got == 0) {
                return cut;
            }
            if (got < head.length) {
                throw new CaptureFormatException("the file ends within the header of packet " + number);
            }
            PcapRecordHeader record =
                    new PcapRecordHeader(header.getByteOrder(), Buffers.wrap(head), header.timestampsInNs());
            long length = record.getCapturedLength();
            if (length < 0 || length > MAX_PACKET_BYTES) {
                throw new CaptureFormatException("packet " + number + " claims " + length + " bytes");
            }
            byte[] data = in.readNBytes((int) length);
            if (data.length < length) {
                throw new CaptureFormatException(
                        "the file ends within packet " + number + ": " + data.length + " of " + length + " bytes");
            }
            cut += record.getTotalLength() > length ? 1 : 0;
            double fraction = record.getTimeStampMicroOrNanoSeconds() / (header.timestampsInNs() ? 1e6 : 1e3);
            packets.accept(record.getTimeStampSeconds() * 1e3 + fraction, data);
        }
    }
}
