package nettlewick.ledger;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Map;
import java.util.TreeMap;
import nettlewick.core.UsageRecorder.Ending;

/**
 * An immutable entry of the ledger. Times are Unix milliseconds. Entries are stored and hashed as {@link #toBytes}; the
 * ordinals of {@link Kind} and {@link Ending} are part of that format.
 *
 * @param timeMillis          when the last byte of the answer was written; for other kinds, when the entry was created
 * @param tenant              the tenant that is billed; empty if the request named none
 * @param keyHash             hash of the idempotency key, or null
 * @param workSlotMicros      billed slot-microseconds if the request was served; the new value in a correction
 * @param extraWorkSlotMicros slot-microseconds of hedged requests and lost attempts; never billed
 * @param requestNumber       number of the request in its incarnation; in a gap, how many requests it stands for
 * @param target              the entry that a correction corrects, else null
 * @param requestedBy         who requested a correction or a close, else null
 * @param details             for a request, the name of its period when it was entered; for a doubt, the cause; for a
 *                            correction, the reason; for a close, the period, its bounds and the last numbers; for a
 *                            gap, its bounds
 */
public record Entry(
        EntryRef ref,
        Kind kind,
        double timeMillis,
        String tenant,
        String requestClass,
        String requestId,
        String keyHash,
        Ending ending,
        long workSlotMicros,
        boolean isEstimate,
        long extraWorkSlotMicros,
        int attemptCount,
        long requestNumber,
        EntryRef target,
        String requestedBy,
        String details) {
    /** Maximum length of any text field, so that it fits the limit of {@link DataOutputStream#writeUTF}. */
    static final int MAX_TEXT_LENGTH = 20_000;

    private static final int FORMAT_VERSION = 1;

    /** The kind of an entry. Ordinals and names are stored and exported; do not change them. */
    public enum Kind {
        /** A request was answered, or its client disconnected. */
        JOB,
        /** An answer was released, but a crash left it unknown whether it was delivered. */
        DOUBT,
        /** Replaces the value of an entry of the same dispatcher. */
        CORRECTION,
        /** Requests were answered that could not be entered individually. */
        GAP,
        /** Closes the part of a period that belongs to this dispatcher. */
        CLOSE
    }

    /** Creates a correction of an entry. */
    static Entry correction(
            EntryRef ref, double timeMillis, Entry target, long workSlotMicros, String requestedBy, String reason) {
        return new Entry(
                ref,
                Kind.CORRECTION,
                timeMillis,
                target.tenant,
                target.requestClass,
                target.requestId,
                target.keyHash,
                target.ending,
                workSlotMicros,
                false,
                0,
                0,
                0,
                target.ref,
                requestedBy,
                reason);
    }

    /**
     * Creates a gap entry for requests that are not entered individually.
     *
     * @param from time of the first answer
     * @param to   time of the last answer
     */
    static Entry gap(EntryRef ref, double from, double to, long requestCount) {
        return new Entry(
                ref,
                Kind.GAP,
                to,
                "",
                "",
                "",
                null,
                Ending.FAILED,
                0,
                false,
                0,
                0,
                requestCount,
                null,
                null,
                from + " " + to);
    }

    /** Creates the close of this dispatcher's part of a period. */
    static Entry close(
            EntryRef ref,
            double timeMillis,
            BillingCalendar.Period period,
            Map<ChainOrigin, Long> lastNumbers,
            String requestedBy) {
        return new Entry(
                ref,
                Kind.CLOSE,
                timeMillis,
                "",
                "",
                "",
                null,
                Ending.FAILED,
                0,
                false,
                0,
                0,
                0,
                null,
                requestedBy,
                new Close(period, lastNumbers).format());
    }

    /** Content of a close: the period and, for each origin, the last number that was held. */
    public record Close(BillingCalendar.Period period, Map<ChainOrigin, Long> lastNumbers) {
        private String format() {
            StringBuilder text = new StringBuilder(period.name() + " " + period.from() + " " + period.to());
            new TreeMap<>(lastNumbers)
                    .forEach((origin, number) ->
                            text.append('\n').append(origin).append('/').append(number));
            return text.toString();
        }

        static Close parse(String text) {
            String[] lines = text.split("\n");
            String[] head = lines[0].split(" ");
            Map<ChainOrigin, Long> lastNumbers = new TreeMap<>();
            for (int i = 1; i < lines.length; i++) {
                EntryRef last = EntryRef.parse(lines[i]);
                lastNumbers.put(last.origin(), last.number());
            }
            return new Close(
                    new BillingCalendar.Period(head[0], Double.parseDouble(head[1]), Double.parseDouble(head[2])),
                    lastNumbers);
        }

        boolean covers(EntryRef ref) {
            return lastNumbers.getOrDefault(ref.origin(), 0L) >= ref.number();
        }
    }

    /** Parses the content of this close. */
    Close parseClose() {
        return Close.parse(details);
    }

    /** Returns this entry with another reference. */
    Entry withRef(EntryRef newRef) {
        return new Entry(
                newRef,
                kind,
                timeMillis,
                tenant,
                requestClass,
                requestId,
                keyHash,
                ending,
                workSlotMicros,
                isEstimate,
                extraWorkSlotMicros,
                attemptCount,
                requestNumber,
                target,
                requestedBy,
                details);
    }

    /** Returns this entry with the name of its period, if it is a request. */
    Entry withPeriod(BillingCalendar calendar) {
        return kind != Kind.JOB
                ? this
                : new Entry(
                        ref,
                        kind,
                        timeMillis,
                        tenant,
                        requestClass,
                        requestId,
                        keyHash,
                        ending,
                        workSlotMicros,
                        isEstimate,
                        extraWorkSlotMicros,
                        attemptCount,
                        requestNumber,
                        target,
                        requestedBy,
                        calendar.periodAt(timeMillis).name());
    }

    /** Encodes the entry, the same on every machine; the hash chain is computed over this encoding. */
    byte[] toBytes() {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(160);
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            out.writeByte(FORMAT_VERSION);
            out.writeByte(kind.ordinal());
            out.writeUTF(ref.origin().dispatcher());
            out.writeLong(ref.origin().incarnation());
            out.writeLong(ref.number());
            out.writeDouble(timeMillis);
            out.writeUTF(tenant);
            out.writeUTF(requestClass);
            out.writeUTF(requestId);
            writeOptional(out, keyHash);
            out.writeByte(ending.ordinal());
            out.writeLong(workSlotMicros);
            out.writeBoolean(isEstimate);
            out.writeLong(extraWorkSlotMicros);
            out.writeInt(attemptCount);
            out.writeLong(requestNumber);
            writeOptional(out, target == null ? null : target.toString());
            writeOptional(out, requestedBy);
            // writeUTF is limited to 64 KiB, which the last numbers of a close exceed with some thousand origins.
            byte[] encodedDetails = details == null ? null : details.getBytes(StandardCharsets.UTF_8);
            out.writeInt(encodedDetails == null ? -1 : encodedDetails.length);
            if (encodedDetails != null) {
                out.write(encodedDetails);
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return bytes.toByteArray();
    }

    private static void writeOptional(DataOutputStream out, String text) throws IOException {
        out.writeBoolean(text != null);
        if (text != null) {
            out.writeUTF(text);
        }
    }

    private static String readText(DataInputStream in) throws IOException {
        int length = in.readInt();
        if (length < -1 || length > in.available()) {
            throw new IllegalArgumentException("invalid text length of " + length + " bytes");
        }
        return length < 0 ? null : new String(in.readNBytes(length), StandardCharsets.UTF_8);
    }

    private static String readOptional(DataInputStream in) throws IOException {
        return in.readBoolean() ? in.readUTF() : null;
    }

    /**
     * Decodes {@link #toBytes}.
     *
     * @throws IllegalArgumentException if the bytes are not a valid entry
     */
    static Entry fromBytes(byte[] bytes) {
        try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes))) {
            if (in.readByte() != FORMAT_VERSION) {
                throw new IllegalArgumentException("unsupported entry format version");
            }
            Kind kind = Kind.values()[in.readByte()];
            EntryRef ref = new EntryRef(new ChainOrigin(in.readUTF(), in.readLong()), in.readLong());
            Entry entry = new Entry(
                    ref,
                    kind,
                    in.readDouble(),
                    in.readUTF(),
                    in.readUTF(),
                    in.readUTF(),
                    readOptional(in),
                    Ending.values()[in.readByte()],
                    in.readLong(),
                    in.readBoolean(),
                    in.readLong(),
                    in.readInt(),
                    in.readLong(),
                    parseTarget(readOptional(in)),
                    readOptional(in),
                    readText(in));
            if (in.read() >= 0) {
                throw new IllegalArgumentException("trailing bytes after an entry");
            }
            return entry;
        } catch (IOException | IndexOutOfBoundsException e) {
            throw new IllegalArgumentException("malformed entry", e);
        }
    }

    private static EntryRef parseTarget(String text) {
        return text == null ? null : EntryRef.parse(text);
    }

    private static final ThreadLocal<MessageDigest> DIGEST = ThreadLocal.withInitial(() -> {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    });

    /**
     * Returns the hash of an entry in a chain, computed over the previous hash ({@link #INITIAL_HASH} for the first
     * entry) and the bytes of the entry.
     */
    static byte[] chainHash(byte[] previousHash, byte[] entryBytes) {
        MessageDigest digest = DIGEST.get();
        digest.update(previousHash);
        return digest.digest(entryBytes);
    }

    /** The previous hash of the first entry of a chain. */
    static final byte[] INITIAL_HASH = new byte[32];

    /** Hashes an idempotency key: 16 bytes of SHA-256 in hexadecimal. */
    static String hashKey(String key) {
        byte[] all = DIGEST.get().digest(key.getBytes(StandardCharsets.UTF_8));
        return HexFormat.of().formatHex(all, 0, 16);
    }

    /** Truncates a text to {@link #MAX_TEXT_LENGTH}; null becomes empty. */
    static String truncate(String text) {
        return text == null ? "" : text.length() <= MAX_TEXT_LENGTH ? text : text.substring(0, MAX_TEXT_LENGTH);
    }
}
