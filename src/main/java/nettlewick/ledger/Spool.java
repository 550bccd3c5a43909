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
 * Intents and answers of one life before they are in the store: append-only files of a fixed size, mapped
 * into
 * memory, each record with its length and CRC-32C. A lock file tells whether the life's process lives. Any
 * thread
 * may note records, which does no I/O; one thread makes the files and forces them.
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

    /** Where intents were written; any thread may tell it. */
    interface IntentTracker {
        /** So many of its jobs have committed entries. */
        void markCommitted(int jobs);
    }

    /** A file of the spool and how many of its jobs have no committed entry yet. Guarded by the spool. */
    private final class Segment implements IntentTracker {
        final Path file;
        final MappedByteBuffer mapped;
        /**
         * The copy that is forced. Danger: forcing the mapped file itself takes its pages from all cores, and
         * whoever writes next waits for the disk.
         */
        final Path syncedFile;

        final FileChannel syncedChannel;
        int writePosition;
        int syncedPosition;
        int uncommittedJobs;

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

        /** Brings what was noted up to there to the disk. */
        void force(int ends) throws IOException {
            ByteBuffer unsynced = mapped.slice(syncedPosition, ends - syncedPosition);
            for (long position = syncedPosition; unsynced.hasRemaining(); ) {
                position += syncedChannel.write(unsynced, position);
            }
            syncedChannel.force(false);
            syncedPosition = ends;
        }

        @Override
        public void markCommitted(int jobs) {
            synchronized (Spool.this) {
                uncommittedJobs -= jobs;
                deleteCommittedSegments();
            }
        }
    }

    /** What a dead life's files hold. */
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

    /** Makes a life's spool and holds its lock. */
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
            // held in this very process
        }
        channel.close();
        throw new IOException("life " + incarnation + " is another process's");
    }

    /** Holds the lock of a life that writes no spool: a command's. */
    static AutoCloseable claim(Path folder, long incarnation) throws IOException {
        FileChannel channel = acquireLock(folder, incarnation);
        return () -> {
            Files.deleteIfExists(lockFile(folder, incarnation));
            channel.close();
        };
    }

    /** Whether the process of a life lives. */
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
     * Notes that a job is let go: {@code draft} with its number in the life. Copies bytes into mapped memory,
     * which outlives a killed process; {@link #force} makes them outlive the machine's power.
     *
     * @return where it stands, or null where there is no room now
     */
    IntentTracker recordIntent(Entry draft) {
        byte[] bytes = draft.toBytes();
        return append(ByteBuffer.allocate(1 + bytes.length).put(INTENT).put(bytes), 1);
    }

    /** Notes what became of a job that was let go. */
    void recordEnd(long job, double at, boolean answered) {
        append(
                ByteBuffer.allocate(1 + 8 + 8)
                        .put(answered ? ANSWERED : LEFT)
                        .putLong(job)
                        .putDouble(at),
                0);
    }

    private IntentTracker append(ByteBuffer record, int jobs) {
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
                // Danger: the length makes the record count, so it comes last, whenever the process is
                // killed.
                INT_VIEW.setRelease(segment.mapped, segment.writePosition, bytes.length);
            } catch (InternalError e) {
                // The disk under the mapped memory has failed.
                current = null;
                return null;
            }
            segment.writePosition += frameBytes;
            segment.uncommittedJobs += jobs;
            return segment;
        }
    }

    /**
     * Sees to it that the next file is there: its blocks are allocated, so that the disk cannot be full when
     * it is
     * written. {@code head} is the last number that the store has committed for this life.
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

    /** A file whose blocks are on the disk, so that it cannot be full when they are written to. */
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

    /** All that was noted before the call is on the disk when it returns. Called by one thread. */
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

    /** What could not be forced is not written to any more. */
    private synchronized void abandonSegments() {
        current = null;
        nextSegment = null;
    }

    /** Danger: a file is deleted only when all of its jobs are in the store. */
    private void deleteCommittedSegments() {
        segments.removeIf(s -> {
            if (s == current || s == nextSegment || s.uncommittedJobs > 0) {
                return false;
            }
            try {
                s.syncedChannel.close();
                Files.deleteIfExists(s.file);
                Files.deleteIfExists(s.syncedFile);
            } catch (IOException e) {
                // It is read again at the next start, which finds its jobs entered.
            }
            return true;
        });
    }

    /** Ends the life: files whose jobs are all entered go; the others wait for the next start. */
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
            // The kernel gives the lock back with the process.
        }
    }

    // Reading what a dead life left

    /** The lives that left files and whose process is dead. */
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

    /** Reads the files of a life; null where it left none. */
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
        // Danger: cut off in its head, or all zeros there, it was never written to; all else is put aside.
        if (in.limit() >= 4 && in.getInt(0) != MAGIC && in.getInt(0) != 0) {
            if (contents != null) {
                contents.damage().add(file + ": not a spool");
            } else {
                throw new IOException(file + " is not a spool");
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
                // The rest of the file was never written to.
                return;
            }
            if (length < 0 || length > MAX_RECORD_BYTES) {
                contents.damage().add(file + ": no record at byte " + start);
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
                contents.damage().add(file + ": a record with a wrong sum at byte " + start);
                return;
            }
            ByteBuffer r = ByteBuffer.wrap(record);
            byte type = r.get();
            if (type == INTENT) {
                Entry draft = Entry.fromBytes(java.util.Arrays.copyOfRange(record, 1, length));
                contents.intents().put(draft.requestNumber(), draft);
            } else {
                long job = r.getLong();
                Entry draft = contents.intents().get(job);
                if (draft != null) {
                    contents.finalEntries().put(job, finalEntry(draft, r.getDouble(), type == ANSWERED));
                }
            }
        }
    }

    /** The entry of a draft whose end is known. */
    static Entry finalEntry(Entry draft, double at, boolean answered) {
        // Danger: work for a client that has left is nobody's: it is shown apart, and never billed.
        return new Entry(
                draft.ref(),
                Entry.Kind.JOB,
                at,
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
