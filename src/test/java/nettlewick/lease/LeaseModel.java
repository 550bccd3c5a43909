package nettlewick.lease;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;
import nettlewick.lease.LeaseMessage.Kind;
import nettlewick.lease.LeaseMessage.Outgoing;

/** Voters and two candidates with messages in any order, losses, doublings, a crash, pauses and drifting clocks. */
final class LeaseModel {
    static final String LEASE_NAME = "pool red";
    static final double LEASE_MILLIS = 1200;
    static final double MAX_CLOCK_DRIFT = 0.05;

    /** What a wrong program might do; each has to be found. */
    enum Bug {
        NONE,
        LEASE_TOO_LONG,
        FORGETFUL_VOTER_VOTES,
        FENCE_GATE_OPEN,
        GRANTS_IGNORED,
        PROMISE_OMITS_STATE,
        VOTER_LISTS_DIFFER,
        OLD_VERSION_STORED,
        VOTE_COUNTED_TWICE
    }

    final Bug bug;
    final LeaseTerms terms;
    final LeaseVoter[] voters;
    final LeaseCandidate[] candidates = new LeaseCandidate[2];
    final List<Outgoing> network = new ArrayList<>();
    /** By candidate: the fence under which it looked and may still act, after a pause of any length; 0: none. */
    final long[] observedFences = new long[2];

    private final long[] lastVersions = new long[2];
    private final TreeMap<Long, String> stored;
    private final FenceGate gate = new FenceGate();
    private long lastAct;
    double now;
    int losses, duplications, crashes, changes, releases, incarnations;
    int acts, rejectedActs, holders;

    LeaseModel(int voters, Bug bug) {
        this.bug = bug;
        terms = new LeaseTerms(LEASE_MILLIS, bug == Bug.LEASE_TOO_LONG ? -0.4 : MAX_CLOCK_DRIFT);
        this.voters = new LeaseVoter[voters];
        stored = new TreeMap<>();
        for (int v = 0; v < voters; v++) {
            this.voters[v] = new LeaseVoter(v, all(), terms, 0, incarnations++).startVoting();
        }
        candidates[0] = new LeaseCandidate(LEASE_NAME, 0, 1, all(), terms, 0, 0);
        candidates[1] =
                new LeaseCandidate(LEASE_NAME, 1, 2, bug == Bug.VOTER_LISTS_DIFFER ? List.of(1) : all(), terms, 0, 0);
    }

    private List<Integer> all() {
        return java.util.stream.IntStream.range(0, voters.length).boxed().toList();
    }

    LeaseModel(LeaseModel model) {
        bug = model.bug;
        terms = model.terms;
        voters = Arrays.stream(model.voters).map(LeaseVoter::copy).toArray(LeaseVoter[]::new);
        for (int i = 0; i < 2; i++) {
            candidates[i] = model.candidates[i].copy();
            observedFences[i] = model.observedFences[i];
            lastVersions[i] = model.lastVersions[i];
        }
        network.addAll(model.network);
        stored = new TreeMap<>(model.stored);
        if (model.lastAct > 0) {
            gate.admits(LEASE_NAME, model.lastAct);
        }
        lastAct = model.lastAct;
        now = model.now;
        losses = model.losses;
        duplications = model.duplications;
        crashes = model.crashes;
        changes = model.changes;
        incarnations = model.incarnations;
        releases = model.releases;
    }

    /** Candidate 0's clock is slow, voters' are fast, candidate 1's is right: inside the bound. */
    private double candidateClock(int candidate) {
        return candidate == 0 ? now * (1 - MAX_CLOCK_DRIFT / 2) : now;
    }

    private double voterClock() {
        return now * (1 + MAX_CLOCK_DRIFT / 2);
    }

    /** What may happen next, as words. */
    List<String> choices() {
        List<String> all = new ArrayList<>();
        for (int i = 0; i < network.size(); i++) {
            all.add("deliver " + i);
            if (losses > 0) {
                all.add("lose " + i);
            }
            if (duplications > 0) {
                all.add("double " + i);
            }
        }
        for (int s = 0; s < 2; s++) {
            all.add("tick " + s);
            if (candidates[s].mayAct(candidateClock(s)) && observedFences[s] == 0) {
                all.add("look " + s);
            }
            if (observedFences[s] != 0) {
                all.add("act " + s);
            }
            if (changes > 0 && candidates[s].mayAct(candidateClock(s)) && !candidates[s].isChangePending()) {
                all.add("change " + s);
            }
            if (releases > 0 && candidates[s].lifecycleState() == LeaseCandidate.State.HOLDING) {
                all.add("release " + s);
            }
        }
        if (crashes > 0) {
            for (int v = 0; v < voters.length; v++) {
                all.add("crash " + v);
            }
        }
        all.add("time");
        return all;
    }

