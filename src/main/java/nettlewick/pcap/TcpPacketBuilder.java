package nettlewick.pcap;

import java.nio.ByteBuffer;

/** Builds IP packets with one TCP segment each, with valid checksums, for one direction of a connection. */
final class TcpPacketBuilder {
    static final int FIN = 1;
    static final int SYN = 2;
    static final int PUSH = 8;
    static final int ACK = 16;

    private static final byte PROTOCOL_TCP = 6;
    private static final byte HOP_LIMIT = 64;

    private static final int IPV4_ADDRESS_BYTES = 4;
    private static final int IPV4_HEADER_BYTES = 20;
    /** Version 4 and a header length of five words; the total length is added in the lower half. */
    private static final int IPV4_FIRST_WORD = 0x45000000;

    private static final int IPV4_DO_NOT_FRAGMENT = 0x4000;
    private static final int IPV4_CHECKSUM_OFFSET = 10;

    private static final int IPV6_HEADER_BYTES = 40;
    private static final int IPV6_FIRST_WORD = 0x60000000;

    private static final int TCP_HEADER_BYTES = 20;
    private static final int TCP_CHECKSUM_OFFSET = 16;
    /** A header length of five words, in the upper half of the byte. */
    private static final byte TCP_DATA_OFFSET = 0x50;

    private static final short WINDOW_BYTES = (short) 65_535;
    private static final int CHECKSUM_MASK = 0xffff;

    private final byte[] sourceAddress;
    private final byte[] destinationAddress;
    private final int sourcePort;
    private final int destinationPort;

    TcpPacketBuilder(byte[] sourceAddress, int sourcePort, byte[] destinationAddress, int destinationPort) {
        this.sourceAddress = sourceAddress;
        this.sourcePort = sourcePort;
        this.destinationAddress = destinationAddress;
        this.destinationPort = destinationPort;
    }

    /** Builds a packet with this range of {@code bytes} as its payload. */
    byte[] build(int flags, int sequenceNumber, int acknowledgmentNumber, byte[] bytes, int offset, int length) {
        boolean isIpv4 = sourceAddress.length == IPV4_ADDRESS_BYTES;
        int headerBytes = isIpv4 ? IPV4_HEADER_BYTES : IPV6_HEADER_BYTES;
        ByteBuffer packet = ByteBuffer.allocate(headerBytes + TCP_HEADER_BYTES + length);
        if (isIpv4) {
            putIpv4Header(packet);
        } else {
            putIpv6Header(packet, length);
        }
        packet.putShort((short) sourcePort)
                .putShort((short) destinationPort)
                .putInt(sequenceNumber)
                .putInt(acknowledgmentNumber)
                .put(TCP_DATA_OFFSET)
                .put((byte) flags)
                .putShort(WINDOW_BYTES)
                .putInt(0)
                .put(bytes, offset, length);
        packet.putShort(
                headerBytes + TCP_CHECKSUM_OFFSET,
                checksum(pseudoHeaderSum(length), packet.array(), headerBytes, packet.capacity()));
        return packet.array();
    }

    private void putIpv4Header(ByteBuffer packet) {
        packet.putInt(IPV4_FIRST_WORD | packet.capacity())
                .putInt(IPV4_DO_NOT_FRAGMENT)
                .put(HOP_LIMIT)
                .put(PROTOCOL_TCP)
                .putShort((short) 0)
                .put(sourceAddress)
                .put(destinationAddress);
        packet.putShort(IPV4_CHECKSUM_OFFSET, checksum(0, packet.array(), 0, IPV4_HEADER_BYTES));
    }

    private void putIpv6Header(ByteBuffer packet, int length) {
        packet.putInt(IPV6_FIRST_WORD)
                .putShort((short) (TCP_HEADER_BYTES + length))
                .put(PROTOCOL_TCP)
                .put(HOP_LIMIT)
                .put(sourceAddress)
                .put(destinationAddress);
    }

    /**
     * The sum over the pseudo header, which the TCP checksum covers in addition to the segment: addresses, protocol and
     * length.
     */
    private int pseudoHeaderSum(int length) {
        return PROTOCOL_TCP + TCP_HEADER_BYTES + length + sumOfWords(sourceAddress) + sumOfWords(destinationAddress);
    }

    private static int sumOfWords(byte[] address) {
        int sum = 0;
        for (int i = 0; i < address.length; i += Short.BYTES) {
            sum += Byte.toUnsignedInt(address[i]) << Byte.SIZE | Byte.toUnsignedInt(address[i + 1]);
        }
        return sum;
    }

    /** Computes the Internet checksum of this range, starting from {@code initialSum}. */
    private static short checksum(int initialSum, byte[] bytes, int start, int end) {
        long sum = initialSum;
        for (int i = start; i < end; i += Short.BYTES) {
            int lowByte = i + 1 < end ? Byte.toUnsignedInt(bytes[i + 1]) : 0;
            sum += Byte.toUnsignedInt(bytes[i]) << Byte.SIZE | lowByte;
        }
        while (sum >> Short.SIZE != 0) {
            sum = (sum & CHECKSUM_MASK) + (sum >> Short.SIZE);
        }
        return (short) ~sum;
    }
}
