package nettlewick.lease;

/**
 * Recognises which of one sender's messages have arrived already, by their numbers: out of order is fine, twice is not.
 * Not safe for several threads.
 */
final class ReplayWindow {
    /** Numbers this far or further below the highest count as arrived. */
    private static final int SIZE = 64;

    private long highestSequenceNumber;
    /** Bit n: the number n + 1 below the highest has arrived. */
    private long receivedBelowHighest;

    /** Whether this number arrives for the first time; it counts as arrived from then on. */
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
