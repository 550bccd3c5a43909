package nettlewick.lease;

/**
 * The layout of a ballot, which is also the fence of whoever holds a lease under it: from the most significant
 * bit a counter, the proposer's incarnation (23 bits) and the proposer's dispatcher number (16 bits). Ballots
 * therefore grow with their counter first.
 */
final class Ballot {
    private static final int DISPATCHER_BITS = 16;
    private static final int INCARNATION_BITS = 23;
    private static final int PROPOSER_BITS = DISPATCHER_BITS + INCARNATION_BITS;

    /** Incarnations are at least 0 and below this. */
    static final int INCARNATION_LIMIT = 1 << INCARNATION_BITS;

    private Ballot() {}

    /**
     * @param incarnation drawn at random by each process: two processes of one dispatcher that chose the same
     *                    ballot could store two states under it
     */
    static long of(long counter, int incarnation, int dispatcher) {
        return counter << PROPOSER_BITS | (long) incarnation << DISPATCHER_BITS | dispatcher;
    }

    static long counter(long ballot) {
        return ballot >>> PROPOSER_BITS;
    }

    /** The incarnation and dispatcher that proposed this ballot, as one number. */
    static long proposer(long ballot) {
        return ballot & (1L << PROPOSER_BITS) - 1;
    }
}
