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
 * Decides when a started voter may vote. A voter that has forgotten a promise would let a lower ballot through, and one
 * that has forgotten an accepted state would let a stored version be lost. A voter without memory therefore abstains
 * until enough others have sent it all of their records that every majority includes one of those; or until all voters
 * turn out to have no memory, which means that the tier is new. Times are milliseconds of the voter's own monotonic
 * clock. Pure; belongs to its voter's thread.
 */
final class VoterRecovery {
    /** In the last message of a recovery, as its accepted ballot: the receiver belongs to a new tier. */
    private static final long NEW_TIER = 1;
    /** Requests to the other voters are repeated after this share of a lease. */
    private static final double REQUEST_INTERVAL_LEASES = 1.0 / 6;

    private final int dispatcher;
    private final List<Integer> voters;
    private final LeaseParameters parameters;
    /** Distinguishes answers to this process's requests from those to a former one's, which prove nothing. */
    private final long incarnation;

    /** Grants of a former process may run until then. */
    private double abstainsUntilMillis;

    private double requestedAtMillis = Double.NEGATIVE_INFINITY;
    private final Map<Integer, Set<String>> receivedLeaseNames = new HashMap<>();
    private final Set<Integer> recoveredFrom = new HashSet<>();
    /** The incarnation of each voter that has no memory. */
    private final Map<Integer, Long> votersWithoutRecords = new HashMap<>();

    private double noRecordsAnywhereSinceMillis = Double.NaN;
    /** Whether this voter found that the tier is new. */
    private boolean hasFoundNewTier;
    /** Whether another voter found that the tier is new and saw this incarnation in it. */
    private boolean isMemberOfNewTier;
    /** Whether all that was promised and accepted is known from an earlier process. */
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

    /** Ends the recovery at once. */
    void startVoting() {
        isVoting = true;
    }

    /** All records are known from before; their grants are not, so the voter still abstains for a lease. */
    void markRestored() {
        hasRestoredRecords = true;
    }

    /** Whether its own records may be sent to others as complete. */
    boolean hasCompleteRecords() {
        return isVoting || hasRestoredRecords;
    }

    /** Requests the others' records while it does not vote; to be called a few times a lease. */
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

    /** Whether this answer is to a request of this process that still waits for it. */
    boolean expects(LeaseMessage answer) {
        return !isVoting && answer.ballot() == incarnation;
    }

    /**
     * Counts an expected answer. Records may get lost on the way: a voter counts as recovered from only once as many
     * have arrived as its last message says.
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
        // From now on this voter counts as one with memory. The others would wait for more of those for ever, unless it
        // tells the ones that it saw without memory that they had none to lose. A voter that has a memory of its own
        // must not say so: what the others have lost may count.
        hasFoundNewTier = isTierNew && !hasRestoredRecords;
    }

    /** The other voters have to see this one without memory too: the finding has to last for a lease. */
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

    /** Answers a recovering voter where this one has no memory to share. */
    LeaseMessage noRecordsAnswer(LeaseMessage request) {
        return LeaseMessage.of(Kind.NO_RECORDS, "", dispatcher, 0, request.ballot())
                .withHighestBallot(incarnation, 0);
    }

    /** The last answer to a recovering voter: how many records were sent, and whether the tier is new to it. */
    LeaseMessage finalAnswer(LeaseMessage request, int recordCount) {
        boolean wasSeenWithoutRecords = votersWithoutRecords.getOrDefault(request.sender(), -1L) == request.ballot();
        return LeaseMessage.of(Kind.RECOVERED_RECORD, "", dispatcher, 0, request.ballot())
                .withState(
                        hasFoundNewTier && wasSeenWithoutRecords ? NEW_TIER : 0, recordCount, LeaseMessage.EMPTY_STATE);
    }
}
