package nettlewick.ledger;

import java.io.IOException;

/** Where batches go. It may be told one again, and has to know it by dispatcher, export and number. */
interface ExportTarget {
    /** A batch as it goes out. */
    record OutgoingBatch(
            String dispatcher, String export, long number, boolean csv, long entries, byte[] content, String sha256) {}

    /** The other side says no for good: trying again does not help. */
    final class BatchRejectedException extends IOException {
        private static final long serialVersionUID = 1;

        BatchRejectedException(String message) {
            super(message);
        }
    }

    /** Delivers a batch; a normal return says that it has been taken, now or before. */
    void deliver(OutgoingBatch parcel) throws IOException, InterruptedException;
}
