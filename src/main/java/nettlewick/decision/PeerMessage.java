package nettlewick.decision;

import java.nio.ByteBuffer;

/**
 * A message between dispatchers about their capacity slices, with its wire encoding.
 *
 * @param type            the message type
 * @param binding         whether the sender's slice is binding
 * @param incarnation     the sender's incarnation
 * @param peerIncarnation for transfers and acknowledgements: the incarnation of the receiver that the message is for
 * @param transferNumber  for transfers and acknowledgements: the number of the transfer
 * @param augmentedShare  for states: the sender's augmented share
 * @param amount          for states: the sender's slice; for transfers: the capacity transferred
 */
record PeerMessage(
        Type type,
        boolean binding,
        int incarnation,
        int peerIncarnation,
        int transferNumber,
        double augmentedShare,
        double amount) {
    private static final byte MAGIC = (byte) 0xD2;
    private static final byte VERSION = 1;
    private static final int INCARNATION_OFFSET = 3;
    private static final int HEADER_BYTES = INCARNATION_OFFSET + Integer.BYTES;

    /** The message types; their ordinals are the type numbers on the wire. */
    enum Type {
        /** Reports the sender's slice and augmented share. */
        STATE,
        /** Transfers capacity to the receiver. */
        TRANSFER,
        /** Acknowledges a transfer. */
        ACK,
        /** Requests a state. */
        STATE_REQUEST
    }

    /** Encodes the message for the wire. */
    byte[] encode() {
        ByteBuffer buffer = ByteBuffer.allocate(length(type));
        buffer.put(MAGIC)
                .put(VERSION)
                .put((byte) (type.ordinal() << 1 | (binding ? 1 : 0)))
                .putInt(incarnation);
        switch (type) {
            case STATE -> buffer.putFloat((float) augmentedShare).putFloat((float) amount);
            case TRANSFER ->
                buffer.putInt(peerIncarnation).putInt(transferNumber).putFloat((float) amount);
            case ACK -> buffer.putInt(peerIncarnation).putInt(transferNumber);
            default -> {}
        }
        return buffer.array();
    }

    /** Decodes a message; returns null if it is truncated, invalid, or of another kind or version. */
    static PeerMessage decode(byte[] data) {
        if (data.length < length(Type.STATE_REQUEST)
                || data[0] != MAGIC
                || data[1] != VERSION
                || data[2] < 0
                || data[2] >> 1 >= Type.values().length) {
            return null;
        }
        Type type = Type.values()[data[2] >> 1];
        if (data.length != length(type)) {
            return null;
        }
        ByteBuffer buffer = ByteBuffer.wrap(data).position(INCARNATION_OFFSET);
        boolean binding = (data[2] & 1) == 1;
        int incarnation = buffer.getInt();
        int peerIncarnation = type == Type.TRANSFER || type == Type.ACK ? buffer.getInt() : 0;
        int transferNumber = type == Type.TRANSFER || type == Type.ACK ? buffer.getInt() : 0;
        double augmentedShare = type == Type.STATE ? buffer.getFloat() : 0;
        double amount = type == Type.STATE || type == Type.TRANSFER ? buffer.getFloat() : 0;
        boolean isValid = Double.isFinite(augmentedShare + amount) && augmentedShare >= 0 && amount >= 0;
        return isValid
                ? new PeerMessage(type, binding, incarnation, peerIncarnation, transferNumber, augmentedShare, amount)
                : null;
    }

    private static int length(Type type) {
        return switch (type) {
            case STATE, ACK -> HEADER_BYTES + 8;
            case TRANSFER -> HEADER_BYTES + 12;
            case STATE_REQUEST -> HEADER_BYTES;
        };
    }
}
