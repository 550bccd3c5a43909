package nettlewick.lease;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;
import nettlewick.lease.LeaseMessage.Kind;
import nettlewick.lease.LeaseMessage.Post;

/** Voters and two candidates with messages in any order, losses, doublings, a crash, pauses and drifting clocks. */
final class DutyWorld {
    static final String DUTY = "pool red";
    static final double LEASE = 1200;
    static final double DRIFT = 0.05;

    /** What a wrong program might do; each has to be found. */
    enum Bug {
        NONE,
        LEASE_TOO_LONG,
        FORGETFUL_VOTER_VOTES,
        GATE_OPEN,
        GRANTS_IGNORED,
        PROMISE_TELLS_NOTHING,
        LISTS_DIFFER,
        OLD_VERSION_STORED,
        A_VOTE_COUNTS_TWICE
    }

    final Bug bug;
    final LeaseTerms terms;
    final LeaseVoter[] voters;
    final LeaseCandidate[] seats = new LeaseCandidate[2];
    final List<Post> net = new ArrayList<>();
    /** By candidate: the fence under which it looked and may still act, after a pause of any length; 0: none. */
    final long[] looked = new long[2];

    private final long[] versions = new long[2];
    private final TreeMap<Long, String> stored;
    private final FenceGate gate = new FenceGate();
    private long lastAct;
    double now;
    int losses, doublings, crashes, changes, releases, lives;
    int acts, refused, holders;

    DutyWorld(int voters, Bug bug) {
        this.bug = bug;
        terms = new LeaseTerms(LEASE, bug == Bug.LEASE_TOO_LONG ? -0.4 : DRIFT);
        this.voters = new LeaseVoter[voters];
        stored = new TreeMap<>();
        for (int v = 0; v < voters; v++) {
            this.voters[v] = new LeaseVoter(v, all(), terms, 0, lives++).trusted();
        }
        seats[0] = new LeaseCandidate(DUTY, 0, 1, all(), terms, 0, 0);
        seats[1] = new LeaseCandidate(DUTY, 1, 2, bug == Bug.LISTS_DIFFER ? List.of(1) : all(), terms, 0, 0);
    }

    private List<Integer> all() {
        return java.util.stream.IntStream.range(0, voters.length).boxed().toList();
    }

    DutyWorld(DutyWorld w) {
        bug = w.bug;
        terms = w.terms;
        voters = Arrays.stream(w.voters).map(LeaseVoter::copy).toArray(LeaseVoter[]::new);
        for (int i = 0; i < 2; i++) {
            seats[i] = w.seats[i].copy();
            looked[i] = w.looked[i];
            versions[i] = w.versions[i];
        }
        net.addAll(w.net);
        stored = new TreeMap<>(w.stored);
        if (w.lastAct > 0) {
            gate.admits(DUTY, w.lastAct);
        }
        lastAct = w.lastAct;
        now = w.now;
        losses = w.losses;
        doublings = w.doublings;
        crashes = w.crashes;
        changes = w.changes;
        lives = w.lives;
        releases = w.releases;
    }

    /** Candidate 0's clock is slow, voters' are fast, candidate 1's is right: inside the bound. */
    private double seatClock(int seat) {
        return seat == 0 ? now * (1 - DRIFT / 2) : now;
    }

    private double voterClock() {
        return now * (1 + DRIFT / 2);
    }

