package nettlewick.lease;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import nettlewick.lease.LeaseMessage.Kind;
import nettlewick.lease.LeaseMessage.Outgoing;

/**
 * One voter: its records of all leases, and its answers to candidates and to recovering voters (see docs/duties.md).
 * Grants are measured on the voter's own monotonic clock, in milliseconds, which the caller passes in. Does no I/O;
 * confined to one thread.
 */
final class LeaseVoter {
    private final int dispatcher;
    private final LeaseParameters parameters;
    private final VoterRecovery recovery;
    private final Map<String, LeaseRecord> records;
    private final Map<String, LeaseRecord> unsavedRecords = new TreeMap<>();

    /** Creates a voter that starts at {@code nowMillis} without records. */
    LeaseVoter(int dispatcher, List<Integer> voters, LeaseParameters parameters, double nowMillis, long incarnation) {
        this(
                dispatcher,
                parameters,
                new VoterRecovery(dispatcher, voters, parameters, nowMillis, incarnation),
                new TreeMap<>());
    }

    private LeaseVoter(
            int dispatcher, LeaseParameters parameters, VoterRecovery recovery, Map<String, LeaseRecord> records) {
        this.dispatcher = dispatcher;
        this.parameters = parameters;
        this.recovery = recovery;
        this.records = records;
    }

    /** Returns an independent copy without unsaved records, for tests that explore the possible orders of events. */
    LeaseVoter copy() {
        return new LeaseVoter(dispatcher, parameters, recovery.copy(), new TreeMap<>(records));
    }

    /**
     * Restores the records that the previous process stored. Grants are not stored, so the voter still abstains for one
     * lease duration.
     */
    LeaseVoter restore(Map<String, LeaseRecord> stored) {
        records.putAll(stored);
        recovery.markRestored();
        return this;
    }

    /** The records by lease name; changes to the map change the voter. */
    Map<String, LeaseRecord> records() {
        return records;
    }

    /** The records that must be saved before the next answers are sent; the caller clears the map afterwards. */
    Map<String, LeaseRecord> unsavedRecords() {
        return unsavedRecords;
    }

    /** Whether the voter answers candidates. */
    boolean isVoting() {
        return recovery.isVoting();
    }

    /** Skips the recovery and votes at once; safe only if there are no earlier records, as in tests. */
    LeaseVoter startVoting() {
        recovery.startVoting();
        return this;
    }

    /** Returns the messages that are due; must be called several times in each lease duration. */
    List<Outgoing> tick(double nowMillis) {
        return recovery.tick(nowMillis);
    }

    /** Handles a message of a candidate or of another voter and returns the answers. */
    List<Outgoing> handle(LeaseMessage message, double nowMillis) {
        return switch (message.kind()) {
            case RECOVER -> answerRecovery(message);
            case RECOVERED_RECORD, NO_RECORDS -> {
                if (recovery.expects(message)) {
                    handleRecoveryAnswer(message, nowMillis);
                }
                yield List.of();
            }
            default -> isVoting() ? answerCandidate(message, nowMillis) : List.of();
        };
    }

    private void handleRecoveryAnswer(LeaseMessage message, double nowMillis) {
        if (message.kind() == Kind.RECOVERED_RECORD && !message.leaseName().isEmpty()) {
            LeaseRecord current = records.getOrDefault(message.leaseName(), LeaseRecord.EMPTY);
            putUnsaved(message.leaseName(), current.merge(message));
        }
        recovery.handleAnswer(message, nowMillis);
    }

    private void putUnsaved(String leaseName, LeaseRecord leaseRecord) {
        records.put(leaseName, leaseRecord);
        unsavedRecords.put(leaseName, leaseRecord);
    }

    /** Returns one message for each record, and a final one with the number of records. */
    private List<Outgoing> answerRecovery(LeaseMessage request) {
        if (!recovery.hasCompleteRecords()) {
            return List.of(new Outgoing(request.sender(), recovery.noRecordsAnswer(request)));
        }
        List<Outgoing> out = new ArrayList<>();
        records.forEach((leaseName, current) -> out.add(new Outgoing(
                request.sender(),
                LeaseMessage.of(Kind.RECOVERED_RECORD, leaseName, dispatcher, 0, request.ballot())
                        .withHighestBallot(current.highestBallot(), 0)
                        .withState(current.acceptedBallot(), current.version(), current.state()))));
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
        boolean isGrantedToAnother = records.get(request.leaseName()).isGrantedToAnother(request.ballot(), nowMillis);
        return isGrantedToAnother ? refuse(request, nowMillis) : answer(request, reply(Kind.AVAILABLE, request));
    }

    private List<Outgoing> answerPrepare(LeaseMessage request, double nowMillis) {
        LeaseRecord current = records.get(request.leaseName());
        // An equal ballot comes from the same candidate, which repeats its request because the answer was lost.
        if (current.isGrantedToAnother(request.ballot(), nowMillis) || request.ballot() < current.promisedBallot()) {
            return refuse(request, nowMillis);
        }
        if (request.ballot() > current.promisedBallot()) {
            putUnsaved(request.leaseName(), current.withPromise(request.ballot()));
        }
        return answer(
                request,
                reply(Kind.PROMISED, request).withState(current.acceptedBallot(), current.version(), current.state()));
    }

    private List<Outgoing> answerAccept(LeaseMessage request, double nowMillis) {
        LeaseRecord current = records.get(request.leaseName());
        boolean isGrantedToAnother = current.isGrantedToAnother(request.ballot(), nowMillis);
        if (isGrantedToAnother || !current.mayAccept(request.ballot(), request.version())) {
            return refuse(request, nowMillis);
        }
        LeaseRecord accepted = current.withAccepted(request, nowMillis + parameters.leaseMillis());
        boolean isRenewal = request.ballot() == current.acceptedBallot() && request.version() == current.version();
        if (isRenewal) {
            // Grants are not stored, so a renewal needs no disk write.
            records.put(request.leaseName(), accepted);
        } else {
            putUnsaved(request.leaseName(), accepted);
        }
        return answer(
                request,
                reply(Kind.ACCEPTED, request).withState(request.ballot(), request.version(), LeaseMessage.EMPTY_STATE));
    }

    private void endGrant(LeaseMessage release) {
        LeaseRecord current = records.get(release.leaseName());
        if (current.grantedBallot() == release.ballot()) {
            records.put(release.leaseName(), current.withoutGrant());
        }
    }

    private List<Outgoing> refuse(LeaseMessage request, double nowMillis) {
        LeaseRecord current = records.get(request.leaseName());
        double remainingMillis =
                current.isGrantedToAnother(request.ballot(), nowMillis) ? current.grantedUntilMillis() - nowMillis : 0;
        return answer(
                request, reply(Kind.REFUSED, request).withHighestBallot(current.highestBallot(), remainingMillis));
    }

    private LeaseMessage reply(Kind kind, LeaseMessage request) {
        return LeaseMessage.of(kind, request.leaseName(), dispatcher, request.requestId(), request.ballot())
                .withHighestBallot(records.get(request.leaseName()).highestBallot(), 0);
    }

    private static List<Outgoing> answer(LeaseMessage request, LeaseMessage reply) {
        return List.of(new Outgoing(request.sender(), reply));
    }
}
