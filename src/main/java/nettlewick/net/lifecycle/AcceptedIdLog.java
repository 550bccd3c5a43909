package nettlewick.net.lifecycle;

import java.io.IOException;
import java.io.RandomAccessFile;
import java.io.UncheckedIOException;
import java.lang.invoke.VarHandle;
import java.nio.ByteBuffer;
import java.nio.LongBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.nio.file.attribute.FileTime;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import nettlewick.log.ComponentLogger;

/**
 * The ids of requests that the processes of one dispatcher have accepted, as hashes in one file per process in a shared
 * folder. Each process writes its own file and reads the others', so that of two processes that get the same id at most
 * one accepts it. Confined to one thread.
 */
public final class AcceptedIdLog {
    private static final ComponentLogger LOG = ComponentLogger.of("node");
    private static final String SUFFIX = ".ids";
    /** Covers a few minutes of traffic; the newest id replaces the oldest. */
    static final int SLOTS = 10_000;

    /** How long the file of a process that has ended is kept. */
    private static final long RETENTION_MILLIS = 600_000;
    /** A change of the folder this recently may not be the last one with the same time stamp. */
    private static final long TIME_STAMP_GRANULARITY_MILLIS = 100;

    private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private final Path folder;
    private final String prefix;
    private final Path ownFile;
    private final FileChannel ownChannel;
    private final Map<String, LongBuffer> otherLogs = new HashMap<>();
    /** The folder's time stamp when it was last read; null if it is to be read again. */
    private FileTime folderReadAt;

    private long claimedCount;

    /**
     * Creates the file of this process.
     *
     * @param prefix the beginning of the file names of this dispatcher's processes
     * @param processName distinguishes this process from the others; begins with the prefix
     */
    AcceptedIdLog(Path folder, String prefix, String processName) throws IOException {
        this.folder = folder;
        this.prefix = prefix;
        ownFile = folder.resolve(processName + SUFFIX);
        try (RandomAccessFile file = new RandomAccessFile(ownFile.toFile(), "rw")) {
            file.setLength((long) SLOTS * Long.BYTES);
        }
        ownChannel = FileChannel.open(ownFile, StandardOpenOption.WRITE);
    }

    /**
     * Records that this process accepts the request with this id.
     *
     * @return false if another process has recorded it, or if that cannot be found out
     */
    public boolean claim(String id) {
        long hash = hashOf(id);
        try {
            // Written before the others are read: if two processes get the id at once, each sees the other's.
            ownChannel.write(ByteBuffer.allocate(Long.BYTES).putLong(hash).flip(), claimedCount % SLOTS * Long.BYTES);
            claimedCount++;
            VarHandle.fullFence();
            readFolderIfChanged();
        } catch (IOException | UncheckedIOException e) {
            LOG.warning("ids-not-shared", "cannot share accepted ids with other processes: " + e.getMessage());
            return otherLogs.isEmpty();
        }
        return otherLogs.values().stream().noneMatch(log -> contains(log, hash));
    }

    private static boolean contains(LongBuffer log, long hash) {
        for (int slot = 0; slot < SLOTS; slot++) {
            if (log.get(slot) == hash) {
                return true;
            }
        }
        return false;
    }

    private void readFolderIfChanged() throws IOException {
        FileTime changedAt = Files.getLastModifiedTime(folder);
        if (changedAt.equals(folderReadAt)) {
            return;
        }
        long now = System.currentTimeMillis();
        readFolder(now);
        boolean isSettled = now - changedAt.toMillis() > TIME_STAMP_GRANULARITY_MILLIS;
        folderReadAt = isSettled ? changedAt : null;
    }

    private void readFolder(long now) throws IOException {
        Set<String> found = new HashSet<>();
        try (DirectoryStream<Path> files = Files.newDirectoryStream(folder, prefix + "*" + SUFFIX)) {
            for (Path file : files) {
                if (!file.equals(ownFile) && !deleteIfExpired(file, now)) {
                    found.add(file.getFileName().toString());
                    openLog(file);
                }
            }
        }
        otherLogs.keySet().retainAll(found);
    }

    private void openLog(Path file) throws IOException {
        String name = file.getFileName().toString();
        if (otherLogs.containsKey(name)) {
            return;
        }
        try (FileChannel channel = FileChannel.open(file, StandardOpenOption.READ)) {
            if (channel.size() >= (long) SLOTS * Long.BYTES) {
                otherLogs.put(
                        name,
                        channel.map(FileChannel.MapMode.READ_ONLY, 0, (long) SLOTS * Long.BYTES)
                                .asLongBuffer());
            }
        } catch (NoSuchFileException e) {
            // Another process has deleted it.
        }
    }

    private boolean deleteIfExpired(Path file, long now) throws IOException {
        String name = file.getFileName().toString();
        Path aliveFile = folder.resolve(name.substring(0, name.length() - SUFFIX.length()) + HotRestart.ALIVE_SUFFIX);
        try {
            boolean isExpired =
                    !Files.exists(aliveFile) && Files.getLastModifiedTime(file).toMillis() < now - RETENTION_MILLIS;
            return isExpired && Files.deleteIfExists(file);
        } catch (NoSuchFileException e) {
            return true;
        }
    }

    /** FNV-1a; never 0, which marks an empty slot. */
    private static long hashOf(String id) {
        long hash = FNV_OFFSET_BASIS;
        for (int i = 0; i < id.length(); i++) {
            hash = (hash ^ id.charAt(i)) * FNV_PRIME;
        }
        return hash == 0 ? 1 : hash;
    }

    /** Closes the file of this process and leaves it to the others. */
    void close() throws IOException {
        ownChannel.close();
    }
}
