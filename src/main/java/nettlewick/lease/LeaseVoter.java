package nettlewick.lease;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import nettlewick.lease.LeaseMessage.Kind;
import nettlewick.lease.LeaseMessage.Outgoing;

/**
 * One voter: its records of all leases, and its answers to candidates and to recovering voters (see docs/duties.md).
 * Grants are counted by its own monotonic clock, in milliseconds, passed in by the caller. Pure; belongs to one thread.
 */
final class LeaseVoter {
    private final int dispatcher;
    private final LeaseTerms terms;
    private final VoterRecovery recovery;
    private final Map<String, LeaseRecord> records;
    private final Map<String, LeaseRecord> unsavedRecords = new TreeMap<>();

    /** A voter that starts at {@code nowMillis} without any memory. */
    LeaseVoter(int dispatcher, List<Integer> voters, LeaseTerms terms, double nowMillis, long incarnation) {
        this(dispatcher, terms, new VoterRecovery(dispatcher, voters, terms, nowMillis, incarnation), new TreeMap<>());
    }

    private LeaseVoter(int dispatcher, LeaseTerms terms, VoterRecovery recovery, Map<String, LeaseRecord> records) {
        this.dispatcher = dispatcher;
        this.terms = terms;
        this.recovery = recovery;
        this.records = records;
    }

    /** An independent copy, for a search through the orders of events; it has nothing to save. */
    LeaseVoter copy() {
        return new LeaseVoter(dispatcher, terms, recovery.copy(), new TreeMap<>(records));
    }

    /**
     * Takes over the records of the last process. The grants are not among them, so the voter abstains for a lease.
     */
    LeaseVoter restore(Map<String, LeaseRecord> stored) {
        records.putAll(stored);
        recovery.markRestored();
        return this;
    }

    /** The live records by lease name. */
    Map<String, LeaseRecord> records() {
        return records;
    }

    /** The records that have to be saved before its next answers are sent; the caller empties the map afterwards. */
    Map<String, LeaseRecord> unsavedRecords() {
        return unsavedRecords;
    }

    /** Whether it answers candidates. */
    boolean isVoting() {
        return recovery.isVoting();
    }

    /** Votes from the first moment on; only where there was nothing to remember, as in tests. */
    LeaseVoter startVoting() {
        recovery.startVoting();
        return this;
    }

    /** Does what is due; to be called a few times a lease. */
    List<Outgoing> tick(double nowMillis) {
        return recovery.tick(nowMillis);
    }

    /** Handles a message of a candidate or of another voter; what to answer. */
    List<Outgoing> handle(LeaseMessage message, double nowMillis) {
        return switch (message.kind()) {
            case RECOVER -> answerRecovery(message);
            case RECOVERED_RECORD, NO_MEMORY -> {
                if (recovery.expects(message)) {
                    learn(message, nowMillis);
                }
                yield List.of();
            }
            default -> isVoting() ? answerCandidate(message, nowMillis) : List.of();
        };
    }

    private void learn(LeaseMessage message, double nowMillis) {
        if (message.kind() == Kind.RECOVERED_RECORD && !message.leaseName().isEmpty()) {
            LeaseRecord known = records.getOrDefault(message.leaseName(), LeaseRecord.EMPTY);
            putUnsaved(message.leaseName(), known.merge(message));
        }
        recovery.handleAnswer(message, nowMillis);
    }

    private void putUnsaved(String leaseName, LeaseRecord leaseRecord) {
        records.put(leaseName, leaseRecord);
        unsavedRecords.put(leaseName, leaseRecord);
    }

