package nettlewick.ledger;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import nettlewick.sqlite.StoreException;

/**
 * Brings this dispatcher's own entries to one target, each exactly once: batches are cut with their cursor,
 * delivered in order, and marked as delivered after a yes. Cut off anywhere it goes on where it was.
 */
public final class Exporter {
    /** Waits between tries. */
    interface Pause {
        void sleep(double time) throws InterruptedException;
    }

    /** What one round did; {@code fault} is null, or why it ended early. */
    public record Report(long batches, long entries, int tries, String fault) {}

    /** Another process is at it: what there is goes out by its hand. */
    static final Report BUSY = new Report(0, 0, 0, "another process exports there now");

    private final Store store;
    private final ExportSettings settings;
    private final ExportTarget target;
    private final Backoff backoff;
    private final Pause pause;
    private final FaultInjection faults;

    Exporter(
            Store store,
            ExportSettings settings,
            ExportTarget target,
            RandomGenerator random,
            Pause pause,
            FaultInjection faults) {
        this.store = store;
        this.settings = settings;
        this.target = target;
        this.pause = pause;
        this.faults = faults;
        backoff = new Backoff(settings.firstPauseMillis(), settings.maxPauseMillis(), random);
    }

    /** The target that the settings name. */
    static ExportTarget target(ExportSettings settings, FaultInjection faults) {
        return settings.folder() != null
                ? new FileTarget(settings.folder(), faults)
                : new HttpTarget(settings.url(), settings.timeoutMillis(), faults);
    }

    /** A round, unless another process is at one. */
    Report runRound() throws StoreException, InterruptedException {
        Path file = store.folder().resolve("export-" + settings.name() + ".lock");
        try (FileChannel channel = FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
                FileLock lock = channel.tryLock()) {
            return lock == null ? BUSY : deliverPending();
        } catch (OverlappingFileLockException e) {
            return BUSY;
        } catch (IOException e) {
            return new Report(0, 0, 0, "the folder of the ledger cannot be written: " + e);
        }
    }

    /** Delivers all that there is, or until a batch could not be delivered in its tries. */
    private Report deliverPending() throws StoreException, InterruptedException {
        long batches = 0;
        long entries = 0;
        int tries = 0;
        while (true) {
            Store.Batch batch = store.pendingBatch(settings.name());
            if (batch == null) {
                batch = store.cutBatch(settings.name(), settings.maxBatchEntries());
            }
            if (batch == null) {
                return new Report(batches, entries, tries, null);
            }
            ExportTarget.OutgoingBatch outgoing = render(store, batch, settings.csv());
            backoff.reset();
            while (true) {
                tries++;
                try {
                    faults.at("deliver");
                    target.deliver(outgoing);
                    faults.at("acknowledged");
                    break;
                } catch (ExportTarget.BatchRejectedException e) {
                    return new Report(batches, entries, tries, e.getMessage());
                } catch (IOException e) {
                    if (backoff.failures() + 1 >= settings.maxAttempts()) {
                        return new Report(
                                batches,
                                entries,
                                tries,
                                "batch " + batch.number()
                                        + " was not taken in "
                                        + settings.maxAttempts() + " tries: " + e);
                    }
                    pause.sleep(backoff.nextPauseMillis());
                }
            }
            store.markDelivered(batch);
            batches++;
            entries += batch.entries();
        }
    }

    /** A batch as it goes out, made from its entries; the same each time. */
    static ExportTarget.OutgoingBatch render(Store store, Store.Batch batch, boolean csv) throws StoreException {
        List<Entry> entries = new ArrayList<>();
        for (Store.Range range : batch.ranges()) {
            ChainOrigin origin = new ChainOrigin(store.dispatcher(), range.incarnation());
            for (Store.Row row : store.rows(origin, range.from(), range.to())) {
                if (row.bytes() == null) {
                    throw new StoreException(
                            "batch " + batch.number() + " holds entries that are archived; " + "restore them first",
                            null,
                            false);
                }
                entries.add(Entry.fromBytes(row.bytes()));
            }
        }
        byte[] bytes = BatchCodec.render(entries, csv);
        return new ExportTarget.OutgoingBatch(
                store.dispatcher(),
                batch.export(),
                batch.number(),
                csv,
                entries.size(),
                bytes,
                BatchCodec.sha256(bytes));
    }
}
