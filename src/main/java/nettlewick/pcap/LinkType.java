package nettlewick.pcap;

import java.nio.ByteBuffer;
import java.util.Arrays;

/** The supported link layers, with their codes in capture files, and how to skip their headers. */
enum LinkType {
    BSD_LOOPBACK(0),
    ETHERNET(1),
    RAW_IP(101, 12, 14),
    OPENBSD_LOOPBACK(108),
    IPV4(228),
    IPV6(229);

    private static final int ETHERNET_ADDRESSES_BYTES = 12;
    private static final int ETHERTYPE_VLAN = 0x8100;
    private static final int ETHERTYPE_PROVIDER_VLAN = 0x88a8;
    private static final int ETHERTYPE_IPV4 = 0x0800;
    private static final int ETHERTYPE_IPV6 = 0x86dd;

    private final int[] codes;

    LinkType(int... codes) {
        this.codes = codes;
    }

    /** Returns the link type with this code; null if it is not supported. */
    static LinkType ofCode(int code) {
        for (LinkType type : values()) {
            if (Arrays.stream(type.codes).anyMatch(c -> c == code)) {
                return type;
            }
        }
        return null;
    }

    /** Advances to the IP header of a packet; returns false if the packet has none. */
    boolean skipHeader(ByteBuffer packet) {
        switch (this) {
            case ETHERNET -> {
                return skipEthernetHeader(packet);
            }
            case BSD_LOOPBACK, OPENBSD_LOOPBACK -> {
                // Skips the address family, which is in the byte order of the capturing host. The IP header has the
                // version too.
                packet.getInt();
                return true;
            }
            default -> {
                return true;
            }
        }
    }

    private static boolean skipEthernetHeader(ByteBuffer packet) {
        packet.position(ETHERNET_ADDRESSES_BYTES);
        int etherType = Short.toUnsignedInt(packet.getShort());
        while (etherType == ETHERTYPE_VLAN || etherType == ETHERTYPE_PROVIDER_VLAN) {
            packet.getShort();
            etherType = Short.toUnsignedInt(packet.getShort());
        }
        return etherType == ETHERTYPE_IPV4 || etherType == ETHERTYPE_IPV6;
    }
}
