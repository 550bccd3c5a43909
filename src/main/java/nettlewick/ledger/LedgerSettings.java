package nettlewick.ledger;

import java.nio.file.Path;
import java.util.List;
import nettlewick.settings.Block;

/**
 * The settings of the block {@code ledger}.
 *
 * @param store                folder of the store and the spool
 * @param sync                 whether an answer is held until its intent is synced to disk
 * @param batchMillis          maximum time between syncs of the spool
 * @param commitMillis         how often ended requests are committed from the spool to the store
 * @param releaseTimeoutMillis how long an answer may be held for the disk
 * @param maxPending           maximum number of requests held in memory
 * @param keyWindowMillis      time in which a repeated idempotency key is not billed again
 * @param peers                null if the ledger has no peers
 */
public record LedgerSettings(
        Path store,
        boolean sync,
        double batchMillis,
        double commitMillis,
        double releaseTimeoutMillis,
        int maxPending,
        BillingCalendar calendar,
        double keyWindowMillis,
        List<ExportSettings> exports,
        PeerSettings peers) {
    private static final double SYNC_BATCH_MILLIS = 20;

    /** Reads the block; throws the settings error for rules that the grammar does not express. */
    public static LedgerSettings of(Block ledger) {
        List<Object> mode = ledger.first("mode").orElseThrow().arguments();
        BillingCalendar calendar;
        try {
            calendar = new BillingCalendar(
                    ledger.get("zone"),
                    ledger.all("term").stream()
                            .map(t -> new BillingCalendar.Term(t.argument(0), t.argument(2), t.argument(4)))
                            .toList());
        } catch (IllegalArgumentException e) {
            throw ledger.invalidValue("term", "a valid sequence of terms: " + e.getMessage());
        }
        return new LedgerSettings(
                ledger.get("store"),
                mode.size() == 1,
                mode.size() == 1 ? SYNC_BATCH_MILLIS : (Double) mode.get(1),
                ledger.durationMillis("commit"),
                ledger.durationMillis("patience"),
                (int) ledger.wholeNumber("queue"),
                calendar,
                ledger.durationMillis("key-window"),
                ledger.blocks("export").stream().map(ExportSettings::of).toList(),
                ledger.block("peers").map(PeerSettings::of).orElse(null));
    }
}
