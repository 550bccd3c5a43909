package nettlewick.ledger;

import java.io.IOException;

/** Where batches go. It may be told one again, and has to know it by dispatcher, export and number. */
interface Target {
    /** A batch as it goes out. */
    record Parcel(String dispatcher, String export, long number, boolean csv, long entries, byte[] bytes, String sum) {}

    /** The other side says no for good: trying again does not help. */
    final class Rejected extends IOException {
        private static final long serialVersionUID = 1;

        Rejected(String message) {
            super(message);
        }
    }

    /** Delivers a batch; a normal return says that it has been taken, now or before. */
    void deliver(Parcel parcel) throws IOException, InterruptedException;
}
