package nettlewick.lease;

/**
 * Recognises which of one sender's messages have arrived already, by their numbers: out of order is fine, twice is not.
 * Not safe for several threads.
 */
final class ReplayWindow {
    /** Numbers this far or further below the highest count as arrived. */
    private static final int SIZE = 64;

    private long highest;
    /** Bit n: the number n + 1 below the highest has arrived. */
    private long arrivedBelow;

    /** Whether this number arrives for the first time; it counts as arrived from then on. */
    boolean admits(long number) {
        return number > highest ? advanceTo(number) : fillGap(highest - number);
    }

    private boolean advanceTo(long number) {
        long ahead = number - highest;
        arrivedBelow = ahead >= SIZE ? 0 : arrivedBelow << ahead | 1L << ahead - 1;
        highest = number;
        return true;
    }

    private boolean fillGap(long behind) {
        if (behind == 0 || behind > SIZE) {
            return false;
        }
        long bit = 1L << behind - 1;
        boolean isNew = (arrivedBelow & bit) == 0;
        arrivedBelow |= bit;
        return isNew;
    }
}
