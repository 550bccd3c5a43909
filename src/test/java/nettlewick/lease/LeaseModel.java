package nettlewick.lease;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.stream.IntStream;
import nettlewick.lease.LeaseMessage.Kind;
import nettlewick.lease.LeaseMessage.Outgoing;
import nettlewick.lease.LeaseModelStep.Action;

/**
 * A model of voters and two candidates whose messages arrive in any order, with losses, duplicates, crashes, pauses and
 * drifting clocks. Applies one step at a time and checks the invariants after each.
 */
final class LeaseModel {
    private static final String LEASE_NAME = "pool red";
    private static final double LEASE_MILLIS = 1200;
    private static final double MAX_CLOCK_DRIFT = 0.05;
    private static final double TIME_STEP_MILLIS = LEASE_MILLIS / 5;
    private static final int CANDIDATES = 2;
    private static final int MAX_CONVERGENCE_STEPS = 400;

    private final SeededBug bug;
    private final LeaseParameters parameters;
    private final LeaseVoter[] voters;
    private final LeaseCandidate[] candidates = new LeaseCandidate[CANDIDATES];
    private final List<Outgoing> network = new ArrayList<>();
    /** By candidate: the fence that it has observed and may still act under; 0 for none. */
    private final long[] observedFences = new long[CANDIDATES];

    private final LeaseInvariants invariants;
    private final FenceGate gate = new FenceGate();
    private long highestActedFence;
    private double now;
    private int nextIncarnation;

    private int remainingLosses;
    private int remainingDuplicates;
    private int remainingCrashes;
    private int remainingChanges;
    private int remainingReleases;

    private int actCount;
    private int rejectedActCount;

    LeaseModel(int voterCount, SeededBug bug) {
        this.bug = bug;
        parameters = new LeaseParameters(LEASE_MILLIS, bug == SeededBug.LEASE_TOO_LONG ? -0.4 : MAX_CLOCK_DRIFT);
        voters = new LeaseVoter[voterCount];
        invariants = new LeaseInvariants(CANDIDATES);
        for (int v = 0; v < voterCount; v++) {
            voters[v] = new LeaseVoter(v, voterNumbers(), parameters, 0, nextIncarnation++).startVoting();
        }
        candidates[0] = new LeaseCandidate(LEASE_NAME, 0, 1, votersKnownTo(0), parameters, 0, 0);
        candidates[1] = new LeaseCandidate(LEASE_NAME, 1, 2, votersKnownTo(1), parameters, 0, 0);
    }

    /** Creates a tier whose voters all start without records. */
    static LeaseModel withEmptyVoters(int voterCount) {
        LeaseModel model = new LeaseModel(voterCount, SeededBug.NONE);
        for (int v = 0; v < voterCount; v++) {
            model.voters[v] =
                    new LeaseVoter(v, model.voterNumbers(), model.parameters, 0, 100 + model.nextIncarnation++);
        }
        return model;
    }

    private List<Integer> voterNumbers() {
        return IntStream.range(0, voters.length).boxed().toList();
    }

    private List<Integer> votersKnownTo(int candidate) {
        return bug == SeededBug.VOTER_LISTS_DIFFER && candidate == 1 ? List.of(1) : voterNumbers();
    }

    /** Creates an independent copy, whose counts of operations and holders start at 0. */
    LeaseModel(LeaseModel model) {
        bug = model.bug;
        parameters = model.parameters;
        voters = Arrays.stream(model.voters).map(LeaseVoter::copy).toArray(LeaseVoter[]::new);
        for (int i = 0; i < CANDIDATES; i++) {
            candidates[i] = model.candidates[i].copy();
            observedFences[i] = model.observedFences[i];
        }
        network.addAll(model.network);
        invariants = model.invariants.copy();
        if (model.highestActedFence > 0) {
            gate.admits(LEASE_NAME, model.highestActedFence);
        }
        highestActedFence = model.highestActedFence;
        now = model.now;
        remainingLosses = model.remainingLosses;
        remainingDuplicates = model.remainingDuplicates;
        remainingCrashes = model.remainingCrashes;
        remainingChanges = model.remainingChanges;
        nextIncarnation = model.nextIncarnation;
        remainingReleases = model.remainingReleases;
    }

    /** Sets how many more messages may be lost and duplicated, and how many more voters may crash. */
    LeaseModel allowFaults(int losses, int duplicates, int crashes) {
        remainingLosses = losses;
        remainingDuplicates = duplicates;
        remainingCrashes = crashes;
        return this;
    }

    /** Sets how many more changes holders may propose, and how often they may still release the lease. */
    LeaseModel allowHolderSteps(int changes, int releases) {
        remainingChanges = changes;
        remainingReleases = releases;
        return this;
    }

    SeededBug bug() {
        return bug;
    }

    int messagesInFlight() {
        return network.size();
    }

    boolean mayRelease() {
        return remainingReleases > 0;
    }

