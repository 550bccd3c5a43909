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
 * Writes batches to files. A batch is written to a temporary file, synced and renamed; its manifest is then written the
 * same way. A batch is complete once its manifest exists, so readers must ignore data files without one.
 */
final class FileTarget implements ExportTarget {
    private final Path folder;
    private final FaultInjection faults;

    FileTarget(Path folder, FaultInjection faults) {
        this.folder = folder;
        this.faults = faults;
    }

    @Override
    public void deliver(OutgoingBatch batch) throws IOException {
        Files.createDirectories(folder);
        String name = String.format(
                "%s-%s-%08d", batch.dispatcher().replaceAll("[^A-Za-z0-9._-]", "_"), batch.export(), batch.number());
        String dataFile = name + (batch.csv() ? ".csv" : ".jsonl");
        JsonObject manifest = new JsonObject();
        manifest.addProperty("dispatcher", batch.dispatcher());
        manifest.addProperty("export", batch.export());
        manifest.addProperty("number", batch.number());
        manifest.addProperty("file", dataFile);
        manifest.addProperty("entries", batch.entries());
        manifest.addProperty("bytes", batch.content().length);
        manifest.addProperty("sha256", batch.sha256());
        put(dataFile, batch.content());
        put(name + ".manifest.json", (manifest + "\n").getBytes(StandardCharsets.UTF_8));
    }

    private void put(String name, byte[] bytes) throws IOException {
        Path file = folder.resolve(name);
        Path temporary = folder.resolve(name + ".part");
        faults.at("file-write");
        try (FileChannel channel = FileChannel.open(
                temporary, StandardOpenOption.CREATE, StandardOpenOption.TRUNCATE_EXISTING, StandardOpenOption.WRITE)) {
            ByteBuffer remaining = ByteBuffer.wrap(bytes);
            while (remaining.hasRemaining()) {
                channel.write(remaining);
            }
            faults.at("file-sync");
            channel.force(true);
        }
        faults.at("file-rename");
        Files.move(temporary, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        faults.at("folder-sync");
        try (FileChannel channel = FileChannel.open(folder, StandardOpenOption.READ)) {
            channel.force(true);
        }
    }
}
