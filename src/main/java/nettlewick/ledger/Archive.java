package nettlewick.ledger;

import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.GZIPInputStream;
import java.util.zip.GZIPOutputStream;

/** Gzip file with the entries of a period, each preceded by its length in bytes. */
final class Archive {
    private static final int MAGIC = 0x4e574131;
    private static final int MAX_ENTRY_BYTES = 1 << 20;

    private Archive() {}

    /** Writes to a temporary file, syncs and renames it; returns the SHA-256 of its bytes. */
    static String write(Path file, List<Entry> entries, FaultInjection faults) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DataOutputStream out = new DataOutputStream(new GZIPOutputStream(bytes, 1 << 16))) {
            out.writeInt(MAGIC);
            for (Entry entry : entries) {
                byte[] encoded = entry.toBytes();
                out.writeInt(encoded.length);
                out.write(encoded);
            }
        }
        Path temporary = file.resolveSibling(file.getFileName() + ".part");
        Files.createDirectories(file.toAbsolutePath().getParent());
        Files.write(temporary, bytes.toByteArray());
        faults.at("archive-written");
        try (FileChannel channel = FileChannel.open(temporary, StandardOpenOption.WRITE)) {
            channel.force(true);
        }
        Files.move(temporary, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        try (FileChannel channel = FileChannel.open(file.toAbsolutePath().getParent(), StandardOpenOption.READ)) {
            channel.force(true);
        }
        faults.at("archive-renamed");
        return BatchCodec.sha256(bytes.toByteArray());
    }

    /** Reads the entries of a file; fails if its SHA-256 differs. */
    static List<Entry> read(Path file, String sha256) throws IOException {
        byte[] bytes = Files.readAllBytes(file);
        if (!BatchCodec.sha256(bytes).equals(sha256)) {
            throw new IOException(file + " is not the archive that was written: its SHA-256 differs");
        }
        List<Entry> entries = new ArrayList<>();
        try (DataInputStream in =
                new DataInputStream(new GZIPInputStream(new java.io.ByteArrayInputStream(bytes), 1 << 16))) {
            if (in.readInt() != MAGIC) {
                throw new IOException(file + " is not a ledger archive");
            }
            while (true) {
                int length;
                try {
                    length = in.readInt();
                } catch (EOFException e) {
                    return entries;
                }
                if (length <= 0 || length > MAX_ENTRY_BYTES) {
                    throw new IOException(file + " holds an entry with an invalid length of " + length + " bytes");
                }
                entries.add(Entry.fromBytes(in.readNBytes(length)));
            }
        }
    }
}
