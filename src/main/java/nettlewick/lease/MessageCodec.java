package nettlewick.lease;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import nettlewick.lease.LeaseMessage.Kind;

/**
 * Messages as bytes, with the voters' list they count under, the sender's life and number, and an HMAC by the
 * shared key over all of it. What does not verify, comes twice or counts under another list is passed over
 * and counted. One for each process; not to be shared by threads.
 */
final class MessageCodec {
    /** The state of a duty holds so many bytes at most, its name so many. */
    static final int MAX_STATE_BYTES = 4096;

    static final int MAX_NAME_BYTES = 64;
    private static final int MAGIC = 0x4E57_4401;
    private static final int HMAC_BYTES = 16;
    private static final int HEADER_BYTES = 4 + 4 + 4 + 8 + 2 + 1;
    private static final int FIXED_BODY_BYTES = 8 * 6 + 1 + 2;
    /** Messages of one sender that overtake one another by fewer are heard in any order, each once. */
    private static final int WINDOW = 64;

    /** What was passed over. */
    enum DiscardReason {
        DAMAGED,
        OTHER_LIST,
        REPEATED
    }

    private static final class SenderWindow {
        long number;
        long before;
    }

    private final SecretKeySpec key;
    private final int membershipHash;
    private final int dispatcher;
    private final int incarnation;
    private long sent;
    private final Map<Long, SenderWindow> heard = new HashMap<>();
    private final long[] faults = new long[DiscardReason.values().length];

    /**
     * @param list stands for who votes
     * @param life a number of this process's own, drawn at random
     */
    MessageCodec(byte[] key, int list, int number, int incarnation) {
        this.key = new SecretKeySpec(key, "HmacSHA256");
        this.dispatcher = number;
        this.incarnation = incarnation;
        this.membershipHash = list;
    }

    long discardedCount(DiscardReason fault) {
        return faults[fault.ordinal()];
    }

    /** @throws IllegalArgumentException for a name or a state that is too long */
    byte[] encode(LeaseMessage message) {
        byte[] name = message.leaseName().getBytes(StandardCharsets.UTF_8);
        if (name.length > MAX_NAME_BYTES || message.state().length > MAX_STATE_BYTES) {
            throw new IllegalArgumentException(
                    "a duty's name of " + name.length + " bytes with a state of " + message.state().length);
        }
        ByteBuffer b = ByteBuffer.allocate(
                HEADER_BYTES + FIXED_BODY_BYTES + name.length + message.state().length + HMAC_BYTES);
        b.putInt(MAGIC)
                .putInt(membershipHash)
                .putInt(incarnation)
                .putLong(++sent)
                .putShort((short) dispatcher)
                .put((byte) message.kind().ordinal());
        b.putLong(message.requestId())
                .putLong(message.ballot())
                .putLong(message.highestBallot())
                .putDouble(message.remainingMillis())
                .putLong(message.acceptedBallot())
                .putLong(message.version())
                .put((byte) name.length)
                .put(name)
                .putShort((short) message.state().length)
                .put(message.state());
        b.put(authenticate(b.array(), b.position()));
        return b.array();
    }

    /** The message in these bytes; null where it is passed over. */
    LeaseMessage decode(byte[] data) {
        int end = data.length - HMAC_BYTES;
        if (end < HEADER_BYTES + FIXED_BODY_BYTES
                || !MessageDigest.isEqual(authenticate(data, end), Arrays.copyOfRange(data, end, data.length))) {
            return discard(DiscardReason.DAMAGED);
        }
        ByteBuffer b = ByteBuffer.wrap(data, 0, end);
        if (b.getInt() != MAGIC) {
            return discard(DiscardReason.DAMAGED);
        }
        if (b.getInt() != membershipHash) {
            return discard(DiscardReason.OTHER_LIST);
        }
        int sender = b.getInt();
        long sending = b.getLong();
        int from = b.getShort() & 0xFFFF;
        int kind = b.get();
        if (kind < 0 || kind >= Kind.values().length) {
            return discard(DiscardReason.DAMAGED);
        }
        if (!first((long) from << Integer.SIZE | sender & 0xFFFFFFFFL, sending)) {
            return discard(DiscardReason.REPEATED);
        }
        try {
            long echo = b.getLong();
            long ballot = b.getLong();
            long seen = b.getLong();
            double left = b.getDouble();
            long held = b.getLong();
            long version = b.getLong();
            byte[] name = new byte[b.get()];
            b.get(name);
            byte[] state = new byte[b.getShort()];
            b.get(state);
            return new LeaseMessage(
                    Kind.values()[kind],
                    new String(name, StandardCharsets.UTF_8),
                    from,
                    echo,
                    ballot,
                    seen,
                    left,
                    held,
                    version,
                    state);
        } catch (RuntimeException e) {
            return discard(DiscardReason.DAMAGED);
        }
    }

    private LeaseMessage discard(DiscardReason fault) {
        faults[fault.ordinal()]++;
        return null;
    }

    /** Whether this number of that life has not been heard: those far behind the latest count as heard. */
    private boolean first(long whose, long sending) {
        SenderWindow h = heard.computeIfAbsent(whose, w -> new SenderWindow());
        if (sending > h.number) {
            long ahead = sending - h.number;
            h.before = ahead >= WINDOW ? 0 : h.before << ahead | 1L << ahead - 1;
            h.number = sending;
            return true;
        }
        long behind = h.number - sending;
        if (behind == 0 || behind > WINDOW || (h.before >>> behind - 1 & 1) == 1) {
            return false;
        }
        h.before |= 1L << behind - 1;
        return true;
    }

    private byte[] authenticate(byte[] data, int length) {
        try {
            Mac mac = Mac.getInstance(key.getAlgorithm());
            mac.init(key);
            mac.update(data, 0, length);
            return Arrays.copyOf(mac.doFinal(), HMAC_BYTES);
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException(e);
        }
    }
}
