package nettlewick.net;

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

/**
 * Which sim runners are out by hand, kept in a file that the processes of an upgrade share. Lives on one
 * thread of each process.
 */
final class DisabledEndpointStore {
    private static final ComponentLogger LOG = ComponentLogger.of("bans");
    /** How long a return is remembered: a process that starts meanwhile has to know of a cold runner. */
    private static final double RETURN_KEPT = 60_000;

    private static final double LATEST = 1e15;

    /** A sim runner that was taken out, or put back, at that time in milliseconds. */
    record DisabledEndpoint(String runner, boolean out, double since) {}

    private final Path file;
    private Map<String, DisabledEndpoint> bans = new LinkedHashMap<>();
    private Object seen;

    /** Keeps bans in this file; null keeps them in memory alone. */
    DisabledEndpointStore(Path file) {
        this.file = file;
    }

    /** Whether this runner is out. */
    boolean out(String endpoint) {
        return bans.containsKey(endpoint) && bans.get(endpoint).out();
    }

    /**
     * Takes a runner out or puts it back, on the file first; what is so already stays. What has changed comes
     * back. Where the file cannot be written, nothing is changed.
     */
    List<DisabledEndpoint> set(String endpoint, boolean out, double now) throws IOException {
        Map<String, DisabledEndpoint> before = new LinkedHashMap<>(bans);
        if (file == null) {
            change(endpoint, out, now);
            return since(before);
        }
        // Danger: both processes of an upgrade may be called at once; the later would undo the earlier.
        try (FileChannel channel =
                        FileChannel.open(beside(".lock"), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
                FileLock lock = channel.lock()) {
            read();
            change(endpoint, out, now);
            Path next = Files.writeString(beside(".new"), text());
            Files.move(next, file, StandardCopyOption.ATOMIC_MOVE);
        } catch (IOException e) {
            bans = before;
            throw e;
        }
        seen = stamp();
        return since(before);
    }

    private List<DisabledEndpoint> since(Map<String, DisabledEndpoint> before) {
        return bans.values().stream()
                .filter(b -> !b.equals(before.get(b.runner())))
                .toList();
    }

    private void change(String endpoint, boolean out, double now) {
        bans.values().removeIf(b -> !b.out() && now - b.since() > RETURN_KEPT);
        if (out != out(endpoint)) {
            bans.put(endpoint, new DisabledEndpoint(endpoint, out, now));
        }
    }

    /** What has changed on the file since this was asked last; everything at first. */
    List<DisabledEndpoint> news() {
        if (file == null || Objects.equals(seen, stamp())) {
            return List.of();
        }
        Map<String, DisabledEndpoint> before = bans;
        seen = stamp();
        read();
        return since(before);
    }

    private Path beside(String end) {
        return file.resolveSibling(file.getFileName() + end);
    }

    private Object stamp() {
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
            Map<String, DisabledEndpoint> read = new LinkedHashMap<>();
            List<JsonFields> rows =
                    JsonFields.parse("the bans", Files.readString(file)).parts("bans");
            for (JsonFields row : rows) {
                DisabledEndpoint ban =
                        new DisabledEndpoint(row.text("runner"), row.flag("out"), row.number("since", 0, LATEST));
                read.put(ban.runner(), ban);
            }
            bans = read;
        } catch (NoSuchFileException e) {
            // nothing was ever out
        } catch (IOException | JsonFields.InvalidFieldException e) {
            LOG.warning("bans-unreadable", "the bans held stay: " + e.getMessage());
        }
    }

    private String text() {
        JsonArray rows = new JsonArray();
        for (DisabledEndpoint ban : bans.values()) {
            JsonObject row = new JsonObject();
            row.addProperty("runner", ban.runner());
            row.addProperty("out", ban.out());
            row.addProperty("since", ban.since());
            rows.add(row);
        }
        JsonObject all = new JsonObject();
        all.add("bans", rows);
        return all.toString();
    }
}
