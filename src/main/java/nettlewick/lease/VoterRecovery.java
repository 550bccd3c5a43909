package nettlewick.lease;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import nettlewick.lease.LeaseMessage.Kind;
import nettlewick.lease.LeaseMessage.Outgoing;

/**
 * Decides when a voter may start to vote. A voter that has lost a promise would accept a lower ballot, and one that has
 * lost an accepted state could cause the loss of a stored version. A voter without records of an earlier process
 * therefore abstains until it has received all records from so many other voters that every majority includes one of
 * them, or until no voter turns out to have records, which means that the tier is new. Times are milliseconds of the
 * voter's own monotonic clock. Does no I/O; confined to the voter's thread.
 */
final class VoterRecovery {
    /** Accepted ballot in the final message of a recovery: tells the receiver that it belongs to a new tier. */
    private static final long NEW_TIER = 1;
    /** Interval between requests to the other voters, in lease durations. */
    private static final double REQUEST_INTERVAL_LEASES = 1.0 / 6;

    private final int dispatcher;
    private final List<Integer> voters;
    private final LeaseParameters parameters;
    /** Identifies answers to this process's requests; answers to an earlier process may be outdated. */
    private final long incarnation;

    /** Until then, grants that an earlier process gave may still be valid. */
    private double abstainsUntilMillis;

    private double requestedAtMillis = Double.NEGATIVE_INFINITY;
    private final Map<Integer, Set<String>> receivedLeaseNames = new HashMap<>();
    private final Set<Integer> recoveredFrom = new HashSet<>();
    /** The incarnation of each voter that has no records. */
    private final Map<Integer, Long> votersWithoutRecords = new HashMap<>();

    private double noRecordsAnywhereSinceMillis = Double.NaN;
    /** Whether this voter has found that the tier is new. */
    private boolean hasFoundNewTier;
    /** Whether another voter has found that the tier is new, and that this incarnation had no records in it. */
    private boolean isMemberOfNewTier;
    /** Whether everything that an earlier process promised and accepted was restored. */
    private boolean hasRestoredRecords;

    private boolean isVoting;

    VoterRecovery(
            int dispatcher, List<Integer> voters, LeaseParameters parameters, double nowMillis, long incarnation) {
        this.dispatcher = dispatcher;
        this.voters = voters;
        this.parameters = parameters;
        this.incarnation = incarnation;
        abstainsUntilMillis = nowMillis + parameters.leaseMillis() * (1 + parameters.maxClockDrift());
    }

    VoterRecovery copy() {
        VoterRecovery copy = new VoterRecovery(dispatcher, voters, parameters, 0, incarnation);
        copy.abstainsUntilMillis = abstainsUntilMillis;
        copy.requestedAtMillis = requestedAtMillis;
        receivedLeaseNames.forEach(
                (sender, leaseNames) -> copy.receivedLeaseNames.put(sender, new HashSet<>(leaseNames)));
        copy.recoveredFrom.addAll(recoveredFrom);
        copy.votersWithoutRecords.putAll(votersWithoutRecords);
        copy.noRecordsAnywhereSinceMillis = noRecordsAnywhereSinceMillis;
        copy.hasFoundNewTier = hasFoundNewTier;
        copy.isMemberOfNewTier = isMemberOfNewTier;
        copy.hasRestoredRecords = hasRestoredRecords;
        copy.isVoting = isVoting;
        return copy;
    }

    boolean isVoting() {
        return isVoting;
    }

    /** Skips the rest of the recovery. */
    void startVoting() {
        isVoting = true;
    }

    /** Notes that all records were restored. Grants were not, so the voter still abstains for one lease duration. */
    void markRestored() {
        hasRestoredRecords = true;
    }

    /** Whether this voter's records are complete and may be sent to other voters. */
    boolean hasCompleteRecords() {
        return isVoting || hasRestoredRecords;
    }

