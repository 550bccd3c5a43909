package nettlewick.ledger;

import com.google.gson.JsonObject;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;

/**
 * Batches as files: each is written beside its place, synced and renamed, then a manifest of its own is made
 * the
 * same way. A batch is there when its manifest is; a file without one is not to be read yet.
 */
final class FileTarget implements Target {
    private final Path folder;
    private final FaultInjection faults;

    FileTarget(Path folder, FaultInjection faults) {
        this.folder = folder;
        this.faults = faults;
    }

    @Override
    public void deliver(Parcel p) throws IOException {
        Files.createDirectories(folder);
        String name =
                String.format("%s-%s-%08d", p.dispatcher().replaceAll("[^A-Za-z0-9._-]", "_"), p.export(), p.number());
        String data = name + (p.csv() ? ".csv" : ".jsonl");
        JsonObject manifest = new JsonObject();
        manifest.addProperty("dispatcher", p.dispatcher());
        manifest.addProperty("export", p.export());
        manifest.addProperty("number", p.number());
        manifest.addProperty("file", data);
        manifest.addProperty("entries", p.entries());
        manifest.addProperty("bytes", p.bytes().length);
        manifest.addProperty("sha256", p.sum());
        put(data, p.bytes());
        put(name + ".manifest.json", (manifest + "\n").getBytes(StandardCharsets.UTF_8));
    }

    private void put(String name, byte[] bytes) throws IOException {
        Path file = folder.resolve(name);
        Path beside = folder.resolve(name + ".part");
        faults.at("file-write");
        try (FileChannel channel = FileChannel.open(
                beside, StandardOpenOption.CREATE, StandardOpenOption.TRUNCATE_EXISTING, StandardOpenOption.WRITE)) {
            ByteBuffer rest = ByteBuffer.wrap(bytes);
            while (rest.hasRemaining()) {
                channel.write(rest);
            }
            faults.at("file-sync");
            channel.force(true);
        }
        faults.at("file-rename");
        Files.move(beside, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        faults.at("folder-sync");
        try (FileChannel channel = FileChannel.open(folder, StandardOpenOption.READ)) {
            channel.force(true);
        }
    }
}
