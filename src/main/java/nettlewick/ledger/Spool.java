package nettlewick.ledger;

import java.io.IOException;
import java.nio.ByteBuffer;
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
import nettlewick.core.Books.Ending;

/**
 * Intents and answers of one life before they are in the store: append-only files, each record with its
 * length
 * and CRC-32C. A lock file tells whether the life's process lives. One thread writes; any may tell of entered
 * jobs.
 */
final class Spool implements AutoCloseable {
    private static final int MAGIC = 0x4e575331;
    private static final int FRAME = 8;
    private static final int RECORD_MOST = 1 << 20;
    private static final long SEGMENT_MOST = 8 << 20;
    private static final byte INTENT = 1;
    private static final byte ANSWERED = 2;
    private static final byte LEFT = 3;
    private static final Pattern NAME = Pattern.compile("spool-(\\d+)-(\\d{6})\\.log");

    /** Where intents were written; any thread may tell it. */
    interface Place {
        /** So many of its jobs have committed entries. */
        void entered(int jobs);
    }

    /** A file of the spool and how many of its jobs have no committed entry yet. */
    private final class Segment implements Place {
        final Path file;
        final FileChannel channel;
        long size;
        int open;

        Segment(Path file, FileChannel channel) {
            this.file = file;
            this.channel = channel;
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
    record Found(Origin origin, long head, Map<Long, Entry> intents, Map<Long, Entry> ended, List<Path> files,
            List<String> damage) {
    }

    private final Path folder;
    private final Origin origin;
    private final Faults faults;
    private final FileChannel lock;
    private final Deque<Segment> segments = new ArrayDeque<>();
    private int next = 1;
    private ByteBuffer buffer = ByteBuffer.allocate(64 * 1024);
    private int intents;

    /** Makes a life's spool and holds its lock. */
    Spool(Path folder, Origin origin, Faults faults) throws IOException {
        this.folder = folder;
        this.origin = origin;
        this.faults = faults;
        lock = hold(folder, origin.life());
    }

    private static Path lockFile(Path folder, long life) {
        return folder.resolve("life-" + life + ".lock");
    }

    private static FileChannel hold(Path folder, long life) throws IOException {
        FileChannel channel = FileChannel.open(lockFile(folder, life), StandardOpenOption.CREATE,
                StandardOpenOption.WRITE);
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

    /** Makes the first file, so that the first job need not wait for it. */
    void begin() throws IOException {
        faults.at("spool-write");
        segment(0);
    }

    /** A job is let go as soon as this is written: {@code draft} with its number in the life. */
    void intent(Entry draft) {
        byte[] bytes = draft.bytes();
        frame(1 + bytes.length).put(INTENT).put(bytes);
        seal();
        intents++;
    }

    /** What became of a job that was let go. */
    void ended(long job, double at, boolean answered) {
        frame(1 + 8 + 8).put(answered ? ANSWERED : LEFT).putLong(job).putDouble(at);
        seal();
    }

    private int sealFrom;

    private ByteBuffer frame(int length) {
        if (buffer.remaining() < length + FRAME) {
            ByteBuffer larger = ByteBuffer.allocate(Math.max(buffer.capacity() * 2, buffer.position()
                    + length + FRAME));
            buffer = larger.put(buffer.flip());
        }
        sealFrom = buffer.position() + FRAME;
        return buffer.putInt(length).putInt(0);
    }

    private void seal() {
        CRC32C sum = new CRC32C();
        sum.update(buffer.array(), sealFrom, buffer.position() - sealFrom);
        buffer.putInt(sealFrom - 4, (int) sum.getValue());
    }

    /**
     * Writes what was added, and forces it if asked. {@code head} is the last number that the store has
     * committed for this life. After a failure what was added is dropped, and the next write begins a new
     * file.
     */
    void write(boolean force, long head) throws IOException {
        int jobs = intents;
        intents = 0;
        buffer.flip();
        try {
            if (!buffer.hasRemaining()) {
                return;
            }
            Segment to = segment(head);
            faults.at("spool-write");
            while (buffer.hasRemaining()) {
                to.size += to.channel.write(buffer);
            }
            if (force) {
                faults.at("spool-force");
                to.channel.force(false);
            }
            synchronized (this) {
                to.open += jobs;
            }
            wrote = to;
        } catch (IOException e) {
            abandonSegment();
            throw e;
        } finally {
            buffer.clear();
        }
    }

    private Segment wrote;

    /** The file that the last write went to. */
    Place place() {
        return wrote;
    }

    Origin origin() {
        return origin;
    }

    private Segment segment(long head) throws IOException {
        Segment last = current;
        if (last != null && last.size < SEGMENT_MOST) {
            return last;
        }
        Path file = folder.resolve(String.format("spool-%d-%06d.log", origin.life(), next++));
        FileChannel channel = FileChannel.open(file, StandardOpenOption.CREATE_NEW, StandardOpenOption.WRITE);
        byte[] name = origin.dispatcher().getBytes(StandardCharsets.UTF_8);
        ByteBuffer start = ByteBuffer.allocate(4 + 4 + name.length + 8 + 8).putInt(MAGIC).putInt(name.length)
                .put(name).putLong(origin.life()).putLong(head).flip();
        Segment made = new Segment(file, channel);
        while (start.hasRemaining()) {
            made.size += channel.write(start);
        }
        channel.force(true);
        synchronized (this) {
            segments.add(made);
            current = made;
            sweep();
        }
        return made;
    }

    private Segment current;

    private synchronized void abandonSegment() {
        current = null;
    }

    /**
     * Danger: a file is deleted only when all of its jobs are in the store; until then it is all that is
     * left.
     */
    private void sweep() {
        segments.removeIf(s -> {
            if (s == current || s.open > 0) {
                return false;
            }
            try {
                s.channel.close();
                Files.deleteIfExists(s.file);
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
        sweep();
        try {
            for (Segment s : segments) {
                s.channel.close();
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
                Matcher m = Pattern.compile("(?:spool|life)-(\\d+)[-.].*").matcher(file.getFileName()
                        .toString());
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
        try (DirectoryStream<Path> all = Files.newDirectoryStream(folder, "spool-" + life + "-*.log")) {
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
                Origin origin = new Origin(new String(name, StandardCharsets.UTF_8), in.getLong());
                long head = in.getLong();
                found = found != null ? found : new Found(origin, head, new LinkedHashMap<>(),
                        new LinkedHashMap<>(),
                        files, new ArrayList<>());
                records(file, in, found);
                return found;
            }
        }
        // Danger: cut off in its head it holds no job; anything else is put aside, not deleted.
        if (in.limit() >= 4 && in.getInt(0) != MAGIC) {
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
            if (length <= 0 || length > RECORD_MOST) {
                found.damage().add(file + ": no record at byte " + start);
                return;
            }
            if (in.remaining() < length) {
                return;
            }
            byte[] record = new byte[length];
            in.get(record);
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
        return new Entry(draft.ref(), Entry.Kind.JOB, at, draft.member(), draft.jobClass(), draft.request(),
                draft.key(), answered ? draft.end() : Ending.LEFT, answered ? draft.work() : 0,
                        draft.estimate(),
                answered ? draft.spare() : draft.spare() + draft.work(), draft.attempts(), draft.job(), null,
                        null,
                null);
    }
}