    /** Does it, and says what rule it broke; null if none. */
    String apply(String choice) {
        String[] reports = choice.split(" ");
        int n = reports.length > 1 ? Integer.parseInt(reports[1]) : 0;
        switch (reports[0]) {
            case "deliver" -> deliver(network.remove(n));
            case "double" -> {
                duplications--;
                deliver(network.get(n));
            }
            case "lose" -> {
                losses--;
                network.remove(n);
            }
            case "tick" -> network.addAll(candidates[n].tick(candidateClock(n)));
            case "look" -> observedFences[n] = candidates[n].fence();
            case "act" -> {
                String broken = act(n);
                if (broken != null) {
                    return broken;
                }
            }
            case "change" -> {
                changes--;
                network.addAll(
                        candidates[n].proposeChange(new byte[] {(byte) (10 * changes + n + 1)}, candidateClock(n)));
            }
            case "release" -> {
                network.addAll(candidates[n].copy().retire(1 - n));
                releases--;
                candidates[n] = new LeaseCandidate(
                        LEASE_NAME,
                        n,
                        10 + incarnations++,
                        bug == Bug.VOTER_LISTS_DIFFER && n == 1 ? List.of(1) : all(),
                        terms,
                        1,
                        candidateClock(n));
                lastVersions[n] = 0;
            }
            case "crash" -> {
                crashes--;
                voters[n] = new LeaseVoter(n, all(), terms, voterClock(), 100 + incarnations++);
                if (bug == Bug.FORGETFUL_VOTER_VOTES) {
                    voters[n].startVoting();
                }
            }
            default -> {
                now += LEASE_MILLIS / 5;
                for (LeaseVoter v : voters) {
                    network.addAll(v.tick(voterClock()));
                }
            }
        }
        return findViolation();
    }

    private String act(int s) {
        long fence = observedFences[s];
        observedFences[s] = 0;
        if (bug != Bug.FENCE_GATE_OPEN && !gate.admits(LEASE_NAME, fence)) {
            rejectedActs++;
            return null;
        }
        acts++;
        boolean back = fence < lastAct;
        lastAct = Math.max(lastAct, fence);
        return back ? "an act under fence " + fence + " after one under " + lastAct : null;
    }

