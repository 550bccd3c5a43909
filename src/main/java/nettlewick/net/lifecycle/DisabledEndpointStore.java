package nettlewick.net.lifecycle;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.nio.file.attribute.BasicFileAttributes;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import nettlewick.log.ComponentLogger;
import nettlewick.net.format.JsonFields;

/**
 * Which sim runners are out by hand, kept in a file that the processes of an upgrade share. Lives on one
 * thread of each process.
 */
public final class DisabledEndpointStore {
    private static final ComponentLogger LOG = ComponentLogger.of("bans");
    /** How long a return is remembered: a process that starts meanwhile has to know of a cold runner. */
    private static final double ENABLED_ENTRY_RETENTION_MILLIS = 60_000;

    private static final double MAX_TIMESTAMP_MILLIS = 1e15;

    /** A sim runner that was taken out, or put back, at that time in milliseconds. */
    public record Entry(String endpoint, boolean disabled, double sinceMillis) {}

    private final Path file;
    private Map<String, Entry> entries = new LinkedHashMap<>();
    private Object lastStamp;

    /** Keeps bans in this file; null keeps them in memory alone. */
    public DisabledEndpointStore(Path file) {
        this.file = file;
    }

    /** Whether this runner is out. */
    public boolean isDisabled(String endpoint) {
        return entries.containsKey(endpoint) && entries.get(endpoint).disabled();
    }

    /**
     * Takes a runner out or puts it back, on the file first; what is so already stays. What has changed comes
     * back. Where the file cannot be written, nothing is changed.
     */
    public List<Entry> setDisabled(String endpoint, boolean disabled, double now) throws IOException {
        Map<String, Entry> before = new LinkedHashMap<>(entries);
        if (file == null) {
            change(endpoint, disabled, now);
            return changedSince(before);
        }
        // Danger: both processes of an upgrade may be called at once; the later would undo the earlier.
        try (FileChannel channel =
                        FileChannel.open(sibling(".lock"), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
                FileLock lock = channel.lock()) {
            read();
            change(endpoint, disabled, now);
            Path next = Files.writeString(sibling(".new"), toJson());
            Files.move(next, file, StandardCopyOption.ATOMIC_MOVE);
        } catch (IOException e) {
            entries = before;
            throw e;
        }
        lastStamp = fileStamp();
        return changedSince(before);
    }

    private List<Entry> changedSince(Map<String, Entry> before) {
        return entries.values().stream()
                .filter(entry -> !entry.equals(before.get(entry.endpoint())))
                .toList();
    }

    private void change(String endpoint, boolean disabled, double now) {
        entries.values()
                .removeIf(entry -> !entry.disabled() && now - entry.sinceMillis() > ENABLED_ENTRY_RETENTION_MILLIS);
        if (disabled != isDisabled(endpoint)) {
            entries.put(endpoint, new Entry(endpoint, disabled, now));
        }
    }

    /** What has changed on the file since this was asked last; everything at first. */
    public List<Entry> readChanges() {
        if (file == null || Objects.equals(lastStamp, fileStamp())) {
            return List.of();
        }
        Map<String, Entry> before = entries;
        lastStamp = fileStamp();
        read();
        return changedSince(before);
    }

    private Path sibling(String suffix) {
        return file.resolveSibling(file.getFileName() + suffix);
    }

    private Object fileStamp() {
        try {
            BasicFileAttributes now = Files.readAttributes(file, BasicFileAttributes.class);
            return List.of(String.valueOf(now.fileKey()), now.lastModifiedTime(), now.size());
        } catch (IOException e) {
            return "none";
        }
    }

    /** Danger: a file that cannot be read must not bring runners back that are being repaired. */
    private void read() {
        try {
            Map<String, Entry> read = new LinkedHashMap<>();
            List<JsonFields> rows =
                    JsonFields.parse("the bans", Files.readString(file)).objects("bans");
            for (JsonFields row : rows) {
                Entry entry =
                        new Entry(row.text("runner"), row.flag("out"), row.number("since", 0, MAX_TIMESTAMP_MILLIS));
                read.put(entry.endpoint(), entry);
            }
            entries = read;
        } catch (NoSuchFileException e) {
            // nothing was ever out
        } catch (IOException | JsonFields.InvalidFieldException e) {
            LOG.warning("bans-unreadable", "the bans held stay: " + e.getMessage());
        }
    }

    private String toJson() {
        JsonArray rows = new JsonArray();
        for (Entry entry : entries.values()) {
            JsonObject row = new JsonObject();
            row.addProperty("runner", entry.endpoint());
            row.addProperty("out", entry.disabled());
            row.addProperty("since", entry.sinceMillis());
            rows.add(row);
        }
        JsonObject all = new JsonObject();
        all.add("bans", rows);
        return all.toString();
    }
}
