package nettlewick.lease;

/**
 * What a voter knows of one lease. All but the grant is stored on disk; the grant is counted by the voter's own clock
 * and lost with its process. Immutable.
 *
 * @param promisedBallot     nothing below it is accepted any more
 * @param acceptedBallot     the ballot under which the state was accepted; 0: none was
 * @param version            the state's version
 * @param state              the accepted state
 * @param grantedBallot      the ballot that has the lease until {@code grantedUntilMillis}
 * @param grantedUntilMillis by the voter's clock
 */
record LeaseRecord(
        long promisedBallot,
        long acceptedBallot,
        long version,
        byte[] state,
        long grantedBallot,
        double grantedUntilMillis) {
    /** Nothing is promised, accepted or granted. */
    static final LeaseRecord EMPTY = stored(0, 0, 0, LeaseMessage.EMPTY_STATE);

    /** A record as the disk has it: without a grant. */
    static LeaseRecord stored(long promisedBallot, long acceptedBallot, long version, byte[] state) {
        return new LeaseRecord(promisedBallot, acceptedBallot, version, state, 0, Double.NEGATIVE_INFINITY);
    }

    /** Whether another candidate than this ballot's has the lease. */
    boolean isGrantedToAnother(long ballot, double nowMillis) {
        return nowMillis < grantedUntilMillis && Ballot.proposer(grantedBallot) != Ballot.proposer(ballot);
    }

    /** Whether a state under this ballot may replace the accepted one. */
    boolean mayAccept(long ballot, long newVersion) {
        boolean isNewer = ballot > acceptedBallot || ballot == acceptedBallot && newVersion >= version;
        return ballot >= promisedBallot && isNewer;
    }

    /** The highest ballot that the voter has seen for this lease. */
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

    /** Takes over what another voter has promised and accepted, where that is newer. */
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
