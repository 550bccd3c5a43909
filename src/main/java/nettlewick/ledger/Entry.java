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
 * One line of the ledger; it is never changed. Work is in slot-microseconds, times are Unix milliseconds.
 *
 * @param at       when the answer's last byte was written; of other kinds, when the entry was made
 * @param member   who is billed; "" where the job named nobody
 * @param key      hash of the idempotency key, or null
 * @param work     what is billed where it ended served; of a correction, the target's new value
 * @param spare    work seen of second copies and lost attempts; never billed
 * @param job      number of the job in its life; of a gap, how many jobs it stands for
 * @param target   the entry that a correction corrects, else null
 * @param by       who asked for a correction or a close, else null
 * @param text of a job, the name that its period had when it was entered; why one is in doubt; reason of a
 *                 correction; period, bounds and vector of a close; bounds of a gap
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
    /** Longest text of any field: the form on the wire holds no longer ones. */
    static final int MAX_TEXT_LENGTH = 20_000;

    private static final int FORMAT_VERSION = 1;

    /** What an entry says. */
    public enum Kind {
        /** A job was answered, or its client had left. */
        JOB,
        /** A job was let go, and nothing says whether its answer arrived: a crash came between. */
        DOUBT,
        /** An entry of the same dispatcher has another value. */
        CORRECTION,
        /** Jobs were answered that could not be entered one by one. */
        GAP,
        /** The dispatcher's part of a period is closed. */
        CLOSE
    }

    /** A correction of an entry to a new value. */
    static Entry correction(EntryRef ref, double at, Entry target, long work, String by, String reason) {
        return new Entry(
                ref,
                Kind.CORRECTION,
                at,
                target.tenant,
                target.requestClass,
                target.requestId,
                target.keyHash,
                target.ending,
                work,
                false,
                0,
                0,
                0,
                target.ref,
                by,
                reason);
    }

    /** So many jobs, the first and the last answered at those times, are not entered one by one. */
    static Entry gap(EntryRef ref, double from, double to, long jobs) {
        return new Entry(
                ref, Kind.GAP, to, "", "", "", null, Ending.FAILED, 0, false, 0, 0, jobs, null, null, from + " " + to);
    }

    /** The dispatcher's part of a period is what the vector covers. */
    static Entry close(
            EntryRef ref, double at, BillingCalendar.Period period, Map<ChainOrigin, Long> lastNumbers, String by) {
        return new Entry(
                ref,
                Kind.CLOSE,
                at,
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
                by,
                new Close(period, lastNumbers).format());
    }

    /** What a close says: the period and, for each origin, the last number that was held. */
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

    /** The close that this entry is. */
    Close parseClose() {
        return Close.parse(details);
    }

    /** The same entry at another place of a chain. */
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

    /** The same job with the name of its period. */
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

    /** Its bytes, the same on every machine; the chain is made over them. */
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
            // Danger: writeUTF ends at 64 KiB, which the vector of a close passes with some thousand origins.
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
            throw new IllegalArgumentException("a text of " + length + " bytes");
        }
        return length < 0 ? null : new String(in.readNBytes(length), StandardCharsets.UTF_8);
    }

    private static String readOptional(DataInputStream in) throws IOException {
        return in.readBoolean() ? in.readUTF() : null;
    }

    /** Reads {@link #toBytes}; IllegalArgumentException for anything else. */
    static Entry fromBytes(byte[] bytes) {
        try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes))) {
            if (in.readByte() != FORMAT_VERSION) {
                throw new IllegalArgumentException("an entry of another version");
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
                throw new IllegalArgumentException("bytes after an entry");
            }
            return entry;
        } catch (IOException | IndexOutOfBoundsException e) {
            throw new IllegalArgumentException("no entry that can be read", e);
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

    /** The link of the chain that follows one with this hash ({@link #INITIAL_HASH} before the first). */
    static byte[] chainHash(byte[] previousHash, byte[] entryBytes) {
        MessageDigest digest = DIGEST.get();
        digest.update(previousHash);
        return digest.digest(entryBytes);
    }

    /** What stands before the first link. */
    static final byte[] INITIAL_HASH = new byte[32];

    /** The hash under which a key is kept: 16 bytes of SHA-256, in hexadecimal. */
    static String hashKey(String key) {
        byte[] all = DIGEST.get().digest(key.getBytes(StandardCharsets.UTF_8));
        return HexFormat.of().formatHex(all, 0, 16);
    }

    /** A text cut to what a field holds. */
    static String truncate(String text) {
        return text == null ? "" : text.length() <= MAX_TEXT_LENGTH ? text : text.substring(0, MAX_TEXT_LENGTH);
    }
}