    /** Requests the other voters' records until it votes; must be called several times in each lease duration. */
    List<Outgoing> tick(double nowMillis) {
        if (isVoting) {
            return List.of();
        }
        decideWhetherToVote(nowMillis);
        if (isVoting || nowMillis - requestedAtMillis < parameters.leaseMillis() * REQUEST_INTERVAL_LEASES) {
            return List.of();
        }
        requestedAtMillis = nowMillis;
        List<Outgoing> out = new ArrayList<>();
        for (int otherVoter : voters) {
            if (otherVoter != dispatcher) {
                out.add(new Outgoing(otherVoter, LeaseMessage.of(Kind.RECOVER, "", dispatcher, 0, incarnation)));
            }
        }
        return out;
    }

    /** Whether this is an answer to a request of this process, and the recovery still needs it. */
    boolean expects(LeaseMessage answer) {
        return !isVoting && answer.ballot() == incarnation;
    }

    /**
     * Handles an expected answer. Since datagrams may get lost, the records of a voter count as complete only when as
     * many have arrived as its final message says.
     */
    void handleAnswer(LeaseMessage answer, double nowMillis) {
        int sender = answer.sender();
        Set<String> leaseNames = receivedLeaseNames.computeIfAbsent(sender, s -> new HashSet<>());
        if (answer.kind() == Kind.NO_RECORDS) {
            votersWithoutRecords.put(sender, answer.highestBallot());
        } else if (!answer.leaseName().isEmpty()) {
            leaseNames.add(answer.leaseName());
        } else if (leaseNames.size() >= answer.version()) {
            recoveredFrom.add(sender);
            votersWithoutRecords.remove(sender);
            isMemberOfNewTier |= answer.acceptedBallot() == NEW_TIER;
        }
        decideWhetherToVote(nowMillis);
    }

    private void decideWhetherToVote(double nowMillis) {
        boolean isTierNew = isTierNew(nowMillis);
        boolean hasRecovered = recoveredFrom.size() >= voters.size() - parameters.majorityOf(voters.size()) + 1;
        boolean knowsEnough = hasRestoredRecords || hasRecovered || isTierNew || isMemberOfNewTier;
        if (nowMillis < abstainsUntilMillis || !knowsEnough) {
            return;
        }
        isVoting = true;
        // From now on this voter counts as one with records. The others would wait forever for more such voters, unless
        // it tells the ones that it saw without records that there were none to lose. A voter that has restored records
        // must not say so, since the others may have lost records that matter.
        hasFoundNewTier = isTierNew && !hasRestoredRecords;
    }

    /** Whether no voter has had records for one lease duration, in which the others also see that this one has none. */
    private boolean isTierNew(double nowMillis) {
        boolean areAllOthersWithoutRecords =
                recoveredFrom.isEmpty() && votersWithoutRecords.size() >= voters.size() - 1;
        if (!areAllOthersWithoutRecords) {
            noRecordsAnywhereSinceMillis = Double.NaN;
        } else if (Double.isNaN(noRecordsAnywhereSinceMillis)) {
            noRecordsAnywhereSinceMillis = nowMillis;
        }
        return nowMillis - noRecordsAnywhereSinceMillis >= parameters.leaseMillis();
    }

    /** Returns the answer to a recovering voter if this voter has no complete records either. */
    LeaseMessage noRecordsAnswer(LeaseMessage request) {
        return LeaseMessage.of(Kind.NO_RECORDS, "", dispatcher, 0, request.ballot())
                .withHighestBallot(incarnation, 0);
    }

    /** Returns the final answer to a recovering voter: the number of records sent, and whether it is in a new tier. */
    LeaseMessage finalAnswer(LeaseMessage request, int recordCount) {
        boolean wasSeenWithoutRecords = votersWithoutRecords.getOrDefault(request.sender(), -1L) == request.ballot();
        return LeaseMessage.of(Kind.RECOVERED_RECORD, "", dispatcher, 0, request.ballot())
                .withState(
                        hasFoundNewTier && wasSeenWithoutRecords ? NEW_TIER : 0, recordCount, LeaseMessage.EMPTY_STATE);
    }
}
