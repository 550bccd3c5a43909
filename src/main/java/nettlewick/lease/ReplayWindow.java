package nettlewick.lease;

/**
 * Detects repeated messages of one sender by their sequence numbers; messages may arrive out of order. Not thread-safe.
 */
final class ReplayWindow {
    /** Sequence numbers more than this far below the highest one are treated as received. */
    private static final int SIZE = 64;

    private long highestSequenceNumber;
    /** Bit n is set if the sequence number n + 1 below the highest one was received. */
    private long receivedBelowHighest;

    /** Whether this sequence number is new; it counts as received from then on. */
    boolean admits(long sequenceNumber) {
        return sequenceNumber > highestSequenceNumber
                ? advanceTo(sequenceNumber)
                : fillGap(highestSequenceNumber - sequenceNumber);
    }

    private boolean advanceTo(long sequenceNumber) {
        long ahead = sequenceNumber - highestSequenceNumber;
        receivedBelowHighest = ahead >= SIZE ? 0 : receivedBelowHighest << ahead | 1L << ahead - 1;
        highestSequenceNumber = sequenceNumber;
        return true;
    }

    private boolean fillGap(long behind) {
        if (behind == 0 || behind > SIZE) {
            return false;
        }
        long bit = 1L << behind - 1;
        boolean isNew = (receivedBelowHighest & bit) == 0;
        receivedBelowHighest |= bit;
        return isNew;
    }
}