    boolean isHolding(int candidate) {
        return candidates[candidate].lifecycleState() == LeaseCandidate.State.HOLDING;
    }

    int actCount() {
        return actCount;
    }

    int rejectedActCount() {
        return rejectedActCount;
    }

    int holderCount() {
        return invariants.holderCount();
    }

    /** Candidate 0's clock is slow, the voters' clocks are fast and candidate 1's is exact, within the drift bound. */
    private double candidateClock(int candidate) {
        return candidate == 0 ? now * (1 - MAX_CLOCK_DRIFT / 2) : now;
    }

    private double voterClock() {
        return now * (1 + MAX_CLOCK_DRIFT / 2);
    }

    private boolean mayAct(int candidate) {
        return candidates[candidate].mayAct(candidateClock(candidate));
    }

    /** Returns each step that may happen next. */
    List<LeaseModelStep> choices() {
        List<LeaseModelStep> steps = new ArrayList<>();
        for (int i = 0; i < network.size(); i++) {
            steps.add(new LeaseModelStep(Action.DELIVER, i));
            addIf(remainingLosses > 0, Action.DROP, i, steps);
            addIf(remainingDuplicates > 0, Action.DUPLICATE, i, steps);
        }
        for (int c = 0; c < CANDIDATES; c++) {
            steps.add(new LeaseModelStep(Action.TICK, c));
            addIf(mayAct(c) && observedFences[c] == 0, Action.OBSERVE_FENCE, c, steps);
            addIf(observedFences[c] != 0, Action.ACT, c, steps);
            addIf(remainingChanges > 0 && mayAct(c) && !candidates[c].isChangePending(), Action.CHANGE, c, steps);
            addIf(remainingReleases > 0 && isHolding(c), Action.RELEASE, c, steps);
        }
        for (int v = 0; v < voters.length; v++) {
            addIf(remainingCrashes > 0, Action.CRASH, v, steps);
        }
        steps.add(LeaseModelStep.PASS_TIME);
        return steps;
    }

    private static void addIf(boolean isPossible, LeaseModelStep.Action action, int index, List<LeaseModelStep> steps) {
        if (isPossible) {
            steps.add(new LeaseModelStep(action, index));
        }
    }

    /** Applies a step and returns a description of the invariant that it violated, or null. */
    String apply(LeaseModelStep step) {
        int index = step.index();
        switch (step.action()) {
            case DELIVER -> deliver(network.remove(index));
            case DUPLICATE -> {
                remainingDuplicates--;
                deliver(network.get(index));
            }
            case DROP -> {
                remainingLosses--;
                network.remove(index);
            }
            case TICK -> network.addAll(candidates[index].tick(candidateClock(index)));
            case OBSERVE_FENCE -> observedFences[index] = candidates[index].fence();
            case ACT -> {
                String violation = act(index);
                if (violation != null) {
                    return violation;
                }
            }
            case CHANGE -> {
                remainingChanges--;
                byte[] state = {(byte) (10 * remainingChanges + index + 1)};
                network.addAll(candidates[index].proposeChange(state, candidateClock(index)));
            }
            case RELEASE -> release(index);
            case CRASH -> crash(index);
            case PASS_TIME -> passTime();
        }
        return findViolation();
    }

    /** Shuts the candidate down and restarts it with another incarnation. */
    private void release(int candidate) {
        network.addAll(candidates[candidate].copy().retire(1 - candidate));
        remainingReleases--;
        candidates[candidate] = new LeaseCandidate(
                LEASE_NAME,
                candidate,
                10 + nextIncarnation++,
                votersKnownTo(candidate),
                parameters,
                1,
                candidateClock(candidate));
        invariants.candidateRestarted(candidate);
    }

    /** Restarts the voter without its records. */
    private void crash(int voter) {
        remainingCrashes--;
        voters[voter] = new LeaseVoter(voter, voterNumbers(), parameters, voterClock(), 100 + nextIncarnation++);
        if (bug == SeededBug.VOTER_WITHOUT_RECORDS_VOTES) {
            voters[voter].startVoting();
        }
    }

    private void passTime() {
        now += TIME_STEP_MILLIS;
        for (LeaseVoter voter : voters) {
            network.addAll(voter.tick(voterClock()));
        }
    }

    private String act(int candidate) {
        long fence = observedFences[candidate];
        observedFences[candidate] = 0;
        if (bug != SeededBug.FENCES_NOT_CHECKED && !gate.admits(LEASE_NAME, fence)) {
            rejectedActCount++;
            return null;
        }
        actCount++;
        boolean isStale = fence < highestActedFence;
        highestActedFence = Math.max(highestActedFence, fence);
        return isStale ? "an operation under fence " + fence + " after one under " + highestActedFence : null;
    }