    /** One message for each record, and a last one that says how many they were. */
    private List<Outgoing> answerRecovery(LeaseMessage request) {
        if (!recovery.hasCompleteRecords()) {
            return List.of(new Outgoing(request.sender(), recovery.noMemoryAnswer(request)));
        }
        List<Outgoing> out = new ArrayList<>();
        records.forEach((leaseName, known) -> out.add(new Outgoing(
                request.sender(),
                LeaseMessage.of(Kind.RECOVERED_RECORD, leaseName, dispatcher, 0, request.ballot())
                        .withHighestBallot(known.highestBallot(), 0)
                        .withState(known.acceptedBallot(), known.version(), known.state()))));
        out.add(new Outgoing(request.sender(), recovery.finalAnswer(request, records.size())));
        return out;
    }

    private List<Outgoing> answerCandidate(LeaseMessage request, double nowMillis) {
        records.putIfAbsent(request.leaseName(), LeaseRecord.EMPTY);
        return switch (request.kind()) {
            case QUERY -> answerQuery(request, nowMillis);
            case PREPARE -> answerPrepare(request, nowMillis);
            case ACCEPT -> answerAccept(request, nowMillis);
            case RELEASE -> {
                endGrant(request);
                yield List.of();
            }
            default -> List.of();
        };
    }

    private List<Outgoing> answerQuery(LeaseMessage request, double nowMillis) {
        boolean isGranted = records.get(request.leaseName()).isGrantedToAnother(request.ballot(), nowMillis);
        return isGranted ? refuse(request, nowMillis) : answer(request, reply(Kind.AVAILABLE, request));
    }

    private List<Outgoing> answerPrepare(LeaseMessage request, double nowMillis) {
        LeaseRecord known = records.get(request.leaseName());
        // An equal ballot is the same candidate's, which repeats its request since the answer was lost.
        if (known.isGrantedToAnother(request.ballot(), nowMillis) || request.ballot() < known.promisedBallot()) {
            return refuse(request, nowMillis);
        }
        if (request.ballot() > known.promisedBallot()) {
            putUnsaved(request.leaseName(), known.withPromise(request.ballot()));
        }
        return answer(
                request,
                reply(Kind.PROMISED, request).withState(known.acceptedBallot(), known.version(), known.state()));
    }

    private List<Outgoing> answerAccept(LeaseMessage request, double nowMillis) {
        LeaseRecord known = records.get(request.leaseName());
        boolean isGranted = known.isGrantedToAnother(request.ballot(), nowMillis);
        if (isGranted || !known.mayAccept(request.ballot(), request.version())) {
            return refuse(request, nowMillis);
        }
        LeaseRecord accepted = known.withAccepted(request, nowMillis + terms.leaseMillis());
        boolean isRenewal = request.ballot() == known.acceptedBallot() && request.version() == known.version();
        if (isRenewal) {
            // The grant is not stored, so that a renewal costs no write.
            records.put(request.leaseName(), accepted);
        } else {
            putUnsaved(request.leaseName(), accepted);
        }
        return answer(
                request,
                reply(Kind.ACCEPTED, request).withState(request.ballot(), request.version(), LeaseMessage.EMPTY_STATE));
    }

    private void endGrant(LeaseMessage release) {
        LeaseRecord known = records.get(release.leaseName());
        if (known.grantedBallot() == release.ballot()) {
            records.put(release.leaseName(), known.withoutGrant());
        }
    }

    private List<Outgoing> refuse(LeaseMessage request, double nowMillis) {
        LeaseRecord known = records.get(request.leaseName());
        double remainingMillis =
                known.isGrantedToAnother(request.ballot(), nowMillis) ? known.grantedUntilMillis() - nowMillis : 0;
        return answer(request, reply(Kind.REFUSED, request).withHighestBallot(known.highestBallot(), remainingMillis));
    }

    private LeaseMessage reply(Kind kind, LeaseMessage request) {
        return LeaseMessage.of(kind, request.leaseName(), dispatcher, request.requestId(), request.ballot())
                .withHighestBallot(records.get(request.leaseName()).highestBallot(), 0);
    }

    private static List<Outgoing> answer(LeaseMessage request, LeaseMessage reply) {
        return List.of(new Outgoing(request.sender(), reply));
    }
}
