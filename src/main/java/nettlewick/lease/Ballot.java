package nettlewick.lease;

/**
 * The bit layout of a ballot, which is also the fence of a lease that is held under it: from the most significant bit,
 * a counter, the proposer's incarnation (23 bits) and the proposer's dispatcher number (16 bits). Ballots are therefore
 * ordered by their counters first.
 */
final class Ballot {
    private static final int DISPATCHER_BITS = 16;
    private static final int INCARNATION_BITS = 23;
    private static final int PROPOSER_BITS = DISPATCHER_BITS + INCARNATION_BITS;

    /** Exclusive upper bound of incarnations, which are not negative. */
    static final int INCARNATION_LIMIT = 1 << INCARNATION_BITS;

    private Ballot() {}

    /**
     * @param incarnation drawn at random by each process: if two processes of one dispatcher chose the same ballot,
     *                    they could store two different states under it
     */
    static long of(long counter, int incarnation, int dispatcher) {
        return counter << PROPOSER_BITS | (long) incarnation << DISPATCHER_BITS | dispatcher;
    }

    static long counter(long ballot) {
        return ballot >>> PROPOSER_BITS;
    }

    /** The proposer's incarnation and dispatcher number, combined into one number. */
    static long proposer(long ballot) {
        return ballot & (1L << PROPOSER_BITS) - 1;
    }
}
