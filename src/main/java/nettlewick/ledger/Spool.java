package nettlewick.ledger;

import java.io.IOException;
import java.lang.invoke.MethodHandles;
import java.lang.invoke.VarHandle;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.MappedByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.charset.StandardCharsets;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.zip.CRC32C;
import nettlewick.core.UsageRecorder.Ending;

/**
 * Write-ahead log of one incarnation for requests that are not in the store yet: append-only, memory-mapped files of a
 * fixed size; each record has its length and a CRC-32C. A lock file shows whether the process of the incarnation is
 * alive. Any thread may append records, which does no I/O; one thread creates and syncs the files.
 */
final class Spool implements AutoCloseable {
    private static final int MAGIC = 0x4e575332;
    private static final int FRAME_HEADER_BYTES = 8;
    private static final int ALIGNMENT_BYTES = 4;
    private static final int MAX_RECORD_BYTES = 1 << 18;
    private static final int SEGMENT_BYTES = 4 << 20;
    private static final byte INTENT = 1;
    private static final byte ANSWERED = 2;
    private static final byte LEFT = 3;
    private static final Pattern FILE_NAME = Pattern.compile("spool-(\\d+)-(\\d{6})\\.(log|copy)");
    private static final VarHandle INT_VIEW = MethodHandles.byteBufferViewVarHandle(int[].class, ByteOrder.BIG_ENDIAN);

    /** Tracks the intents of a file until their entries are committed. Thread-safe. */
    interface IntentTracker {
        /** Counts intents of the file whose entries are now committed. */
        void markCommitted(int intents);
    }

    /** A file of the spool and the number of its requests without a committed entry. Guarded by the spool. */
    private final class Segment implements IntentTracker {
        final Path file;
        final MappedByteBuffer mapped;
        /**
         * Copy of the mapped file, which is synced in its place: syncing the mapped file would write-protect its pages
         * on all cores, and the next writer would wait for the disk.
         */
        final Path syncedFile;

        final FileChannel syncedChannel;
        int writePosition;
        int syncedPosition;
        int uncommittedIntents;

        Segment(Path file, ByteBuffer header, int writePosition) throws IOException {
            this.file = file;
            syncedFile = file.resolveSibling(file.getFileName().toString().replace(".log", ".copy"));
            try (FileChannel channel = createFile(file, header)) {
                mapped = channel.map(FileChannel.MapMode.READ_WRITE, 0, SEGMENT_BYTES);
            }
            syncedChannel = createFile(syncedFile, header);
            syncedPosition = writePosition;
            this.writePosition = writePosition;
        }

        /** Copies and syncs the records up to a position. */
        void force(int end) throws IOException {
            ByteBuffer unsynced = mapped.slice(syncedPosition, end - syncedPosition);
            for (long position = syncedPosition; unsynced.hasRemaining(); ) {
                position += syncedChannel.write(unsynced, position);
            }
            syncedChannel.force(false);
            syncedPosition = end;
        }

        @Override
        public void markCommitted(int intents) {
            synchronized (Spool.this) {
                uncommittedIntents -= intents;
                deleteCommittedSegments();
            }
        }
    }

    /**
     * Content of the files of a dead incarnation.
     *
     * @param committedNumber the last number that the store had committed when the first file was created
     * @param intents         by request number
     * @param finalEntries    entries of the requests whose end was recorded, by request number
     * @param damage          descriptions of damaged files
     */
    record Contents(
            ChainOrigin origin,
            long committedNumber,
            Map<Long, Entry> intents,
            Map<Long, Entry> finalEntries,
            List<Path> files,
            List<String> damage) {}

    private final Path folder;
    private final ChainOrigin origin;
    private final FaultInjection faults;
    private final FileChannel lock;
    private final Deque<Segment> segments = new ArrayDeque<>();
    private Segment current;
    private Segment nextSegment;
    private int nextNumber = 1;

    /** Creates the spool of an incarnation and acquires its lock. */
    Spool(Path folder, ChainOrigin origin, FaultInjection faults) throws IOException {
        this.folder = folder;
        this.origin = origin;
        this.faults = faults;
        lock = acquireLock(folder, origin.incarnation());
    }

