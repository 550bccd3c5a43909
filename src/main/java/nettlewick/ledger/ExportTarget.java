package nettlewick.ledger;

import java.io.IOException;

/**
 * Destination of exported batches. A batch may be delivered more than once; the target must recognise it by dispatcher,
 * export and number.
 */
interface ExportTarget {
    /** An encoded batch; {@code sha256} is the hash of its content. */
    record OutgoingBatch(
            String dispatcher, String export, long number, boolean csv, long entries, byte[] content, String sha256) {}

    /** The target rejected the batch permanently: retrying does not help. */
    final class BatchRejectedException extends IOException {
        private static final long serialVersionUID = 1;

        BatchRejectedException(String message) {
            super(message);
        }
    }

    /** Delivers a batch; returns normally if the target has accepted it, now or earlier. */
    void deliver(OutgoingBatch parcel) throws IOException, InterruptedException;
}
