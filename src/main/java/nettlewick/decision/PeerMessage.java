package nettlewick.decision;

import java.nio.ByteBuffer;

/**
 * A message between dispatchers about their capacity slices, and its encoding.
 *
 * @param type            what it is for
 * @param binding         whether the sender's slice binds
 * @param incarnation     the sender's incarnation
 * @param peerIncarnation for transfers and their acknowledgements: the receiver's incarnation that is meant
 * @param number          for transfers and their acknowledgements: the number of the transfer
 * @param augmentedShare  for a state: the sender's augmented share
 * @param amount          for a state the sender's slice, for a transfer its size
 */
record PeerMessage(
        Type type,
        boolean binding,
        int incarnation,
        int peerIncarnation,
        int number,
        double augmentedShare,
        double amount) {
    private static final byte MAGIC = (byte) 0xD2;
    private static final byte VERSION = 1;

    /** The types of messages, in the order of their numbers on the wire. */
    enum Type {
        /** The sender's slice and augmented share. */
        STATE,
        /** Capacity given to the receiver. */
        TRANSFER,
        /** Acknowledges a transfer. */
        ACK,
        /** Asks for a state. */
        STATE_REQUEST
    }

    /** The bytes of the message. */
    byte[] encode() {
        ByteBuffer b = ByteBuffer.allocate(length(type));
        b.put(MAGIC)
                .put(VERSION)
                .put((byte) (type.ordinal() << 1 | (binding ? 1 : 0)))
                .putInt(incarnation);
        switch (type) {
            case STATE -> b.putFloat((float) augmentedShare).putFloat((float) amount);
            case TRANSFER -> b.putInt(peerIncarnation).putInt(number).putFloat((float) amount);
            case ACK -> b.putInt(peerIncarnation).putInt(number);
            default -> {}
        }
        return b.array();
    }

    /** The message in these bytes; null if they are truncated, of another kind or of another version. */
    static PeerMessage decode(byte[] data) {
        if (data.length < length(Type.STATE_REQUEST)
                || data[0] != MAGIC
                || data[1] != VERSION
                || data[2] < 0
                || data[2] >> 1 >= Type.values().length) {
            return null;
        }
        Type what = Type.values()[data[2] >> 1];
        if (data.length != length(what)) {
            return null;
        }
        ByteBuffer b = ByteBuffer.wrap(data).position(3);
        boolean binding = (data[2] & 1) == 1;
        int epoch = b.getInt();
        int peerEpoch = what == Type.TRANSFER || what == Type.ACK ? b.getInt() : 0;
        int number = what == Type.TRANSFER || what == Type.ACK ? b.getInt() : 0;
        double augmented = what == Type.STATE ? b.getFloat() : 0;
        double amount = what == Type.STATE || what == Type.TRANSFER ? b.getFloat() : 0;
        boolean sound = Double.isFinite(augmented + amount) && augmented >= 0 && amount >= 0;
        return sound ? new PeerMessage(what, binding, epoch, peerEpoch, number, augmented, amount) : null;
    }

    private static int length(Type what) {
        return switch (what) {
            case STATE, ACK -> 15;
            case TRANSFER -> 19;
            case STATE_REQUEST -> 7;
        };
    }
}