    private static Path lockFile(Path folder, long incarnation) {
        return folder.resolve("life-" + incarnation + ".lock");
    }

    private static FileChannel acquireLock(Path folder, long incarnation) throws IOException {
        FileChannel channel =
                FileChannel.open(lockFile(folder, incarnation), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        try {
            if (channel.tryLock() != null) {
                return channel;
            }
        } catch (OverlappingFileLockException e) {
            // Held by this process.
        }
        channel.close();
        throw new IOException("incarnation " + incarnation + " belongs to another process");
    }

    /** Acquires the lock of an incarnation that writes no spool, such as that of a command. */
    static AutoCloseable claim(Path folder, long incarnation) throws IOException {
        FileChannel channel = acquireLock(folder, incarnation);
        return () -> {
            Files.deleteIfExists(lockFile(folder, incarnation));
            channel.close();
        };
    }

    /** Whether the process of an incarnation is alive. */
    static boolean isAlive(Path folder, long incarnation) throws IOException {
        Path file = lockFile(folder, incarnation);
        if (!Files.exists(file)) {
            return false;
        }
        try (FileChannel channel = FileChannel.open(file, StandardOpenOption.WRITE);
                FileLock acquired = channel.tryLock()) {
            return acquired == null;
        } catch (OverlappingFileLockException e) {
            return true;
        }
    }

    // Writing

    ChainOrigin origin() {
        return origin;
    }

    /**
     * Records that the answer of a request is about to be released. The record is copied into mapped memory, which
     * survives a killed process; only {@link #force} makes it survive a power failure.
     *
     * @param draft the entry, with its request number
     * @return tracks the intent; null if there is no room now
     */
    IntentTracker recordIntent(Entry draft) {
        byte[] bytes = draft.toBytes();
        return append(ByteBuffer.allocate(1 + bytes.length).put(INTENT).put(bytes), 1);
    }

    /** Records whether a released answer was delivered. */
    void recordEnd(long requestNumber, double endedAt, boolean answered) {
        append(
                ByteBuffer.allocate(1 + 8 + 8)
                        .put(answered ? ANSWERED : LEFT)
                        .putLong(requestNumber)
                        .putDouble(endedAt),
                0);
    }

    private IntentTracker append(ByteBuffer record, int intents) {
        byte[] bytes = record.array();
        CRC32C crc = new CRC32C();
        crc.update(bytes);
        int frameBytes = FRAME_HEADER_BYTES + (bytes.length + ALIGNMENT_BYTES - 1) / ALIGNMENT_BYTES * ALIGNMENT_BYTES;
        synchronized (this) {
            if (current == null || current.writePosition + frameBytes + FRAME_HEADER_BYTES > SEGMENT_BYTES) {
                current = nextSegment;
                nextSegment = null;
            }
            Segment segment = current;
            if (segment == null || bytes.length > MAX_RECORD_BYTES) {
                return null;
            }
            try {
                segment.mapped.put(segment.writePosition + FRAME_HEADER_BYTES, bytes);
                segment.mapped.putInt(segment.writePosition + 4, (int) crc.getValue());
                // The length makes the record valid, so it is written last: the process may be killed at any point.
                INT_VIEW.setRelease(segment.mapped, segment.writePosition, bytes.length);
            } catch (InternalError e) {
                // The disk of the mapped file has failed.
                current = null;
                return null;
            }
            segment.writePosition += frameBytes;
            segment.uncommittedIntents += intents;
            return segment;
        }
    }

    /**
     * Creates the next file if there is none. Its blocks are allocated in advance, so that the disk cannot be full when
     * it is written.
     *
     * @param committedNumber the last number that the store has committed for this incarnation
     */
    void prepareSegment(long committedNumber) throws IOException {
        synchronized (this) {
            if (nextSegment != null) {
                return;
            }
        }
        faults.at("spool-write");
        Path file = folder.resolve(String.format("spool-%d-%06d.log", origin.incarnation(), nextNumber++));
        byte[] name = origin.dispatcher().getBytes(StandardCharsets.UTF_8);
        ByteBuffer header = ByteBuffer.allocate(SEGMENT_BYTES)
                .putInt(MAGIC)
                .putInt(name.length)
                .put(name)
                .putLong(origin.incarnation())
                .putLong(committedNumber);
        int recordsStart = (header.position() + ALIGNMENT_BYTES - 1) / ALIGNMENT_BYTES * ALIGNMENT_BYTES;
        header.rewind();
        Segment segment;
        try {
            segment = new Segment(file, header, recordsStart);
        } catch (IOException e) {
            Files.deleteIfExists(file);
            throw e;
        }
        synchronized (this) {
            segments.add(segment);
            nextSegment = segment;
            if (current == null) {
                current = segment;
                nextSegment = null;
            }
            deleteCommittedSegments();
        }
    }

    /** Creates a file with all of its blocks allocated, so that later writes cannot run out of disk space. */
    private static FileChannel createFile(Path file, ByteBuffer header) throws IOException {
        FileChannel channel = FileChannel.open(
                file, StandardOpenOption.CREATE_NEW, StandardOpenOption.READ, StandardOpenOption.WRITE);
        try {
            for (ByteBuffer remaining = header.duplicate(); remaining.hasRemaining(); ) {
                channel.write(remaining);
            }
            channel.force(true);
            return channel;
        } catch (IOException e) {
            channel.close();
            Files.deleteIfExists(file);
            throw e;
        }
    }

    /** Syncs all records that were appended before the call. Called by one thread only. */
    void force() throws IOException {
        List<Segment> dirty = new ArrayList<>();
        List<Integer> ends = new ArrayList<>();
        synchronized (this) {
            for (Segment s : segments) {
                if (s.writePosition > s.syncedPosition) {
                    dirty.add(s);
                    ends.add(s.writePosition);
                }
            }
        }
        try {
            for (int i = 0; i < dirty.size(); i++) {
                faults.at("spool-force");
                dirty.get(i).force(ends.get(i));
            }
        } catch (IOException e) {
            abandonSegments();
            throw e;
        }
    }

    /** Stops writing to the current files after a failed sync. */
    private synchronized void abandonSegments() {
        current = null;
        nextSegment = null;
    }

    /** Deletes the files whose requests are all in the store. Deleting one earlier would lose requests in a crash. */
    private void deleteCommittedSegments() {
        segments.removeIf(s -> {
            if (s == current || s == nextSegment || s.uncommittedIntents > 0) {
                return false;
            }
            try {
                s.syncedChannel.close();
                Files.deleteIfExists(s.file);
                Files.deleteIfExists(s.syncedFile);
            } catch (IOException e) {
                // It is read again at the next start, which finds its requests already entered.
            }
            return true;
        });
    }

    /**
     * Closes the spool. Files whose requests are all entered are deleted; the others are left for recovery at the next
     * start.
     */
    @Override
    public synchronized void close() {
        current = null;
        nextSegment = null;
        deleteCommittedSegments();
        try {
            for (Segment s : segments) {
                s.syncedChannel.close();
            }
            if (segments.isEmpty()) {
                Files.deleteIfExists(lockFile(folder, origin.incarnation()));
            }
            lock.close();
        } catch (IOException e) {
            // The operating system releases the lock when the process ends.
        }
    }

    // Reading the files of dead incarnations

    /** Returns the incarnations that left files and whose process is dead. */
    static List<Long> findDead(Path folder) throws IOException {
        Map<Long, Boolean> incarnations = new TreeMap<>();
        try (DirectoryStream<Path> files = Files.newDirectoryStream(folder, "{spool,life}-*")) {
            for (Path file : files) {
                Matcher m = Pattern.compile("(?:spool|life)-(\\d+)[-.].*")
                        .matcher(file.getFileName().toString());
                if (m.matches()) {
                    incarnations.put(Long.parseLong(m.group(1)), true);
                }
            }
        }
        List<Long> dead = new ArrayList<>();
        for (long incarnation : incarnations.keySet()) {
            if (!isAlive(folder, incarnation)) {
                dead.add(incarnation);
            }
        }
        return dead;
    }

    /** Reads the files of an incarnation; null if there are none. */
    static Contents read(Path folder, long incarnation) throws IOException {
        List<Path> files = new ArrayList<>();
        try (DirectoryStream<Path> all = Files.newDirectoryStream(folder, "spool-" + incarnation + "-*")) {
            for (Path file : all) {
                if (FILE_NAME.matcher(file.getFileName().toString()).matches()) {
                    files.add(file);
                }
            }
        }
        files.sort(null);
        Contents contents = null;
        for (Path file : files) {
            contents = read(file, files, contents);
        }
        return contents;
    }

    private static Contents read(Path file, List<Path> files, Contents previous) throws IOException {
        ByteBuffer in = ByteBuffer.wrap(Files.readAllBytes(file));
        Contents contents = previous;
        if (in.remaining() >= 8 && in.getInt() == MAGIC) {
            int length = in.getInt();
            if (length >= 0 && length <= 4096 && in.remaining() >= length + 16) {
                byte[] name = new byte[length];
                in.get(name);
                ChainOrigin origin = new ChainOrigin(new String(name, StandardCharsets.UTF_8), in.getLong());
                long committedNumber = in.getLong();
                in.position(Math.min(
                        in.limit(), (in.position() + ALIGNMENT_BYTES - 1) / ALIGNMENT_BYTES * ALIGNMENT_BYTES));
                contents = contents != null
                        ? contents
                        : new Contents(
                                origin,
                                committedNumber,
                                new LinkedHashMap<>(),
                                new LinkedHashMap<>(),
                                files,
                                new ArrayList<>());
                readRecords(file, in, contents);
                return contents;
            }
        }
        // A file that is truncated in its header, or has zeros there, was never written to; any other header is
        // reported as damage.
        if (in.limit() >= 4 && in.getInt(0) != MAGIC && in.getInt(0) != 0) {
            if (contents != null) {
                contents.damage().add(file + ": not a spool file");
            } else {
                throw new IOException(file + " is not a spool file");
            }
        }
        return contents;
    }

    private static void readRecords(Path file, ByteBuffer in, Contents contents) {
        while (in.remaining() >= FRAME_HEADER_BYTES) {
            int start = in.position();
            int length = in.getInt();
            int storedCrc = in.getInt();
            if (length == 0) {
                // The remainder of the file has never been written.
                return;
            }
            if (length < 0 || length > MAX_RECORD_BYTES) {
                contents.damage().add(file + ": invalid record length at byte " + start);
                return;
            }
            if (in.remaining() < length) {
                return;
            }
            byte[] record = new byte[length];
            in.get(record);
            in.position(
                    Math.min(in.limit(), (in.position() + ALIGNMENT_BYTES - 1) / ALIGNMENT_BYTES * ALIGNMENT_BYTES));
            CRC32C crc = new CRC32C();
            crc.update(record);
            if ((int) crc.getValue() != storedCrc) {
                contents.damage().add(file + ": checksum mismatch at byte " + start);
                return;
            }
            ByteBuffer r = ByteBuffer.wrap(record);
            byte type = r.get();
            if (type == INTENT) {
                Entry draft = Entry.fromBytes(java.util.Arrays.copyOfRange(record, 1, length));
                contents.intents().put(draft.requestNumber(), draft);
            } else {
                long requestNumber = r.getLong();
                Entry draft = contents.intents().get(requestNumber);
                if (draft != null) {
                    contents.finalEntries().put(requestNumber, finalEntry(draft, r.getDouble(), type == ANSWERED));
                }
            }
        }
    }

    /** Returns the entry for a request whose end is known. */
    static Entry finalEntry(Entry draft, double endedAt, boolean answered) {
        // Work for a client that disconnected is never billed; it is shown as extra work.
        return new Entry(
                draft.ref(),
                Entry.Kind.JOB,
                endedAt,
                draft.tenant(),
                draft.requestClass(),
                draft.requestId(),
                draft.keyHash(),
                answered ? draft.ending() : Ending.LEFT,
                answered ? draft.workSlotMicros() : 0,
                draft.isEstimate(),
                answered ? draft.extraWorkSlotMicros() : draft.extraWorkSlotMicros() + draft.workSlotMicros(),
                draft.attemptCount(),
                draft.requestNumber(),
                null,
                null,
                null);
    }
}
