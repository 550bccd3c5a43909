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
 * The endpoints that operators have disabled, stored in a file that both processes of a hot restart share. Used by one
 * thread of each process.
 */
public final class DisabledEndpointStore {
    private static final ComponentLogger LOG = ComponentLogger.of("bans");
    /**
     * How long the entry of an enabled endpoint is kept, so that a process that starts in the meantime applies its slow
     * start.
     */
    private static final double ENABLED_ENTRY_RETENTION_MILLIS = 60_000;

    private static final double MAX_TIMESTAMP_MILLIS = 1e15;

    /** An endpoint that was disabled or enabled, and when, in milliseconds. */
    public record Entry(String endpoint, boolean disabled, double sinceMillis) {}

    private final Path file;
    private Map<String, Entry> entries = new LinkedHashMap<>();
    private Object lastFileStamp;

    /** Creates a store in this file; null keeps the entries in memory only. */
    public DisabledEndpointStore(Path file) {
        this.file = file;
    }

    /** Whether this endpoint is disabled. */
    public boolean isDisabled(String endpoint) {
        return entries.containsKey(endpoint) && entries.get(endpoint).disabled();
    }

    /**
     * Disables or enables an endpoint, in the file first; returns what has changed.
     *
     * @throws IOException if the file cannot be written; nothing has changed then
     */
    public List<Entry> setDisabled(String endpoint, boolean disabled, double now) throws IOException {
        Map<String, Entry> before = new LinkedHashMap<>(entries);
        if (file == null) {
            change(endpoint, disabled, now);
            return changedSince(before);
        }
        // Operators may call both processes of a hot restart at once; without the lock, the later change would undo the
        // earlier one.
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
        lastFileStamp = fileStamp();
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

    /** Returns what has changed in the file since the last call; all entries the first time. */
    public List<Entry> readChanges() {
        if (file == null || Objects.equals(lastFileStamp, fileStamp())) {
            return List.of();
        }
        Map<String, Entry> before = entries;
        lastFileStamp = fileStamp();
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

    /** Reads the file. If it is unreadable, the entries in memory stay: endpoints under repair must not be enabled. */
    private void read() {
        try {
            Map<String, Entry> read = new LinkedHashMap<>();
            List<JsonFields> rows = JsonFields.parse("the file of disabled endpoints", Files.readString(file))
                    .objects("bans");
            for (JsonFields row : rows) {
                Entry entry =
                        new Entry(row.text("runner"), row.flag("out"), row.number("since", 0, MAX_TIMESTAMP_MILLIS));
                read.put(entry.endpoint(), entry);
            }
            entries = read;
        } catch (NoSuchFileException e) {
            // No endpoint was ever disabled.
        } catch (IOException | JsonFields.InvalidFieldException e) {
            LOG.warning(
                    "bans-unreadable",
                    "cannot read the disabled endpoints; keeping those in memory: " + e.getMessage());
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
