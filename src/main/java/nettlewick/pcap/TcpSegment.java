package nettlewick.pcap;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.Arrays;

/** A TCP segment found in a packet. {@code flow} names the two ends and the direction. */
record TcpSegment(double capturedAtMillis, String flow, int sequence, boolean syn, boolean fin, byte[] payload) {
    private static final int NULL = 0;
    private static final int ETHERNET = 1;
    private static final int RAW = 101;
    private static final int LOOP = 108;
    private static final int IPV4 = 228;
    private static final int IPV6 = 229;
    private static final int TCP = 6;

    /** Whether packets of this link type can be read. */
    static boolean isSupportedLinkType(int link) {
        return link == NULL
                || link == ETHERNET
                || link == RAW
                || link == 12
                || link == 14
                || link == LOOP
                || link == IPV4
                || link == IPV6;
    }

    /** The segment in a packet; null if it holds none, or only part of a header. */
    static TcpSegment parse(int link, double at, byte[] packet) {
        try {
            ByteBuffer in = ByteBuffer.wrap(packet);
            if (link == ETHERNET) {
                in.position(12);
                int type = in.getShort() & 0xffff;
                while (type == 0x8100 || type == 0x88a8) {
                    in.getShort();
                    type = in.getShort() & 0xffff;
                }
                if (type != 0x0800 && type != 0x86dd) {
                    return null;
                }
            } else if (link == NULL || link == LOOP) {
                // The address family, in the byte order of whoever captured; the IP version tells the same.
                in.getInt();
            }
            return parseIp(at, in);
        } catch (BufferUnderflowException | IndexOutOfBoundsException | IllegalArgumentException e) {
            // Danger: lengths in a damaged packet point anywhere.
            return null;
        }
    }

    private static TcpSegment parseIp(double at, ByteBuffer in) {
        int start = in.position();
        int version = (in.get(start) & 0xff) >> 4;
        if (version == 4) {
            int head = (in.get(start) & 0x0f) * 4;
            int total = in.getShort(start + 2) & 0xffff;
            boolean fragment = (in.getShort(start + 6) & 0x3fff) != 0;
            // A sender that leaves the length to its network card writes 0.
            int end = total == 0 ? in.limit() : Math.min(in.limit(), start + total);
            if (head < 20 || fragment || in.get(start + 9) != TCP) {
                return null;
            }
            return parseTcp(at, in, start + head, end, address(in, start + 12, 4), address(in, start + 16, 4));
        }
        if (version == 6) {
            int end = Math.min(in.limit(), start + 40 + (in.getShort(start + 4) & 0xffff));
            int next = in.get(start + 6);
            int at6 = start + 40;
            while (next == 0 || next == 43 || next == 60) {
                next = in.get(at6);
                at6 += 8 + (in.get(at6 + 1) & 0xff) * 8;
            }
            return next != TCP
                    ? null
                    : parseTcp(at, in, at6, end, address(in, start + 8, 16), address(in, start + 24, 16));
        }
        return null;
    }

    private static TcpSegment parseTcp(double at, ByteBuffer in, int start, int end, String from, String to) {
        int head = ((in.get(start + 12) & 0xff) >> 4) * 4;
        int flags = in.get(start + 13);
        if (head < 20 || start + head > end) {
            return null;
        }
        String flow = from + ':' + (in.getShort(start) & 0xffff) + '>' + to + ':' + (in.getShort(start + 2) & 0xffff);
        return new TcpSegment(
                at,
                flow,
                in.getInt(start + 4),
                (flags & 2) != 0,
                (flags & 1) != 0,
                Arrays.copyOfRange(in.array(), start + head, end));
    }

    private static String address(ByteBuffer in, int at, int length) {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < length; i++) {
            text.append(i == 0 ? "" : ".").append(in.get(at + i) & 0xff);
        }
        return text.toString();
    }
}
