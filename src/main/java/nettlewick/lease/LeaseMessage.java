package nettlewick.lease;

/**
 * A message between candidates, voters and followers about one lease. Plain data; {@link MessageCodec} turns it
 * into bytes.
 *
 * @param kind            what is requested, answered or announced
 * @param leaseName       the lease; empty where the message is about a voter as a whole
 * @param sender          the sender's dispatcher number
 * @param requestId       a request's number at its sender, repeated in each answer; in {@link Kind#ANNOUNCE} the
 *                        flags {@link #FLAG_HAS_STATE} and {@link #FLAG_REPORTS_REQUESTED}, in {@link Kind#REPORT}
 *                        the sender's incarnation
 * @param ballot          the ballot that is meant; in an answer, that of the request
 * @param highestBallot   in an answer: the highest ballot that the voter has seen for this lease
 * @param remainingMillis in an answer: what remains of a grant to another candidate; 0: there is none
 * @param acceptedBallot  the ballot under which the state was accepted; 0: none was
 * @param version         the state's version
 * @param state           the state; never null
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
    /** The order is part of the wire format: a kind travels as its ordinal. */
    enum Kind {
        /** Candidate to voter: would a ballot be promised now? */
        QUERY,
        /** Candidate to voter: promise to accept nothing below this ballot. */
        PREPARE,
        /** Candidate or holder to voter: accept this state and grant or renew the lease. */
        ACCEPT,
        /** Holder to voter: the grant under this ballot ends. Not answered. */
        RELEASE,
        /** Voter without memory to voter: send all records. */
        RECOVER,
        /** Answer to QUERY: no other candidate has a grant. */
        AVAILABLE,
        /** Answer to PREPARE, with the newest accepted state. */
        PROMISED,
        /** Answer to ACCEPT. */
        ACCEPTED,
        /** Answer to QUERY, PREPARE or ACCEPT: another grant runs, or a higher ballot was promised. */
        REFUSED,
        /** Answer to RECOVER: one record, or, without a lease name, how many records were sent. */
        RECOVERED_RECORD,
        /** Answer to RECOVER: the voter has no memory either; its incarnation stands for the highest ballot. */
        NO_RECORDS,
        /** Holder to its successor: stand for the lease at once. */
        HANDOVER,
        /** Holder to all: the stored version, with the state where the flag says so. */
        ANNOUNCE,
        /** Follower to holder: send the state. */
        REQUEST_STATE,
        /** Follower to holder: what this dispatcher has observed, for the lease's task. */
        REPORT
    }

    static final byte[] EMPTY_STATE = {};
    /** In the request number of an announcement: it carries the state. */
    static final long FLAG_HAS_STATE = 1;
    /** In the request number of an announcement: the holder wants a report from every dispatcher. */
    static final long FLAG_REPORTS_REQUESTED = 2;

    static LeaseMessage of(Kind kind, String leaseName, int sender, long requestId, long ballot) {
        return new LeaseMessage(kind, leaseName, sender, requestId, ballot, 0, 0, 0, 0, EMPTY_STATE);
    }

    LeaseMessage withState(long newAcceptedBallot, long newVersion, byte[] newState) {
        return new LeaseMessage(
                kind,
                leaseName,
                sender,
                requestId,
                ballot,
                highestBallot,
                remainingMillis,
                newAcceptedBallot,
                newVersion,
                newState);
    }

    LeaseMessage withHighestBallot(long highest, double newRemainingMillis) {
        return new LeaseMessage(
                kind,
                leaseName,
                sender,
                requestId,
                ballot,
                highest,
                newRemainingMillis,
                acceptedBallot,
                version,
                state);
    }

    /** Whether this announcement carries the state. */
    boolean hasState() {
        return (requestId & FLAG_HAS_STATE) != 0;
    }

    /** Whether this announcement asks every dispatcher for a report. */
    boolean requestsReports() {
        return (requestId & FLAG_REPORTS_REQUESTED) != 0;
    }

    /** Whether it is for a voter, in place of a candidate or a follower. */
    boolean isForVoter() {
        return switch (kind) {
            case QUERY, PREPARE, ACCEPT, RELEASE, RECOVER, RECOVERED_RECORD, NO_RECORDS -> true;
            default -> false;
        };
    }

    /** A message and the number of the dispatcher that it goes to. */
    record Outgoing(int recipient, LeaseMessage message) {}
}
