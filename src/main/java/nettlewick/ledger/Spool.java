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
    private static final int FRAME = 8;
    private static final int ALIGNED = 4;
    private static final int RECORD_MOST = 1 << 18;
    private static final int SEGMENT = 4 << 20;
    private static final byte INTENT = 1;
    private static final byte ANSWERED = 2;
    private static final byte LEFT = 3;
    private static final Pattern NAME = Pattern.compile("spool-(\\d+)-(\\d{6})\\.(log|copy)");
    private static final VarHandle INTS = MethodHandles.byteBufferViewVarHandle(int[].class, ByteOrder.BIG_ENDIAN);

    /** Where intents were written; any thread may tell it. */
    interface Place {
        /** So many of its jobs have committed entries. */
        void entered(int jobs);
    }

    /** A file of the spool and how many of its jobs have no committed entry yet. Guarded by the spool. */
    private final class Segment implements Place {
        final Path file;
        final MappedByteBuffer bytes;
        /**
         * The copy that is forced. Danger: forcing the mapped file itself takes its pages from all cores, and
         * whoever writes next waits for the disk.
         */
        final Path second;

        final FileChannel copy;
        int at;
        int forced;
        int open;

        Segment(Path file, ByteBuffer start, int at) throws IOException {
            this.file = file;
            second = file.resolveSibling(file.getFileName().toString().replace(".log", ".copy"));
            try (FileChannel channel = made(file, start)) {
                bytes = channel.map(FileChannel.MapMode.READ_WRITE, 0, SEGMENT);
            }
            copy = made(second, start);
            forced = at;
            this.at = at;
        }

        /** Brings what was noted up to there to the disk. */
        void force(int until) throws IOException {
            ByteBuffer news = bytes.slice(forced, until - forced);
            for (long to = forced; news.hasRemaining(); ) {
                to += copy.write(news, to);
            }
            copy.force(false);
            forced = until;
        }

        @Override
        public void entered(int jobs) {
            synchronized (Spool.this) {
                open -= jobs;
                sweep();
            }
        }
    }

    /** What a dead life's files hold. */
    record Found(
            ChainOrigin origin,
            long head,
            Map<Long, Entry> intents,
            Map<Long, Entry> ended,
            List<Path> files,
            List<String> damage) {}

    private final Path folder;
    private final ChainOrigin origin;
    private final FaultInjection faults;
    private final FileChannel lock;
    private final Deque<Segment> segments = new ArrayDeque<>();
    private Segment current;
    private Segment spare;
    private int next = 1;

    /** Makes a life's spool and holds its lock. */
    Spool(Path folder, ChainOrigin origin, FaultInjection faults) throws IOException {
        this.folder = folder;
        this.origin = origin;
        this.faults = faults;
        lock = hold(folder, origin.life());
    }

    private static Path lockFile(Path folder, long life) {
        return folder.resolve("life-" + life + ".lock");
    }

    private static FileChannel hold(Path folder, long life) throws IOException {
        FileChannel channel =
                FileChannel.open(lockFile(folder, life), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        try {
            if (channel.tryLock() != null) {
                return channel;
            }
        } catch (OverlappingFileLockException e) {
            // held in this very process
        }
        channel.close();
        throw new IOException("life " + life + " is another process's");
    }

    /** Holds the lock of a life that writes no spool: a command's. */
    static AutoCloseable claim(Path folder, long life) throws IOException {
        FileChannel channel = hold(folder, life);
        return () -> {
            Files.deleteIfExists(lockFile(folder, life));
            channel.close();
        };
    }

    /** Whether the process of a life lives. */
    static boolean alive(Path folder, long life) throws IOException {
        Path file = lockFile(folder, life);
        if (!Files.exists(file)) {
            return false;
        }
        try (FileChannel channel = FileChannel.open(file, StandardOpenOption.WRITE);
                FileLock mine = channel.tryLock()) {
            return mine == null;
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
    Place intent(Entry draft) {
        byte[] bytes = draft.bytes();
        return put(ByteBuffer.allocate(1 + bytes.length).put(INTENT).put(bytes), 1);
    }

    /** Notes what became of a job that was let go. */
    void ended(long job, double at, boolean answered) {
        put(
                ByteBuffer.allocate(1 + 8 + 8)
                        .put(answered ? ANSWERED : LEFT)
                        .putLong(job)
                        .putDouble(at),
                0);
    }

    private Place put(ByteBuffer record, int jobs) {
        byte[] bytes = record.array();
        CRC32C sum = new CRC32C();
        sum.update(bytes);
        int room = FRAME + (bytes.length + ALIGNED - 1) / ALIGNED * ALIGNED;
        synchronized (this) {
            if (current == null || current.at + room + FRAME > SEGMENT) {
                current = spare;
                spare = null;
            }
            Segment to = current;
            if (to == null || bytes.length > RECORD_MOST) {
                return null;
            }
            try {
                to.bytes.put(to.at + FRAME, bytes);
                to.bytes.putInt(to.at + 4, (int) sum.getValue());
                // Danger: the length makes the record count, so it comes last, whenever the process is
                // killed.
                INTS.setRelease(to.bytes, to.at, bytes.length);
            } catch (InternalError e) {
                // The disk under the mapped memory has failed.
                current = null;
                return null;
            }
            to.at += room;
            to.open += jobs;
            return to;
        }
    }

    /**
     * Sees to it that the next file is there: its blocks are allocated, so that the disk cannot be full when
     * it is
     * written. {@code head} is the last number that the store has committed for this life.
     */
    void prepare(long head) throws IOException {
        synchronized (this) {
            if (spare != null) {
                return;
            }
        }
        faults.at("spool-write");
        Path file = folder.resolve(String.format("spool-%d-%06d.log", origin.life(), next++));
        byte[] name = origin.dispatcher().getBytes(StandardCharsets.UTF_8);
        ByteBuffer start = ByteBuffer.allocate(SEGMENT)
                .putInt(MAGIC)
                .putInt(name.length)
                .put(name)
                .putLong(origin.life())
                .putLong(head);
        int at = (start.position() + ALIGNED - 1) / ALIGNED * ALIGNED;
        start.rewind();
        Segment made;
        try {
            made = new Segment(file, start, at);
        } catch (IOException e) {
            Files.deleteIfExists(file);
            throw e;
        }
        synchronized (this) {
            segments.add(made);
            spare = made;
            if (current == null) {
                current = made;
                spare = null;
            }
            sweep();
        }
    }

    /** A file whose blocks are on the disk, so that it cannot be full when they are written to. */
    private static FileChannel made(Path file, ByteBuffer start) throws IOException {
        FileChannel channel = FileChannel.open(
                file, StandardOpenOption.CREATE_NEW, StandardOpenOption.READ, StandardOpenOption.WRITE);
        try {
            for (ByteBuffer rest = start.duplicate(); rest.hasRemaining(); ) {
                channel.write(rest);
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
        List<Integer> until = new ArrayList<>();
        synchronized (this) {
            for (Segment s : segments) {
                if (s.at > s.forced) {
                    dirty.add(s);
                    until.add(s.at);
                }
            }
        }
        try {
            for (int i = 0; i < dirty.size(); i++) {
                faults.at("spool-force");
                dirty.get(i).force(until.get(i));
            }
        } catch (IOException e) {
            abandon();
            throw e;
        }
    }

    /** What could not be forced is not written to any more. */
    private synchronized void abandon() {
        current = null;
        spare = null;
    }

    /** Danger: a file is deleted only when all of its jobs are in the store. */
    private void sweep() {
        segments.removeIf(s -> {
            if (s == current || s == spare || s.open > 0) {
                return false;
            }
            try {
                s.copy.close();
                Files.deleteIfExists(s.file);
                Files.deleteIfExists(s.second);
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
        spare = null;
        sweep();
        try {
            for (Segment s : segments) {
                s.copy.close();
            }
            if (segments.isEmpty()) {
                Files.deleteIfExists(lockFile(folder, origin.life()));
            }
            lock.close();
        } catch (IOException e) {
            // The kernel gives the lock back with the process.
        }
    }

    // Reading what a dead life left

    /** The lives that left files and whose process is dead. */
    static List<Long> dead(Path folder) throws IOException {
        Map<Long, Boolean> lives = new TreeMap<>();
        try (DirectoryStream<Path> files = Files.newDirectoryStream(folder, "{spool,life}-*")) {
            for (Path file : files) {
                Matcher m = Pattern.compile("(?:spool|life)-(\\d+)[-.].*")
                        .matcher(file.getFileName().toString());
                if (m.matches()) {
                    lives.put(Long.parseLong(m.group(1)), true);
                }
            }
        }
        List<Long> dead = new ArrayList<>();
        for (long life : lives.keySet()) {
            if (!alive(folder, life)) {
                dead.add(life);
            }
        }
        return dead;
    }

    /** Reads the files of a life; null where it left none. */
    static Found read(Path folder, long life) throws IOException {
        List<Path> files = new ArrayList<>();
        try (DirectoryStream<Path> all = Files.newDirectoryStream(folder, "spool-" + life + "-*")) {
            for (Path file : all) {
                if (NAME.matcher(file.getFileName().toString()).matches()) {
                    files.add(file);
                }
            }
        }
        files.sort(null);
        Found found = null;
        for (Path file : files) {
            found = read(file, files, found);
        }
        return found;
    }

    private static Found read(Path file, List<Path> files, Found before) throws IOException {
        ByteBuffer in = ByteBuffer.wrap(Files.readAllBytes(file));
        Found found = before;
        if (in.remaining() >= 8 && in.getInt() == MAGIC) {
            int length = in.getInt();
            if (length >= 0 && length <= 4096 && in.remaining() >= length + 16) {
                byte[] name = new byte[length];
                in.get(name);
                ChainOrigin origin = new ChainOrigin(new String(name, StandardCharsets.UTF_8), in.getLong());
                long head = in.getLong();
                in.position(Math.min(in.limit(), (in.position() + ALIGNED - 1) / ALIGNED * ALIGNED));
                found = found != null
                        ? found
                        : new Found(
                                origin, head, new LinkedHashMap<>(), new LinkedHashMap<>(), files, new ArrayList<>());
                records(file, in, found);
                return found;
            }
        }
        // Danger: cut off in its head, or all zeros there, it was never written to; all else is put aside.
        if (in.limit() >= 4 && in.getInt(0) != MAGIC && in.getInt(0) != 0) {
            if (found != null) {
                found.damage().add(file + ": not a spool");
            } else {
                throw new IOException(file + " is not a spool");
            }
        }
        return found;
    }

    private static void records(Path file, ByteBuffer in, Found found) {
        while (in.remaining() >= FRAME) {
            int start = in.position();
            int length = in.getInt();
            int sum = in.getInt();
            if (length == 0) {
                // The rest of the file was never written to.
                return;
            }
            if (length < 0 || length > RECORD_MOST) {
                found.damage().add(file + ": no record at byte " + start);
                return;
            }
            if (in.remaining() < length) {
                return;
            }
            byte[] record = new byte[length];
            in.get(record);
            in.position(Math.min(in.limit(), (in.position() + ALIGNED - 1) / ALIGNED * ALIGNED));
            CRC32C check = new CRC32C();
            check.update(record);
            if ((int) check.getValue() != sum) {
                found.damage().add(file + ": a record with a wrong sum at byte " + start);
                return;
            }
            ByteBuffer r = ByteBuffer.wrap(record);
            byte type = r.get();
            if (type == INTENT) {
                Entry draft = Entry.of(java.util.Arrays.copyOfRange(record, 1, length));
                found.intents().put(draft.job(), draft);
            } else {
                long job = r.getLong();
                Entry draft = found.intents().get(job);
                if (draft != null) {
                    found.ended().put(job, ended(draft, r.getDouble(), type == ANSWERED));
                }
            }
        }
    }

    /** The entry of a draft whose end is known. */
    static Entry ended(Entry draft, double at, boolean answered) {
        // Danger: work for a client that has left is nobody's: it is shown apart, and never billed.
        return new Entry(
                draft.ref(),
                Entry.Kind.JOB,
                at,
                draft.member(),
                draft.jobClass(),
                draft.request(),
                draft.key(),
                answered ? draft.end() : Ending.LEFT,
                answered ? draft.work() : 0,
                draft.estimate(),
                answered ? draft.spare() : draft.spare() + draft.work(),
                draft.attempts(),
                draft.job(),
                null,
                null,
                null);
    }
}
