package nettlewick.pcap;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.Arrays;

/** Parses the TCP segment in a captured packet. */
final class TcpSegmentParser {
    private static final int PROTOCOL_TCP = 6;

    private static final int IPV4_MIN_HEADER_BYTES = 20;
    private static final int IPV4_LENGTH_OFFSET = 2;
    private static final int IPV4_FRAGMENT_OFFSET = 6;
    /** The more-fragments flag and the fragment offset. */
    private static final int IPV4_FRAGMENT_MASK = 0x3fff;

    private static final int IPV4_PROTOCOL_OFFSET = 9;
    private static final int IPV4_SOURCE_OFFSET = 12;
    private static final int IPV4_ADDRESS_BYTES = 4;

    private static final int IPV6_HEADER_BYTES = 40;
    private static final int IPV6_LENGTH_OFFSET = 4;
    private static final int IPV6_NEXT_HEADER_OFFSET = 6;
    private static final int IPV6_SOURCE_OFFSET = 8;
    private static final int IPV6_ADDRESS_BYTES = 16;
    private static final int IPV6_HOP_BY_HOP = 0;
    private static final int IPV6_ROUTING = 43;
    private static final int IPV6_DESTINATION = 60;
    /** Extension headers give their length in this unit, not counting the first unit. */
    private static final int IPV6_EXTENSION_UNIT_BYTES = 8;

    private static final int TCP_MIN_HEADER_BYTES = 20;
    private static final int TCP_SEQUENCE_OFFSET = 4;
    private static final int TCP_HEADER_LENGTH_OFFSET = 12;
    private static final int TCP_FLAGS_OFFSET = 13;
    private static final int TCP_FIN = 1;
    private static final int TCP_SYN = 2;

    private static final int WORD_BYTES = 4;

    private final LinkType linkType;

    TcpSegmentParser(LinkType linkType) {
        this.linkType = linkType;
    }

    /** Returns the segment in a packet; null if the packet has none or a header is truncated. */
    TcpSegment parse(double capturedAtMillis, byte[] packet) {
        try {
            ByteBuffer buffer = ByteBuffer.wrap(packet);
            return linkType.skipHeader(buffer) ? parseIp(capturedAtMillis, buffer) : null;
        } catch (BufferUnderflowException | IndexOutOfBoundsException | IllegalArgumentException e) {
            // The lengths in a damaged packet may point outside of it.
            return null;
        }
    }

    private static TcpSegment parseIp(double capturedAtMillis, ByteBuffer packet) {
        int version = unsignedByte(packet, packet.position()) >> 4;
        return switch (version) {
            case 4 -> parseIpv4(capturedAtMillis, packet);
            case 6 -> parseIpv6(capturedAtMillis, packet);
            default -> null;
        };
    }

    private static TcpSegment parseIpv4(double capturedAtMillis, ByteBuffer packet) {
        int start = packet.position();
        int headerBytes = (packet.get(start) & 0x0f) * WORD_BYTES;
        int totalBytes = unsignedShort(packet, start + IPV4_LENGTH_OFFSET);
        boolean isFragment = (packet.getShort(start + IPV4_FRAGMENT_OFFSET) & IPV4_FRAGMENT_MASK) != 0;
        // The total length is 0 if the sender offloads segmentation to its network card.
        int end = totalBytes == 0 ? packet.limit() : Math.min(packet.limit(), start + totalBytes);
        if (headerBytes < IPV4_MIN_HEADER_BYTES
                || isFragment
                || packet.get(start + IPV4_PROTOCOL_OFFSET) != PROTOCOL_TCP) {
            return null;
        }
        int addressesOffset = start + IPV4_SOURCE_OFFSET;
        String sourceAddress = address(packet, addressesOffset, IPV4_ADDRESS_BYTES);
        String destinationAddress = address(packet, addressesOffset + IPV4_ADDRESS_BYTES, IPV4_ADDRESS_BYTES);
        return parseTcp(capturedAtMillis, packet, start + headerBytes, end, sourceAddress, destinationAddress);
    }

    private static TcpSegment parseIpv6(double capturedAtMillis, ByteBuffer packet) {
        int start = packet.position();
        int payloadBytes = unsignedShort(packet, start + IPV6_LENGTH_OFFSET);
        int end = Math.min(packet.limit(), start + IPV6_HEADER_BYTES + payloadBytes);
        int nextHeader = packet.get(start + IPV6_NEXT_HEADER_OFFSET);
        int offset = start + IPV6_HEADER_BYTES;
        while (isSkippableExtension(nextHeader)) {
            nextHeader = packet.get(offset);
            offset += (1 + unsignedByte(packet, offset + 1)) * IPV6_EXTENSION_UNIT_BYTES;
        }
        if (nextHeader != PROTOCOL_TCP) {
            return null;
        }
        int addressesOffset = start + IPV6_SOURCE_OFFSET;
        String sourceAddress = address(packet, addressesOffset, IPV6_ADDRESS_BYTES);
        String destinationAddress = address(packet, addressesOffset + IPV6_ADDRESS_BYTES, IPV6_ADDRESS_BYTES);
        return parseTcp(capturedAtMillis, packet, offset, end, sourceAddress, destinationAddress);
    }

    private static boolean isSkippableExtension(int header) {
        return header == IPV6_HOP_BY_HOP || header == IPV6_ROUTING || header == IPV6_DESTINATION;
    }

    private static TcpSegment parseTcp(
            double capturedAtMillis,
            ByteBuffer packet,
            int start,
            int end,
            String sourceAddress,
            String destinationAddress) {
        int headerBytes = (unsignedByte(packet, start + TCP_HEADER_LENGTH_OFFSET) >> 4) * WORD_BYTES;
        int flags = packet.get(start + TCP_FLAGS_OFFSET);
        if (headerBytes < TCP_MIN_HEADER_BYTES || start + headerBytes > end) {
            return null;
        }
        int sourcePort = unsignedShort(packet, start);
        int destinationPort = unsignedShort(packet, start + Short.BYTES);
        return new TcpSegment(
                capturedAtMillis,
                sourceAddress + ':' + sourcePort + '>' + destinationAddress + ':' + destinationPort,
                packet.getInt(start + TCP_SEQUENCE_OFFSET),
                (flags & TCP_SYN) != 0,
                (flags & TCP_FIN) != 0,
                Arrays.copyOfRange(packet.array(), start + headerBytes, end));
    }

    private static int unsignedByte(ByteBuffer packet, int offset) {
        return Byte.toUnsignedInt(packet.get(offset));
    }

    private static int unsignedShort(ByteBuffer packet, int offset) {
        return Short.toUnsignedInt(packet.getShort(offset));
    }

    private static String address(ByteBuffer packet, int offset, int length) {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < length; i++) {
            text.append(i == 0 ? "" : ".").append(unsignedByte(packet, offset + i));
        }
        return text.toString();
    }
}
