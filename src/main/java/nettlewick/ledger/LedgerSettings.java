package nettlewick.ledger;

import java.nio.file.Path;
import java.util.List;
import nettlewick.settings.Block;

/**
 * What the settings' block {@code ledger} says; times in milliseconds.
 *
 * @param sync     whether an answer waits until its intent is on the disk
 * @param batch    how often the spool is forced where answers do not wait for it
 * @param commit   how often ended jobs are moved from the spool into the store
 * @param patience how long an answer may wait for the disk
 * @param queue    most jobs held in memory
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

    /** Takes the block over; BadSettings for what its words alone do not show. */
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
            throw ledger.invalidValue("term", "in order: " + e.getMessage());
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
