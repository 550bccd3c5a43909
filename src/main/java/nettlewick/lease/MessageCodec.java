package nettlewick.lease;

import java.nio.BufferUnderflowException;
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
 * Encodes messages as datagrams and decodes them. A datagram starts with a hash of the membership, the sender's
 * incarnation and number, and a sequence number; it ends with an HMAC of everything before it under the shared key.
 * Datagrams that fail verification, arrive twice or come from another membership are discarded and counted. A process
 * has one codec, since a second one would repeat sequence numbers. Not thread-safe.
 */
final class MessageCodec {
    static final int MAX_STATE_BYTES = 4096;
    static final int MAX_NAME_BYTES = 64;

    private static final int MAGIC = 0x4E57_4401;
    private static final int HMAC_BYTES = 16;
    /** The magic number, membership hash, incarnation, sequence number, dispatcher number and kind. */
    private static final int HEADER_BYTES = 4 + 4 + 4 + 8 + 2 + 1;
    /** Six fields of eight bytes, and the lengths of the name and of the state. */
    private static final int FIXED_BODY_BYTES = 8 * 6 + 1 + 2;

    /** Why a datagram was discarded. */
    enum DiscardReason {
        DAMAGED,
        OTHER_LIST,
        REPEATED
    }

    private final SecretKeySpec key;
    private final int membershipHash;
    private final int dispatcher;
    private final int incarnation;
    private long sequenceNumber;
    /** By the sender's number and incarnation, combined into one number. */
    private final Map<Long, ReplayWindow> replayWindows = new HashMap<>();

    private final long[] discardedCounts = new long[DiscardReason.values().length];

    /**
     * @param membershipHash identifies the lists of dispatchers and voters, see {@link LeaseSettings#membershipHash}
     * @param dispatcher     this dispatcher's number
     * @param incarnation    this process's incarnation, drawn at random
     */
    MessageCodec(byte[] key, int membershipHash, int dispatcher, int incarnation) {
        this.key = new SecretKeySpec(key, "HmacSHA256");
        this.dispatcher = dispatcher;
        this.incarnation = incarnation;
        this.membershipHash = membershipHash;
    }

    long discardedCount(DiscardReason reason) {
        return discardedCounts[reason.ordinal()];
    }

    /** @throws IllegalArgumentException if the lease's name or the state is too long */
    byte[] encode(LeaseMessage message) {
        byte[] name = message.leaseName().getBytes(StandardCharsets.UTF_8);
        byte[] state = message.state();
        if (name.length > MAX_NAME_BYTES || state.length > MAX_STATE_BYTES) {
            throw new IllegalArgumentException("the lease name has " + name.length + " bytes and the state "
                    + state.length + "; the limits are " + MAX_NAME_BYTES + " and " + MAX_STATE_BYTES);
        }
        ByteBuffer out = ByteBuffer.allocate(HEADER_BYTES + FIXED_BODY_BYTES + name.length + state.length + HMAC_BYTES);
        out.putInt(MAGIC)
                .putInt(membershipHash)
                .putInt(incarnation)
                .putLong(++sequenceNumber)
                .putShort((short) dispatcher)
                .put((byte) message.kind().ordinal());
        out.putLong(message.requestId())
                .putLong(message.ballot())
                .putLong(message.highestBallot())
                .putDouble(message.remainingMillis())
                .putLong(message.acceptedBallot())
                .putLong(message.version());
        out.put((byte) name.length).put(name).putShort((short) state.length).put(state);
        out.put(authenticate(out.array(), out.position()));
        return out.array();
    }

    /** Returns the message in this datagram, or null if the datagram is discarded. */
    LeaseMessage decode(byte[] data) {
        int end = data.length - HMAC_BYTES;
        if (end < HEADER_BYTES + FIXED_BODY_BYTES || !isAuthentic(data, end)) {
            return discard(DiscardReason.DAMAGED);
        }
        ByteBuffer in = ByteBuffer.wrap(data, 0, end);
        if (in.getInt() != MAGIC) {
            return discard(DiscardReason.DAMAGED);
        }
        if (in.getInt() != membershipHash) {
            return discard(DiscardReason.OTHER_LIST);
        }
        int senderIncarnation = in.getInt();
        long senderSequenceNumber = in.getLong();
        int sender = Short.toUnsignedInt(in.getShort());
        int kind = in.get();
        if (kind < 0 || kind >= Kind.values().length) {
            return discard(DiscardReason.DAMAGED);
        }
        long senderKey = (long) sender << Integer.SIZE | Integer.toUnsignedLong(senderIncarnation);
        if (!replayWindows.computeIfAbsent(senderKey, s -> new ReplayWindow()).admits(senderSequenceNumber)) {
            return discard(DiscardReason.REPEATED);
        }
        try {
            return decodeBody(Kind.values()[kind], sender, in);
        } catch (BufferUnderflowException | NegativeArraySizeException e) {
            return discard(DiscardReason.DAMAGED);
        }
    }

    private static LeaseMessage decodeBody(Kind kind, int sender, ByteBuffer in) {
        long requestId = in.getLong();
        long ballot = in.getLong();
        long highestBallot = in.getLong();
        double remainingMillis = in.getDouble();
        long acceptedBallot = in.getLong();
        long version = in.getLong();
        byte[] name = new byte[in.get()];
        in.get(name);
        byte[] state = new byte[in.getShort()];
        in.get(state);
        return new LeaseMessage(
                kind,
                new String(name, StandardCharsets.UTF_8),
                sender,
                requestId,
                ballot,
                highestBallot,
                remainingMillis,
                acceptedBallot,
                version,
                state);
    }

    private LeaseMessage discard(DiscardReason reason) {
        discardedCounts[reason.ordinal()]++;
        return null;
    }

    private boolean isAuthentic(byte[] data, int end) {
        return MessageDigest.isEqual(authenticate(data, end), Arrays.copyOfRange(data, end, data.length));
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
