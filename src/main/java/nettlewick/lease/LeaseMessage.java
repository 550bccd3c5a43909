package nettlewick.lease;

/**
 * A message about one lease between candidates, voters and followers. {@link MessageCodec} encodes it.
 *
 * @param kind            what is requested, answered or announced
 * @param leaseName       the lease; empty if the message concerns all leases of a voter
 * @param sender          the sender's dispatcher number
 * @param requestId       the sender's id of a request, repeated in each answer; in {@link Kind#ANNOUNCE} the flags
 *                        {@link #FLAG_HAS_STATE} and {@link #FLAG_REPORTS_REQUESTED}, in {@link Kind#REPORT} the
 *                        sender's incarnation
 * @param ballot          the ballot that the message refers to; in an answer, that of the request
 * @param highestBallot   in an answer: the highest ballot that the voter has seen for this lease
 * @param remainingMillis in an answer: the remaining time of a grant to another candidate; 0 if there is none
 * @param acceptedBallot  the ballot under which the state was accepted; 0 if none was
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
    /** The kinds of messages. Their order is part of the wire format, since a kind is sent as its ordinal. */
    enum Kind {
        /** Candidate to voter: ask whether a ballot would be promised now. */
        QUERY,
        /** Candidate to voter: promise to accept nothing below this ballot. */
        PREPARE,
        /** Candidate or holder to voter: accept this state and grant or renew the lease. */
        ACCEPT,
        /** Holder to voter: end the grant under this ballot. Not answered. */
        RELEASE,
        /** Recovering voter to voter: send all records. */
        RECOVER,
        /** Answer to QUERY: no other candidate has a grant. */
        AVAILABLE,
        /** Answer to PREPARE, with the newest accepted state. */
        PROMISED,
        /** Answer to ACCEPT. */
        ACCEPTED,
        /** Answer to QUERY, PREPARE or ACCEPT: another grant is valid, or a higher ballot was promised. */
        REFUSED,
        /** Answer to RECOVER: one record or, without a lease name, the number of records sent. */
        RECOVERED_RECORD,
        /** Answer to RECOVER: the voter has no complete records either; the highest ballot is its incarnation. */
        NO_RECORDS,
        /** Holder to its successor: try to acquire the lease at once. */
        HANDOVER,
        /** Holder to all dispatchers: the stored version, and the state if {@link #FLAG_HAS_STATE} is set. */
        ANNOUNCE,
        /** Follower to holder: send the state. */
        REQUEST_STATE,
        /** Follower to holder: a report for the lease's task. */
        REPORT
    }

    static final byte[] EMPTY_STATE = {};
    /** Bit in the request id of an announcement: it includes the state. */
    static final long FLAG_HAS_STATE = 1;
    /** Bit in the request id of an announcement: the holder requests a report from each dispatcher. */
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

    /** Whether this announcement includes the state. */
    boolean hasState() {
        return (requestId & FLAG_HAS_STATE) != 0;
    }

    /** Whether this announcement requests a report from each dispatcher. */
    boolean requestsReports() {
        return (requestId & FLAG_REPORTS_REQUESTED) != 0;
    }

    /** Whether the recipient handles the message as a voter rather than as a candidate, holder or follower. */
    boolean isForVoter() {
        return switch (kind) {
            case QUERY, PREPARE, ACCEPT, RELEASE, RECOVER, RECOVERED_RECORD, NO_RECORDS -> true;
            default -> false;
        };
    }

    /** A message and the number of the dispatcher to send it to. */
    record Outgoing(int recipient, LeaseMessage message) {}
}
