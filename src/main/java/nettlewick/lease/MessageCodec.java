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
    static final int STATE_MOST = 4096;

    static final int NAME_MOST = 64;
    private static final int MAGIC = 0x4E57_4401;
    private static final int SUM = 16;
    private static final int HEAD = 4 + 4 + 4 + 8 + 2 + 1;
    private static final int BODY = 8 * 6 + 1 + 2;
    /** Messages of one sender that overtake one another by fewer are heard in any order, each once. */
    private static final int WINDOW = 64;

    /** What was passed over. */
    enum Fault {
        DAMAGED,
        OTHER_LIST,
        REPEATED
    }

    private static final class Heard {
        long number;
        long before;
    }

    private final SecretKeySpec key;
    private final int list;
    private final int number;
    private final int life;
    private long sent;
    private final Map<Long, Heard> heard = new HashMap<>();
    private final long[] faults = new long[Fault.values().length];

    /**
     * @param list stands for who votes
     * @param life a number of this process's own, drawn at random
     */
    MessageCodec(byte[] key, int list, int number, int life) {
        this.key = new SecretKeySpec(key, "HmacSHA256");
        this.number = number;
        this.life = life;
        this.list = list;
    }

    long faults(Fault fault) {
        return faults[fault.ordinal()];
    }

    /** @throws IllegalArgumentException for a name or a state that is too long */
    byte[] close(LeaseMessage m) {
        byte[] name = m.duty().getBytes(StandardCharsets.UTF_8);
        if (name.length > NAME_MOST || m.state().length > STATE_MOST) {
            throw new IllegalArgumentException(
                    "a duty's name of " + name.length + " bytes with a state of " + m.state().length);
        }
        ByteBuffer b = ByteBuffer.allocate(HEAD + BODY + name.length + m.state().length + SUM);
        b.putInt(MAGIC)
                .putInt(list)
                .putInt(life)
                .putLong(++sent)
                .putShort((short) number)
                .put((byte) m.kind().ordinal());
        b.putLong(m.echo())
                .putLong(m.ballot())
                .putLong(m.seen())
                .putDouble(m.left())
                .putLong(m.held())
                .putLong(m.version())
                .put((byte) name.length)
                .put(name)
                .putShort((short) m.state().length)
                .put(m.state());
        b.put(sum(b.array(), b.position()));
        return b.array();
    }

    /** The message in these bytes; null where it is passed over. */
    LeaseMessage open(byte[] data) {
        int end = data.length - SUM;
        if (end < HEAD + BODY || !MessageDigest.isEqual(sum(data, end), Arrays.copyOfRange(data, end, data.length))) {
            return fault(Fault.DAMAGED);
        }
        ByteBuffer b = ByteBuffer.wrap(data, 0, end);
        if (b.getInt() != MAGIC) {
            return fault(Fault.DAMAGED);
        }
        if (b.getInt() != list) {
            return fault(Fault.OTHER_LIST);
        }
        int sender = b.getInt();
        long sending = b.getLong();
        int from = b.getShort() & 0xFFFF;
        int kind = b.get();
        if (kind < 0 || kind >= Kind.values().length) {
            return fault(Fault.DAMAGED);
        }
        if (!first((long) from << Integer.SIZE | sender & 0xFFFFFFFFL, sending)) {
            return fault(Fault.REPEATED);
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
            return fault(Fault.DAMAGED);
        }
    }

    private LeaseMessage fault(Fault fault) {
        faults[fault.ordinal()]++;
        return null;
    }

    /** Whether this number of that life has not been heard: those far behind the latest count as heard. */
    private boolean first(long whose, long sending) {
        Heard h = heard.computeIfAbsent(whose, w -> new Heard());
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

    private byte[] sum(byte[] data, int length) {
        try {
            Mac mac = Mac.getInstance(key.getAlgorithm());
            mac.init(key);
            mac.update(data, 0, length);
            return Arrays.copyOf(mac.doFinal(), SUM);
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException(e);
        }
    }
}
