package nettlewick.ledger;

import com.google.gson.stream.JsonWriter;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStreamWriter;
import java.io.UncheckedIOException;
import java.io.Writer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.Instant;
import java.util.HexFormat;
import java.util.List;
import java.util.Locale;
import org.apache.commons.csv.CSVFormat;
import org.apache.commons.csv.CSVPrinter;

/**
 * Encodes batches. The encoding is deterministic and must never change: a batch that is delivered again must have the
 * same bytes.
 */
final class BatchCodec {
    private static final String[] COLUMNS = {
        "dispatcher",
        "life",
        "number",
        "kind",
        "at",
        "member",
        "class",
        "request",
        "key",
        "end",
        "work_slot_ms",
        "estimate",
        "spare_slot_ms",
        "attempts",
        "jobs",
        "target",
        "by",
        "period",
        "text"
    };

    private BatchCodec() {}

    /** Encodes one line for each entry: CSV with a header (RFC 4180), or JSON objects. */
    static byte[] render(List<Entry> entries, boolean csv) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(entries.size() * 160);
        try (Writer out = new OutputStreamWriter(bytes, StandardCharsets.UTF_8)) {
            if (csv) {
                CSVPrinter printer = new CSVPrinter(
                        out, CSVFormat.RFC4180.builder().setHeader(COLUMNS).get());
                for (Entry e : entries) {
                    printer.printRecord(columnValues(e));
                }
                printer.flush();
            } else {
                for (Entry e : entries) {
                    writeJson(out, e);
                }
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return bytes.toByteArray();
    }

    private static void writeJson(Writer out, Entry e) throws IOException {
        JsonWriter json = new JsonWriter(out);
        Object[] values = columnValues(e);
        json.beginObject();
        for (int i = 0; i < COLUMNS.length; i++) {
            if (values[i] != null) {
                json.name(COLUMNS[i]);
                if (values[i] instanceof Number n) {
                    json.value(n);
                } else {
                    json.value(values[i].toString());
                }
            }
        }
        json.endObject();
        json.flush();
        out.write('\n');
    }

    private static Object[] columnValues(Entry e) {
        EntryRef r = e.ref();
        return new Object[] {
            r.origin().dispatcher(),
            r.origin().incarnation(),
            r.number(),
            lowerCaseName(e.kind()),
            formatTime(e.timeMillis()),
            e.tenant(),
            e.requestClass(),
            e.requestId(),
            e.keyHash(),
            lowerCaseName(e.ending()),
            formatSlotMillis(e.workSlotMicros()),
            e.isEstimate() ? 1 : 0,
            formatSlotMillis(e.extraWorkSlotMicros()),
            e.attemptCount(),
            e.kind() == Entry.Kind.GAP ? e.requestNumber() : 1,
            e.target(),
            e.requestedBy(),
            e.kind() == Entry.Kind.JOB ? e.details() : null,
            e.kind() == Entry.Kind.JOB ? null : e.details()
        };
    }

    private static String lowerCaseName(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT);
    }

    static String formatTime(double millis) {
        return Instant.ofEpochMilli((long) Math.floor(millis)).toString();
    }

    /** Formats slot-microseconds as slot-milliseconds with three decimals. */
    static String formatSlotMillis(long micros) {
        return (micros < 0 ? "-" : "")
                + Math.abs(micros) / 1000
                + '.'
                + String.format(Locale.ROOT, "%03d", Math.abs(micros) % 1000);
    }

    static String sha256(byte[] bytes) {
        try {
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }
}