    private void deliver(Outgoing outgoing) {
        int recipient = outgoing.recipient();
        LeaseMessage message = outgoing.message();
        if (message.isForVoter()) {
            corruptRecord(voters[recipient].records(), message);
            network.addAll(voters[recipient].handle(message, voterClock()));
            return;
        }
        boolean omitsState = bug == SeededBug.PROMISE_OMITS_STATE && message.kind() == Kind.PROMISED;
        LeaseMessage delivered = omitsState ? message.withState(0, 0, LeaseMessage.EMPTY_STATE) : message;
        network.addAll(candidates[recipient].handle(delivered, candidateClock(recipient)));
        if (bug == SeededBug.VOTE_COUNTED_TWICE) {
            network.addAll(candidates[recipient].handle(asFromNextVoter(message), candidateClock(recipient)));
        }
    }

    private LeaseMessage asFromNextVoter(LeaseMessage message) {
        return new LeaseMessage(
                message.kind(),
                message.leaseName(),
                (message.sender() + 1) % voters.length,
                message.requestId(),
                message.ballot(),
                message.highestBallot(),
                message.remainingMillis(),
                message.acceptedBallot(),
                message.version(),
                message.state());
    }

    /** Corrupts the receiver's record before it handles the message, as a faulty voter might. */
    private void corruptRecord(Map<String, LeaseRecord> records, LeaseMessage message) {
        LeaseRecord current = records.get(message.leaseName());
        if (current == null) {
            return;
        }
        if (bug == SeededBug.GRANTS_IGNORED) {
            records.put(message.leaseName(), current.withoutGrant());
        }
        if (bug == SeededBug.OLD_VERSION_STORED
                && message.kind() == Kind.ACCEPT
                && message.ballot() == current.acceptedBallot()) {
            LeaseRecord older = new LeaseRecord(
                    current.promisedBallot(),
                    current.acceptedBallot(),
                    0,
                    current.state(),
                    current.grantedBallot(),
                    current.grantedUntilMillis());
            records.put(message.leaseName(), older);
        }
    }

    private String findViolation() {
        if (mayAct(0) && mayAct(1)) {
            return "both candidates may act at " + now;
        }
        for (int c = 0; c < CANDIDATES; c++) {
            String violation = invariants.check(c, candidates[c], mayAct(c));
            if (violation != null) {
                return violation;
            }
        }
        return null;
    }

    /** Describes all that determines later behaviour: two models with the same description behave alike. */
    String describeState() {
        StringBuilder text = new StringBuilder()
                .append(now)
                .append(remainingLosses)
                .append(remainingDuplicates)
                .append(remainingCrashes)
                .append(remainingChanges)
                .append(highestActedFence)
                .append(Arrays.toString(observedFences))
                .append(invariants.storedStates());
        TreeSet<String> messages = new TreeSet<>();
        for (Outgoing outgoing : network) {
            String description = describe(outgoing.recipient(), outgoing.message());
            while (!messages.add(description)) {
                description += "+";
            }
        }
        text.append(messages);
        for (LeaseCandidate candidate : candidates) {
            text.append(candidate.lifecycleState())
                    .append(candidate.fence())
                    .append(candidate.version())
                    .append(Arrays.toString(candidate.state()))
                    .append(candidate.describeState());
        }
        for (LeaseVoter voter : voters) {
            text.append(voter.isVoting());
            voter.records().values().forEach(leaseRecord -> text.append(describe(leaseRecord)));
        }
        return text.toString();
    }

    private static String describe(int recipient, LeaseMessage message) {
        return recipient + message.kind().name() + message.sender() + "," + message.requestId() + ","
                + message.ballot() + "," + message.highestBallot() + "," + message.remainingMillis() + ","
                + message.acceptedBallot() + "," + message.version() + Arrays.toString(message.state());
    }

    private static String describe(LeaseRecord leaseRecord) {
        return leaseRecord.promisedBallot() + "," + leaseRecord.acceptedBallot() + "," + leaseRecord.version()
                + Arrays.toString(leaseRecord.state()) + leaseRecord.grantedBallot() + ","
                + leaseRecord.grantedUntilMillis();
    }

    /** Whether a candidate acquires the lease and stores a change once no more faults happen. */
    boolean converges() {
        LeaseModelStep deliverFirst = new LeaseModelStep(Action.DELIVER, 0);
        for (int i = 0; i < MAX_CONVERGENCE_STEPS; i++) {
            while (!network.isEmpty()) {
                if (apply(deliverFirst) != null) {
                    return false;
                }
            }
            for (int c = 0; c < CANDIDATES; c++) {
                if (mayAct(c) && !candidates[c].isChangePending()) {
                    long versionBefore = candidates[c].version();
                    network.addAll(candidates[c].proposeChange(new byte[] {99}, candidateClock(c)));
                    while (!network.isEmpty()) {
                        apply(deliverFirst);
                    }
                    return candidates[c].version() == versionBefore + 1;
                }
                apply(new LeaseModelStep(Action.TICK, c));
            }
            apply(LeaseModelStep.PASS_TIME);
        }
        return false;
    }
}