    private void deliver(Outgoing p) {
        LeaseMessage message = p.message();
        switch (message.kind()) {
            case QUERY, PREPARE, ACCEPT, RELEASE, RECOVER, RECOVERED_RECORD, NO_MEMORY -> {
                corruptRecord(voters[p.recipient()].records(), message);
                network.addAll(voters[p.recipient()].handle(message, voterClock()));
            }
            default -> {
                LeaseMessage told = bug == Bug.PROMISE_OMITS_STATE && message.kind() == Kind.PROMISED
                        ? message.withState(0, 0, LeaseMessage.EMPTY_STATE)
                        : message;
                network.addAll(candidates[p.recipient()].handle(told, candidateClock(p.recipient())));
                if (bug == Bug.VOTE_COUNTED_TWICE) {
                    LeaseMessage other = new LeaseMessage(
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
                    network.addAll(candidates[p.recipient()].handle(other, candidateClock(p.recipient())));
                }
            }
        }
    }

    /** Changes the receiver's record before it handles the message, as a faulty voter might. */
    private void corruptRecord(Map<String, LeaseRecord> records, LeaseMessage message) {
        LeaseRecord known = records.get(message.leaseName());
        if (known == null) {
            return;
        }
        if (bug == Bug.GRANTS_IGNORED) {
            records.put(message.leaseName(), known.withoutGrant());
        }
        if (bug == Bug.OLD_VERSION_STORED
                && message.kind() == Kind.ACCEPT
                && message.ballot() == known.acceptedBallot()) {
            LeaseRecord older = new LeaseRecord(
                    known.promisedBallot(),
                    known.acceptedBallot(),
                    0,
                    known.state(),
                    known.grantedBallot(),
                    known.grantedUntilMillis());
            records.put(message.leaseName(), older);
        }
    }

    /** The rules: one that may act at a time; a version that is stored is the same and known to all holders after. */
    private String findViolation() {
        if (candidates[0].mayAct(candidateClock(0)) && candidates[1].mayAct(candidateClock(1))) {
            return "two may act at " + now;
        }
        for (int s = 0; s < 2; s++) {
            if (candidates[s].lifecycleState() != LeaseCandidate.State.HOLDING) {
                lastVersions[s] = -1;
                continue;
            }
            long version = candidates[s].version();
            String state = Arrays.toString(candidates[s].state());
            if (lastVersions[s] < 0) {
                holders++;
            }
            if (lastVersions[s] < 0
                    && !stored.isEmpty()
                    && candidates[s].mayAct(candidateClock(s))
                    && version < stored.lastKey()) {
                return "version " + stored.lastKey() + " is lost: a new holder has " + version;
            }
            if (lastVersions[s] != version && version > 0) {
                String other = stored.putIfAbsent(version, state);
                if (other != null && !other.equals(state)) {
                    return "version " + version + " is " + state + " and was " + other;
                }
            }
            lastVersions[s] = version;
        }
        return null;
    }

    /** All that matters for what may come: two worlds with one digest go on alike. */
    String describeState() {
        StringBuilder text = new StringBuilder()
                .append(now)
                .append(losses)
                .append(duplications)
                .append(crashes)
                .append(changes)
                .append(lastAct)
                .append(Arrays.toString(observedFences))
                .append(stored);
        TreeSet<String> messages = new TreeSet<>();
        for (Outgoing p : network) {
            LeaseMessage message = p.message();
            String one = p.recipient() + message.kind().name() + message.sender() + "," + message.requestId() + ","
                    + message.ballot() + "," + message.highestBallot() + "," + message.remainingMillis() + ","
                    + message.acceptedBallot() + "," + message.version() + Arrays.toString(message.state());
            while (!messages.add(one)) {
                one += "+";
            }
        }
        text.append(messages);
        for (LeaseCandidate s : candidates) {
            text.append(s.lifecycleState())
                    .append(s.fence())
                    .append(s.version())
                    .append(Arrays.toString(s.state()))
                    .append(s.describeState());
        }
        for (LeaseVoter v : voters) {
            text.append(v.isVoting());
            v.records()
                    .forEach((name, known) -> text.append(known.promisedBallot())
                            .append(',')
                            .append(known.acceptedBallot())
                            .append(',')
                            .append(known.version())
                            .append(Arrays.toString(known.state()))
                            .append(known.grantedBallot())
                            .append(',')
                            .append(known.grantedUntilMillis()));
        }
        return text.toString();
    }

    /** From here on faults stop: whether a holder is found and a change stored. */
    boolean converges() {
        for (int step = 0; step < 400; step++) {
            while (!network.isEmpty()) {
                if (apply("deliver 0") != null) {
                    return false;
                }
            }
            for (int s = 0; s < 2; s++) {
                if (candidates[s].mayAct(candidateClock(s)) && !candidates[s].isChangePending()) {
                    long before = candidates[s].version();
                    network.addAll(candidates[s].proposeChange(new byte[] {99}, candidateClock(s)));
                    while (!network.isEmpty()) {
                        apply("deliver 0");
                    }
                    return candidates[s].version() == before + 1;
                }
                apply("tick " + s);
            }
            apply("time");
        }
        return false;
    }

    /** Mostly messages come, and time goes on in leaps long enough for leases to end; the rest is anything. */
    private String pickLikelyStep(SplittableRandom random) {
        int dice = random.nextInt(100);
        if (dice < 60 && !network.isEmpty()) {
            return "deliver "
                    + (dice < 40 ? random.nextInt(Math.min(3, network.size())) : random.nextInt(network.size()));
        }
        if (remainingLeaps > 0 || dice < 64) {
            remainingLeaps = remainingLeaps > 0 ? remainingLeaps - 1 : random.nextInt(7);
            return "time";
        }
        if (dice < 76) {
            return "tick " + dice % 2;
        }
        List<String> choices = choices();
        if (dice > 96 && releases > 0) {
            int s = dice % 2;
            return candidates[s].lifecycleState() == LeaseCandidate.State.HOLDING ? "release " + s : "tick " + s;
        }
        // Who has looked is mostly stopped for a while before it acts.
        String some = random.nextInt(8) == 0 ? "(look|act|change) ." : "(look|change) .";
        List<String> acting = choices.stream().filter(c -> c.matches(some)).toList();
        if (dice < 90 && !acting.isEmpty()) {
            return acting.get(random.nextInt(acting.size()));
        }
        return choices.get(random.nextInt(choices.size()));
    }

    private int remainingLeaps;

    /** One walk by chance; what it broke, or null. */
    static String walk(int voters, Bug bug, SplittableRandom random, int steps, LeaseModel[] end) {
        return walk(new LeaseModel(voters, bug), random, steps, end);
    }

    /** The same where no voter has any memory yet. */
    static String walkFromEmptyVoters(int voters, SplittableRandom random, int steps, LeaseModel[] end) {
        LeaseModel model = new LeaseModel(voters, Bug.NONE);
        for (int v = 0; v < voters; v++) {
            model.voters[v] = new LeaseVoter(v, model.all(), model.terms, 0, 100 + model.incarnations++);
        }
        return walk(model, random, steps, end);
    }

    private static String walk(LeaseModel model, SplittableRandom random, int steps, LeaseModel[] end) {
        Bug bug = model.bug;
        model.losses = random.nextInt(6);
        model.duplications = random.nextInt(4);
        model.crashes = bug == Bug.FORGETFUL_VOTER_VOTES ? 2 : random.nextInt(2);
        model.changes = 3;
        model.releases = random.nextInt(3);
        end[0] = model;
        for (int i = 0; i < steps; i++) {
            String broken = model.apply(model.pickLikelyStep(random));
            if (broken != null) {
                return broken;
            }
        }
        return null;
    }
}
