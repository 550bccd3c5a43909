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
 * Delivers this dispatcher's own entries to one target, each exactly once: a batch and the export's cursor are stored
 * in one transaction, batches are delivered in order and marked as delivered once the target accepts them. An
 * interrupted export resumes where it stopped.
 */
public final class Exporter {
    /** Waits between attempts. */
    interface Pause {
        void sleep(double time) throws InterruptedException;
    }

    /** Result of one round; {@code fault} says why it ended early, or is null. */
    public record Report(long batches, long entries, int tries, String fault) {}

    /** Another process is running this export, and delivers the entries. */
    static final Report BUSY = new Report(0, 0, 0, "another process is running this export");

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

    /** Creates the target of the settings. */
    static ExportTarget target(ExportSettings settings, FaultInjection faults) {
        return settings.folder() != null
                ? new FileTarget(settings.folder(), faults)
                : new HttpTarget(settings.url(), settings.timeoutMillis(), faults);
    }

    /** Runs a round, unless another process is running one. */
    Report runRound() throws StoreException, InterruptedException {
        Path file = store.folder().resolve("export-" + settings.name() + ".lock");
        try (FileChannel channel = FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
                FileLock lock = channel.tryLock()) {
            return lock == null ? BUSY : deliverPending();
        } catch (OverlappingFileLockException e) {
            return BUSY;
        } catch (IOException e) {
            return new Report(0, 0, 0, "cannot write to the ledger folder: " + e);
        }
    }

    /** Delivers all new entries; stops at a batch that cannot be delivered. */
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
                                        + " was not accepted in "
                                        + settings.maxAttempts() + " attempts: " + e);
                    }
                    pause.sleep(backoff.nextPauseMillis());
                }
            }
            store.markDelivered(batch);
            batches++;
            entries += batch.entries();
        }
    }

    /** Encodes a batch from its stored entries; gives the same bytes each time. */
    static ExportTarget.OutgoingBatch render(Store store, Store.Batch batch, boolean csv) throws StoreException {
        List<Entry> entries = new ArrayList<>();
        for (Store.Range range : batch.ranges()) {
            ChainOrigin origin = new ChainOrigin(store.dispatcher(), range.incarnation());
            for (Store.Row row : store.rows(origin, range.from(), range.to())) {
                if (row.bytes() == null) {
                    throw new StoreException(
                            "batch " + batch.number() + " contains archived entries; " + "restore them first",
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
