package nettlewick.decision;

import java.nio.ByteBuffer;

/**
 * A message between dispatchers and its bytes. Decides nothing.
 *
 * @param what        what it is for
 * @param binding     whether the sender's slice binds
 * @param epoch       the sender's life
 * @param peerEpoch   for gifts and their acknowledgements: the receiver's life that is meant
 * @param number      for gifts and their acknowledgements: the gift's number
 * @param augmented   for a state: the sender's augmented share
 * @param amount      for a state the sender's slice, for a gift its size
 */
record PeerMessage(What what, boolean binding, int epoch, int peerEpoch, int number, double augmented, double amount) {
    private static final byte MAGIC = (byte) 0xD2;
    private static final byte VERSION = 1;

    /** The kinds of messages. */
    enum What {
        STATE,
        GIVE,
        ACK,
        ASK
    }

    byte[] bytes() {
        ByteBuffer b = ByteBuffer.allocate(length(what));
        b.put(MAGIC)
                .put(VERSION)
                .put((byte) (what.ordinal() << 1 | (binding ? 1 : 0)))
                .putInt(epoch);
        switch (what) {
            case STATE -> b.putFloat((float) augmented).putFloat((float) amount);
            case GIVE -> b.putInt(peerEpoch).putInt(number).putFloat((float) amount);
            case ACK -> b.putInt(peerEpoch).putInt(number);
            default -> {}
        }
        return b.array();
    }

    /** The message in these bytes; null if they are truncated, foreign or of another version. */
    static PeerMessage of(byte[] data) {
        if (data.length < length(What.ASK)
                || data[0] != MAGIC
                || data[1] != VERSION
                || data[2] < 0
                || data[2] >> 1 >= What.values().length) {
            return null;
        }
        What what = What.values()[data[2] >> 1];
        if (data.length != length(what)) {
            return null;
        }
        ByteBuffer b = ByteBuffer.wrap(data).position(3);
        boolean binding = (data[2] & 1) == 1;
        int epoch = b.getInt();
        int peerEpoch = what == What.GIVE || what == What.ACK ? b.getInt() : 0;
        int number = what == What.GIVE || what == What.ACK ? b.getInt() : 0;
        double augmented = what == What.STATE ? b.getFloat() : 0;
        double amount = what == What.STATE || what == What.GIVE ? b.getFloat() : 0;
        boolean sound = Double.isFinite(augmented + amount) && augmented >= 0 && amount >= 0;
        return sound ? new PeerMessage(what, binding, epoch, peerEpoch, number, augmented, amount) : null;
    }

    private static int length(What what) {
        return switch (what) {
            case STATE, ACK -> 15;
            case GIVE -> 19;
            case ASK -> 7;
        };
    }
}
