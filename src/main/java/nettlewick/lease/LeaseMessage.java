package nettlewick.lease;

/**
 * What candidates and voters say to one another about one duty. Plain data; its bytes are {@link MessageCodec}'s.
 *
 * @param kind    what is asked or answered
 * @param duty    the duty's name
 * @param from    the sender's number
 * @param echo    a question's number at its asker; an answer carries its question's
 * @param ballot  the ballot that is meant; in an answer, that of the question
 * @param seen    in an answer: the highest ballot that the voter has seen for this duty
 * @param left    in an answer: what is left of a grant to another, in milliseconds; 0: none
 * @param held    the ballot under which the state was accepted; 0: none was
 * @param version the state's version
 * @param state   the state; never null
 */
record LeaseMessage(
        Kind kind,
        String leaseName,
        int sender,
        long requestId,
        long ballot,
        long highestBallot,
        double remainingMillis,
        long acceptedBallot,
        long version,
        byte[] state) {
    /** Questions to voters, each with its answers; RECALL is asked by a voter without memory. */
    enum Kind {
        QUERY,
        PREPARE,
        ACCEPT,
        RELEASE,
        RECOVER,
        AVAILABLE,
        PROMISED,
        ACCEPTED,
        REFUSED,
        RECOVERED_RECORD,
        NO_MEMORY,
        HANDOVER,
        /**
         * From the holder to all: the version that is stored, with the state if the echo says so, and
         * whether it listens.
         */
        ANNOUNCE,
        /** To the holder: the state is wanted. */
        REQUEST_STATE,
        /** To the holder: what the sender's life, in the echo, has seen. */
        REPORT
    }

    static final byte[] EMPTY_STATE = {};

    static LeaseMessage of(Kind kind, String leaseName, int from, long echo, long ballot) {
        return new LeaseMessage(kind, leaseName, from, echo, ballot, 0, 0, 0, 0, EMPTY_STATE);
    }

    LeaseMessage withState(long heldUnder, long newVersion, byte[] newState) {
        return new LeaseMessage(
                kind,
                leaseName,
                sender,
                requestId,
                ballot,
                highestBallot,
                remainingMillis,
                heldUnder,
                newVersion,
                newState);
    }

    LeaseMessage withHighestBallot(long highest, double millis) {
        return new LeaseMessage(
                kind, leaseName, sender, requestId, ballot, highest, millis, acceptedBallot, version, state);
    }

    /** A message and whom it is for. */
    record Outgoing(int recipient, LeaseMessage message) {}

    private static final int DISPATCHER_BITS = 16;
    private static final int INCARNATION_BITS = 23;
    static final int INCARNATION_LIMIT = 1 << INCARNATION_BITS;

    /**
     * Ballots grow by their counter first. Danger: two processes of one dispatcher, or two lives, that choose
     * the same ballot would store two states under it; so each life draws a number of its own.
     */
    static long ballot(long counter, int incarnation, int candidate) {
        return counter << DISPATCHER_BITS + INCARNATION_BITS | (long) incarnation << DISPATCHER_BITS | candidate;
    }

    static long counter(long ballot) {
        return ballot >>> DISPATCHER_BITS + INCARNATION_BITS;
    }

    /** The life of a candidate that a ballot is of. */
    static long proposer(long ballot) {
        return ballot & (1L << DISPATCHER_BITS + INCARNATION_BITS) - 1;
    }
}