    /** What may happen next, as words. */
    List<String> choices() {
        List<String> all = new ArrayList<>();
        for (int i = 0; i < net.size(); i++) {
            all.add("deliver " + i);
            if (losses > 0) {
                all.add("lose " + i);
            }
            if (doublings > 0) {
                all.add("double " + i);
            }
        }
        for (int s = 0; s < 2; s++) {
            all.add("tick " + s);
            if (seats[s].mayAct(seatClock(s)) && looked[s] == 0) {
                all.add("look " + s);
            }
            if (looked[s] != 0) {
                all.add("act " + s);
            }
            if (changes > 0 && seats[s].mayAct(seatClock(s)) && !seats[s].changing()) {
                all.add("change " + s);
            }
            if (releases > 0 && seats[s].stage() == LeaseCandidate.Stage.HOLDS) {
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
    String take(String choice) {
        String[] words = choice.split(" ");
        int n = words.length > 1 ? Integer.parseInt(words[1]) : 0;
        switch (words[0]) {
            case "deliver" -> deliver(net.remove(n));
            case "double" -> {
                doublings--;
                deliver(net.get(n));
            }
            case "lose" -> {
                losses--;
                net.remove(n);
            }
            case "tick" -> net.addAll(seats[n].tick(seatClock(n)));
            case "look" -> looked[n] = seats[n].fence();
            case "act" -> {
                String broken = act(n);
                if (broken != null) {
                    return broken;
                }
            }
            case "change" -> {
                changes--;
                seats[n].change(new byte[] {(byte) (10 * changes + n + 1)}, seatClock(n), net);
            }
            case "release" -> {
                net.addAll(seats[n].copy().retire(1 - n));
                releases--;
                seats[n] = new LeaseCandidate(
                        DUTY,
                        n,
                        10 + lives++,
                        bug == Bug.LISTS_DIFFER && n == 1 ? List.of(1) : all(),
                        terms,
                        1,
                        seatClock(n));
                versions[n] = 0;
            }
            case "crash" -> {
                crashes--;
                voters[n] = new LeaseVoter(n, all(), terms, voterClock(), 100 + lives++);
                if (bug == Bug.FORGETFUL_VOTER_VOTES) {
                    voters[n].trusted();
                }
            }
            default -> {
                now += LEASE / 5;
                for (LeaseVoter v : voters) {
                    net.addAll(v.tick(voterClock()));
                }
            }
        }
        return broken();
    }

    private String act(int s) {
        long fence = looked[s];
        looked[s] = 0;
        if (bug != Bug.GATE_OPEN && !gate.admits(DUTY, fence)) {
            refused++;
            return null;
        }
        acts++;
        boolean back = fence < lastAct;
        lastAct = Math.max(lastAct, fence);
        return back ? "an act under fence " + fence + " after one under " + lastAct : null;
    }

    private void deliver(Post p) {
        LeaseMessage m = p.message();
        switch (m.kind()) {
            case ASK, PREPARE, ACCEPT, RELEASE, RECALL, TOLD, BLANK -> {
                LeaseVoter.Register r = voters[p.to()].registers.get(m.duty());
                if (r != null && bug == Bug.GRANTS_IGNORED) {
                    r.until = Double.NEGATIVE_INFINITY;
                }
                if (r != null && bug == Bug.OLD_VERSION_STORED && m.kind() == Kind.ACCEPT && m.ballot() == r.held) {
                    r.version = 0;
                }
                net.addAll(voters[p.to()].hear(m, voterClock()));
            }
            default -> {
                LeaseMessage told = bug == Bug.PROMISE_TELLS_NOTHING && m.kind() == Kind.PROMISED
                        ? m.holding(0, 0, LeaseMessage.NOTHING)
                        : m;
                net.addAll(seats[p.to()].hear(told, seatClock(p.to())));
                if (bug == Bug.A_VOTE_COUNTS_TWICE) {
                    LeaseMessage other = new LeaseMessage(
                            m.kind(),
                            m.duty(),
                            (m.from() + 1) % voters.length,
                            m.echo(),
                            m.ballot(),
                            m.seen(),
                            m.left(),
                            m.held(),
                            m.version(),
                            m.state());
                    net.addAll(seats[p.to()].hear(other, seatClock(p.to())));
                }
            }
        }
    }

    /** The rules: one that may act at a time; a version that is stored is the same and known to all holders after. */
    private String broken() {
        if (seats[0].mayAct(seatClock(0)) && seats[1].mayAct(seatClock(1))) {
            return "two may act at " + now;
        }
        for (int s = 0; s < 2; s++) {
            if (seats[s].stage() != LeaseCandidate.Stage.HOLDS) {
                versions[s] = -1;
                continue;
            }
            long version = seats[s].version();
            String state = Arrays.toString(seats[s].state());
            if (versions[s] < 0) {
                holders++;
            }
            if (versions[s] < 0 && !stored.isEmpty() && seats[s].mayAct(seatClock(s)) && version < stored.lastKey()) {
                return "version " + stored.lastKey() + " is lost: a new holder has " + version;
            }
            if (versions[s] != version && version > 0) {
                String other = stored.putIfAbsent(version, state);
                if (other != null && !other.equals(state)) {
                    return "version " + version + " is " + state + " and was " + other;
                }
            }
            versions[s] = version;
        }
        return null;
    }

    /** All that matters for what may come: two worlds with one digest go on alike. */
    String digest() {
        StringBuilder text = new StringBuilder()
                .append(now)
                .append(losses)
                .append(doublings)
                .append(crashes)
                .append(changes)
                .append(lastAct)
                .append(Arrays.toString(looked))
                .append(stored);
        TreeSet<String> messages = new TreeSet<>();
        for (Post p : net) {
            LeaseMessage m = p.message();
            String one = p.to() + m.kind().name() + m.from() + "," + m.echo() + "," + m.ballot() + "," + m.seen() + ","
                    + m.left() + "," + m.held() + "," + m.version() + Arrays.toString(m.state());
            while (!messages.add(one)) {
                one += "+";
            }
        }
        text.append(messages);
        for (LeaseCandidate s : seats) {
            text.append(s.stage())
                    .append(s.fence())
                    .append(s.version())
                    .append(Arrays.toString(s.state()))
                    .append(s.digest());
        }
        for (LeaseVoter v : voters) {
            text.append(v.votes());
            v.registers.forEach((d, r) -> text.append(r.promised)
                    .append(',')
                    .append(r.held)
                    .append(',')
                    .append(r.version)
                    .append(Arrays.toString(r.state))
                    .append(r.granted)
                    .append(',')
                    .append(r.until));
        }
        return text.toString();
    }

    /** From here on faults stop: whether a holder is found and a change stored. */
    boolean ends() {
        for (int step = 0; step < 400; step++) {
            while (!net.isEmpty()) {
                if (take("deliver 0") != null) {
                    return false;
                }
            }
            for (int s = 0; s < 2; s++) {
                if (seats[s].mayAct(seatClock(s)) && !seats[s].changing()) {
                    long before = seats[s].version();
                    seats[s].change(new byte[] {99}, seatClock(s), net);
                    while (!net.isEmpty()) {
                        take("deliver 0");
                    }
                    return seats[s].version() == before + 1;
                }
                take("tick " + s);
            }
            take("time");
        }
        return false;
    }

    /** Mostly messages come, and time goes on in leaps long enough for leases to end; the rest is anything. */
    private String likely(SplittableRandom random) {
        int dice = random.nextInt(100);
        if (dice < 60 && !net.isEmpty()) {
            return "deliver " + (dice < 40 ? random.nextInt(Math.min(3, net.size())) : random.nextInt(net.size()));
        }
        if (leaps > 0 || dice < 64) {
            leaps = leaps > 0 ? leaps - 1 : random.nextInt(7);
            return "time";
        }
        if (dice < 76) {
            return "tick " + dice % 2;
        }
        List<String> choices = choices();
        if (dice > 96 && releases > 0) {
            int s = dice % 2;
            return seats[s].stage() == LeaseCandidate.Stage.HOLDS ? "release " + s : "tick " + s;
        }
        // Who has looked is mostly stopped for a while before it acts.
        String some = random.nextInt(8) == 0 ? "(look|act|change) ." : "(look|change) .";
        List<String> acting = choices.stream().filter(c -> c.matches(some)).toList();
        if (dice < 90 && !acting.isEmpty()) {
            return acting.get(random.nextInt(acting.size()));
        }
        return choices.get(random.nextInt(choices.size()));
    }

    private int leaps;

    /** One walk by chance; what it broke, or null. */
    static String walk(int voters, Bug bug, SplittableRandom random, int steps, DutyWorld[] end) {
        return walk(new DutyWorld(voters, bug), random, steps, end);
    }

    /** The same where no voter has any memory yet. */
    static String walkAnew(int voters, SplittableRandom random, int steps, DutyWorld[] end) {
        DutyWorld w = new DutyWorld(voters, Bug.NONE);
        for (int v = 0; v < voters; v++) {
            w.voters[v] = new LeaseVoter(v, w.all(), w.terms, 0, 100 + w.lives++);
        }
        return walk(w, random, steps, end);
    }

    private static String walk(DutyWorld w, SplittableRandom random, int steps, DutyWorld[] end) {
        Bug bug = w.bug;
        w.losses = random.nextInt(6);
        w.doublings = random.nextInt(4);
        w.crashes = bug == Bug.FORGETFUL_VOTER_VOTES ? 2 : random.nextInt(2);
        w.changes = 3;
        w.releases = random.nextInt(3);
        end[0] = w;
        for (int i = 0; i < steps; i++) {
            String broken = w.take(w.likely(random));
            if (broken != null) {
                return broken;
            }
        }
        return null;
    }
}
