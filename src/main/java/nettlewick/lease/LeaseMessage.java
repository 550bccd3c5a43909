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
        String duty,
        int from,
        long echo,
        long ballot,
        long seen,
        double left,
        long held,
        long version,
        byte[] state) {
    /** Questions to voters, each with its answers; RECALL is asked by a voter without memory. */
    enum Kind {
        ASK,
        PREPARE,
        ACCEPT,
        RELEASE,
        RECALL,
        FREE,
        PROMISED,
        ACCEPTED,
        REFUSED,
        TOLD,
        BLANK,
        HANDOVER,
        /**
         * From the holder to all: the version that is stored, with the state if the echo says so, and
         * whether it listens.
         */
        NEWS,
        /** To the holder: the state is wanted. */
        BEHIND,
        /** To the holder: what the sender's life, in the echo, has seen. */
        WORD
    }

    static final byte[] NOTHING = {};

    static LeaseMessage of(Kind kind, String duty, int from, long echo, long ballot) {
        return new LeaseMessage(kind, duty, from, echo, ballot, 0, 0, 0, 0, NOTHING);
    }

    LeaseMessage holding(long heldUnder, long newVersion, byte[] newState) {
        return new LeaseMessage(kind, duty, from, echo, ballot, seen, left, heldUnder, newVersion, newState);
    }

    LeaseMessage telling(long highest, double millis) {
        return new LeaseMessage(kind, duty, from, echo, ballot, highest, millis, held, version, state);
    }

    /** A message and whom it is for. */
    record Post(int to, LeaseMessage message) {}

    private static final int NUMBER_BITS = 16;
    private static final int LIFE_BITS = 23;
    static final int LIVES = 1 << LIFE_BITS;

    /**
     * Ballots grow by their counter first. Danger: two processes of one dispatcher, or two lives, that choose
     * the same ballot would store two states under it; so each life draws a number of its own.
     */
    static long ballot(long counter, int life, int candidate) {
        return counter << NUMBER_BITS + LIFE_BITS | (long) life << NUMBER_BITS | candidate;
    }

    static long counter(long ballot) {
        return ballot >>> NUMBER_BITS + LIFE_BITS;
    }

    /** The life of a candidate that a ballot is of. */
    static long holder(long ballot) {
        return ballot & (1L << NUMBER_BITS + LIFE_BITS) - 1;
    }
}
