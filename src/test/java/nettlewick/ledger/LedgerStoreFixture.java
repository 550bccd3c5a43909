package nettlewick.ledger;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import nettlewick.core.UsageRecorder.Ending;
import nettlewick.sqlite.StoreException;

/** Reads and fills stores for tests of other packages. */
public final class LedgerStoreFixture {
    private static final double NOW = 1793491200000.0;

    /** Contents of a store: request ids of entered requests and of doubts, and the faults of its chains. */
    public record Contents(List<String> entered, List<String> doubts, List<String> faults) {}

    private LedgerStoreFixture() {}

    /** Recovers what dead incarnations left and reads the store. */
    public static Contents recover(LedgerSettings settings) throws StoreException {
        try (Store store = Store.open(settings.store())) {
            Recovery.run(store, NOW, settings.calendar());
            List<String> entered = new ArrayList<>();
            List<String> doubts = new ArrayList<>();
            store.forEachEntry(e -> (e.kind() == Entry.Kind.DOUBT ? doubts : entered).add(e.requestId()));
            return new Contents(entered, doubts, store.verify());
        }
    }

    /** Enters requests, and adds their number and work to the totals. */
    public static void fill(LedgerSettings settings, Random random, int count, long[] total) throws StoreException {
        try (Store store = Store.open(settings.store(), "a", FaultInjection.NONE)) {
            List<Entry> drafts = new ArrayList<>();
            for (int i = 0; i < count; i++) {
                long work = random.nextInt(100_000);
                total[0]++;
                total[1] += work;
                drafts.add(TestEntries.job(
                        new EntryRef(new ChainOrigin("", 0), 0),
                        NOW,
                        "m" + random.nextInt(9),
                        null,
                        Ending.SERVED,
                        work));
            }
            store.append(store.beginIncarnation(NOW), drafts);
        }
    }

    public static List<Long> totals(Iterable<byte[]> batches) throws IOException {
        return ExportTest.totals(batches);
    }

    public static List<byte[]> files(Path folder) throws IOException {
        return ExportTest.completeBatches(folder);
    }
}
