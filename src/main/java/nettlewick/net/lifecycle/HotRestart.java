package nettlewick.net.lifecycle;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.charset.StandardCharsets;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;

/**
 * Finds the other processes of the same dispatcher by files in a shared folder. Each process holds a lock on its own
 * file; the kernel releases it however the process ends. Safe for any thread.
 */
public final class HotRestart implements AutoCloseable {
    static final String ALIVE_SUFFIX = ".alive";
    private static final byte[] IDLE_MARK = "nothing to save\n".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] SERVING_MARK = "takes clients\n".getBytes(StandardCharsets.US_ASCII);

    private final Path folder;
    private final String prefix;
    private final String ownName;
    private final FileChannel channel;
    private final AcceptedIdLog acceptedIds;

    /** Another live process of this dispatcher. */
    private record OtherProcess(String name, boolean serving, boolean idle) {}

    /**
     * Registers this process.
     *
     * @param folder the folder that the processes share
     * @param dispatcher distinguishes dispatchers that share the folder
     * @param startedAt Unix time in milliseconds; of two processes, the later one is the successor
     * @throws UncheckedIOException if the file cannot be written
     */
    public HotRestart(Path folder, String dispatcher, long startedAt) {
        this.folder = folder;
        prefix = dispatcher.replaceAll("[^A-Za-z0-9.]", "_") + '-';
        String processName = String.format(
                "%s%013d-%d", prefix, startedAt, ProcessHandle.current().pid());
        ownName = processName + ALIVE_SUFFIX;
        try {
            // Locked before it gets its name: an unlocked file would be taken for that of a dead process and deleted.
            Path unnamedFile = Files.createTempFile(folder, "nettlewick", ".new");
            channel = FileChannel.open(unnamedFile, StandardOpenOption.WRITE);
            channel.lock();
            Files.move(unnamedFile, folder.resolve(ownName), StandardCopyOption.ATOMIC_MOVE);
            acceptedIds = new AcceptedIdLog(folder, prefix, processName);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** The path of a file that all processes of this dispatcher share. */
    public Path sharedFile(String name) {
        return folder.resolve(prefix + name);
    }

    /** The ids of the requests that the processes of this dispatcher have accepted; for one thread. */
    public AcceptedIdLog acceptedIds() {
        return acceptedIds;
    }

    /** Announces that this process accepts clients. */
    public void markServing() {
        try {
            channel.write(ByteBuffer.wrap(SERVING_MARK), 0);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Announces that waiting would save no work of this process. */
    public void markIdle() {
        try {
            channel.write(ByteBuffer.wrap(IDLE_MARK), SERVING_MARK.length);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Whether a process that started earlier accepts clients and has work that waiting may save. */
    public boolean isPredecessorBusy() {
        return otherProcesses().stream()
                .anyMatch(other ->
                        other.serving() && !other.idle() && other.name().compareTo(ownName) < 0);
    }

    /**
     * Start time of the latest successor that does not accept clients yet, in Unix milliseconds; NaN if there is none.
     */
    public double successorStartedAt() {
        return otherProcesses().stream()
                .filter(other -> !other.serving() && other.name().compareTo(ownName) > 0)
                .mapToDouble(other -> startedAt(other.name()))
                .max()
                .orElse(Double.NaN);
    }

    /** When this process started, in Unix milliseconds. */
    public double startedAt() {
        return startedAt(ownName);
    }

    private double startedAt(String name) {
        try {
            return Double.parseDouble(name.substring(prefix.length(), name.indexOf('-', prefix.length())));
        } catch (NumberFormatException | IndexOutOfBoundsException e) {
            return Double.NaN;
        }
    }

    /** Whether another process of this dispatcher is alive. */
    public boolean hasOtherProcess() {
        return !otherProcesses().isEmpty();
    }

    /** Whether a process that started later is alive and accepts clients. */
    public boolean hasServingSuccessor() {
        return otherProcesses().stream()
                .anyMatch(other -> other.serving() && other.name().compareTo(ownName) > 0);
    }

    private List<OtherProcess> otherProcesses() {
        List<OtherProcess> liveProcesses = new ArrayList<>();
        try (DirectoryStream<Path> files = Files.newDirectoryStream(folder, prefix + "*" + ALIVE_SUFFIX)) {
            for (Path file : files) {
                String name = file.getFileName().toString();
                if (!name.equals(ownName)) {
                    addIfAlive(file, name, liveProcesses);
                }
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return liveProcesses;
    }

    private static void addIfAlive(Path file, String name, List<OtherProcess> liveProcesses) throws IOException {
        try (FileChannel other = FileChannel.open(file, StandardOpenOption.READ, StandardOpenOption.WRITE)) {
            if (isLocked(other)) {
                liveProcesses.add(new OtherProcess(
                        name, other.size() >= SERVING_MARK.length, other.size() > SERVING_MARK.length));
            } else {
                Files.deleteIfExists(file);
            }
        } catch (NoSuchFileException e) {
            // The process has just ended.
        }
    }

    private static boolean isLocked(FileChannel other) throws IOException {
        try (FileLock lock = other.tryLock()) {
            return lock == null;
        } catch (OverlappingFileLockException e) {
            return true;
        }
    }

    @Override
    public void close() {
        try {
            Files.deleteIfExists(folder.resolve(ownName));
            channel.close();
            acceptedIds.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
