package nettlewick.lease;

/**
 * What a voter knows about one lease. Everything except the grant is stored on disk; the grant is measured on the
 * voter's own clock and lost when its process ends. Immutable.
 *
 * @param promisedBallot     lower ballots are no longer accepted
 * @param acceptedBallot     the ballot under which the state was accepted; 0 if none was
 * @param version            the state's version
 * @param state              the accepted state
 * @param grantedBallot      the ballot that is granted the lease until {@code grantedUntilMillis}
 * @param grantedUntilMillis the end of the grant on the voter's clock
 */
record LeaseRecord(
        long promisedBallot,
        long acceptedBallot,
        long version,
        byte[] state,
        long grantedBallot,
        double grantedUntilMillis) {
    /** A record with nothing promised, accepted or granted. */
    static final LeaseRecord EMPTY = stored(0, 0, 0, LeaseMessage.EMPTY_STATE);

    /** Creates a record as it is stored on disk, without a grant. */
    static LeaseRecord stored(long promisedBallot, long acceptedBallot, long version, byte[] state) {
        return new LeaseRecord(promisedBallot, acceptedBallot, version, state, 0, Double.NEGATIVE_INFINITY);
    }

    /** Whether the lease is granted to another candidate than the proposer of this ballot. */
    boolean isGrantedToAnother(long ballot, double nowMillis) {
        return nowMillis < grantedUntilMillis && Ballot.proposer(grantedBallot) != Ballot.proposer(ballot);
    }

    /** Whether a state under this ballot may replace the accepted one. */
    boolean mayAccept(long ballot, long newVersion) {
        boolean isNewer = ballot > acceptedBallot || ballot == acceptedBallot && newVersion >= version;
        return ballot >= promisedBallot && isNewer;
    }

    /** The highest ballot that the voter has promised or accepted for this lease. */
    long highestBallot() {
        return Math.max(promisedBallot, acceptedBallot);
    }

    LeaseRecord withPromise(long ballot) {
        return new LeaseRecord(ballot, acceptedBallot, version, state, grantedBallot, grantedUntilMillis);
    }

    LeaseRecord withAccepted(LeaseMessage accept, double untilMillis) {
        long ballot = accept.ballot();
        return new LeaseRecord(ballot, ballot, accept.version(), accept.state(), ballot, untilMillis);
    }

    LeaseRecord withoutGrant() {
        return new LeaseRecord(promisedBallot, acceptedBallot, version, state, grantedBallot, Double.NEGATIVE_INFINITY);
    }

    /** Returns this record combined with what another voter has promised and accepted, if that is newer. */
    LeaseRecord merge(LeaseMessage other) {
        long promised = Math.max(promisedBallot, other.highestBallot());
        boolean isNewer = other.acceptedBallot() > acceptedBallot
                || other.acceptedBallot() == acceptedBallot && other.version() > version;
        return isNewer
                ? new LeaseRecord(
                        promised,
                        other.acceptedBallot(),
                        other.version(),
                        other.state(),
                        grantedBallot,
                        grantedUntilMillis)
                : withPromise(promised);
    }
}
