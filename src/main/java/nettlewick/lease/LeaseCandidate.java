package nettlewick.lease;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import nettlewick.lease.LeaseMessage.Kind;
import nettlewick.lease.LeaseMessage.Post;

/**
 * One dispatcher's part in one duty: a candidate, or its holder (docs/duties.md). Times are milliseconds of
 * its own monotonic clock, handed in. Pure.
 */
final class LeaseCandidate {
    /** What it is at; RETIRED holds back for good. */
    enum Stage {
        WAITS,
        ASKS,
        PREPARES,
        TAKES,
        HOLDS,
        RETIRED
    }

    /** A question that is not answered is put again after this part of a lease. */
    private static final double PATIENCE = 1.0 / 6;
    /** A question on the way to a holding is put so often to those that have not answered. */
    private static final int PUTS = 4;

    private static final double AGAIN = PATIENCE / 2;
    private static final double RENEW = 1.0 / 3;

    private final String duty;
    private final int number;
    private final int life;
    private final List<Integer> voters;
    private final LeaseTerms terms;
    private final double turn;

    private Stage stage = Stage.WAITS;
    private double nextAt;
    private double askedAt;
    private LeaseMessage asked;
    private int puts;
    /** When this ballot was prepared: one that has not come through within a lease is dropped. */
    private double preparedAt;

    private long echo;
    private long highest;
    private long ballot;
    private double until = Double.NEGATIVE_INFINITY;
    private double confirmedAt = Double.NEGATIVE_INFINITY;
    private final Map<Integer, LeaseMessage> answers = new HashMap<>();
    private double longestLeft;
    /** What a majority has stored, and what is on its way there. */
    private long version;

    private byte[] state = LeaseMessage.NOTHING;
    private byte[] wanted;

    /**
     * @param life a number of this process's own, drawn at random below {@link LeaseMessage#LIVES}
     * @param turn its place in the duty's order, from 0: later ones leave earlier ones the time to stand
     * @param now  when it begins to look
     */
    LeaseCandidate(String duty, int number, int life, List<Integer> voters, LeaseTerms terms, int turn, double now) {
        this.life = life;
        echo = (long) life << Integer.SIZE;
        ballot = LeaseMessage.ballot(0, life, number);
        this.duty = duty;
        this.number = number;
        this.voters = voters;
        this.terms = terms;
        this.turn = turn;
        nextAt = now + turn * terms.lease() / 2;
    }

    LeaseCandidate copy() {
        LeaseCandidate s = new LeaseCandidate(duty, number, life, voters, terms, (int) turn, 0);
        s.stage = stage;
        s.nextAt = nextAt;
        s.askedAt = askedAt;
        s.asked = asked;
        s.puts = puts;
        s.preparedAt = preparedAt;
        s.echo = echo;
        s.highest = highest;
        s.ballot = ballot;
        s.until = until;
        s.confirmedAt = confirmedAt;
        s.answers.putAll(answers);
        s.longestLeft = longestLeft;
        s.version = version;
        s.state = state;
        s.wanted = wanted;
        return s;
    }

    /** All that decides what it does next, for a search that tells states apart. */
    String digest() {
        return stage + " " + nextAt + " " + askedAt + " " + puts + " " + preparedAt + " " + echo + " "
                + highest + " " + ballot + " " + until + " " + confirmedAt + " " + answers.keySet() + " "
                + version + " " + java.util.Arrays.toString(wanted);
    }

    Stage stage() {
        return stage;
    }

    /** Whether it may act now; to be asked right before each act. */
    boolean mayAct(double now) {
        return stage == Stage.HOLDS && now < until;
    }

    /** Its fence while it holds. */
    long fence() {
        return ballot;
    }

    long version() {
        return version;
    }

    /** The state as a majority has stored it. */
    byte[] state() {
        return state;
    }

    /** Whether a change is on its way: the next one waits for it. */
    boolean changing() {
        return wanted != null;
    }

    /**
     * The next version of the state; it counts once {@link #changing} is false while this holds on. Nothing
     * happens, and false comes back, where this may not act or a change is on its way.
     */
    boolean change(byte[] next, double now, List<Post> out) {
        if (!mayAct(now) || wanted != null) {
            return false;
        }
        wanted = next;
        ask(Kind.ACCEPT, now, out);
        return true;
    }

    /** A higher fence than its own was seen: it gives the duty back, and stands again above that one. */
    List<Post> outdo(long fence, double now) {
        List<Post> out = new ArrayList<>();
        if (stage != Stage.RETIRED && fence >= ballot) {
            voters.forEach(v -> out.add(new Post(v, LeaseMessage.of(Kind.RELEASE, duty, number, 0, ballot))));
            highest = Math.max(highest, fence);
            waits(now);
        }
        return out;
    }

    /** A planned end: the grant is given back, and the next in order told. It does not stand again. */
    List<Post> retire(int successor) {
        List<Post> out = new ArrayList<>();
        if (stage == Stage.HOLDS) {
            voters.forEach(v -> out.add(new Post(v, LeaseMessage.of(Kind.RELEASE, duty, number, 0, ballot))));
            out.add(new Post(successor, LeaseMessage.of(Kind.HANDOVER, duty, number, 0, ballot)));
        }
        stage = Stage.RETIRED;
        until = Double.NEGATIVE_INFINITY;
        return out;
    }

    /** What is due: to be called some times in each sixth of a lease. */
    List<Post> tick(double now) {
        List<Post> out = new ArrayList<>();
        if (stage == Stage.RETIRED) {
            return out;
        }
        if (stage == Stage.HOLDS && now >= until) {
            waits(now + terms.lease() * RENEW);
        } else if (stage == Stage.HOLDS) {
            boolean open = wanted != null || askedAt > confirmedAt;
            if (now - askedAt >= terms.lease() * (open ? PATIENCE : RENEW)) {
                ask(Kind.ACCEPT, now, out);
            }
        } else if (stage == Stage.WAITS && now >= nextAt) {
            stage = Stage.ASKS;
            ask(Kind.ASK, now, out);
        } else if (stage != Stage.WAITS && puts < PUTS && now - askedAt >= terms.lease() * AGAIN * puts) {
            put(out);
        } else if (stage != Stage.WAITS && now - askedAt >= terms.lease() * AGAIN * PUTS) {
            // Danger: two that stand at once refuse one another for good, if both come again together.
            waits(now + terms.lease() * (turn + 1) / 4);
        }
        return out;
    }

    private void waits(double at) {
        stage = Stage.WAITS;
        nextAt = at;
        until = Double.NEGATIVE_INFINITY;
        wanted = null;
    }

    private void ask(Kind kind, double now, List<Post> out) {
        echo++;
        answers.clear();
        longestLeft = 0;
        askedAt = now;
        LeaseMessage m = LeaseMessage.of(kind, duty, number, echo, ballot);
        if (kind == Kind.ACCEPT) {
            m = m.holding(ballot, wanted == null ? version : version + 1, wanted == null ? state : wanted);
        }
        asked = m;
        puts = 0;
        put(out);
    }

    /**
     * The same question to all that have not answered it. A lease counts from when it was put first, so that
     * no voter's grant can end before it.
     */
    private void put(List<Post> out) {
        puts++;
        for (int v : voters) {
            if (!answers.containsKey(v)) {
                out.add(new Post(v, asked));
            }
        }
    }

    List<Post> hear(LeaseMessage m, double now) {
        List<Post> out = new ArrayList<>();
        highest = Math.max(highest, m.seen());
        if (stage == Stage.RETIRED || !voters.contains(m.from()) && m.kind() != Kind.HANDOVER) {
            return out;
        }
        if (m.kind() == Kind.HANDOVER) {
            highest = Math.max(highest, m.ballot());
            if (stage != Stage.HOLDS) {
                stage = Stage.PREPARES;
                prepare(now, out);
            }
            return out;
        }
        if (stage == Stage.HOLDS && now >= until) {
            // Danger: a late word would renew what has ended already, and one fence would count two holdings.
            waits(now + terms.lease() * RENEW);
        }
        if (m.echo() != echo || m.ballot() != ballot) {
            return out;
        }
        longestLeft = Math.max(longestLeft, m.left());
        if (m.kind() == Kind.REFUSED) {
            refused(m, now);
            return out;
        }
        answers.put(m.from(), m);
        if (answers.size() < terms.majority(voters.size())) {
            return out;
        }
        if (stage == Stage.ASKS && m.kind() == Kind.FREE) {
            stage = Stage.PREPARES;
            prepare(now, out);
        } else if (stage == Stage.PREPARES && m.kind() == Kind.PROMISED) {
            take(now, out);
        } else if ((stage == Stage.TAKES || stage == Stage.HOLDS) && m.kind() == Kind.ACCEPTED) {
            accepted(now);
        }
        return out;
    }

    private void prepare(double now, List<Post> out) {
        ballot = LeaseMessage.ballot(LeaseMessage.counter(highest) + 1, life, number);
        highest = ballot;
        preparedAt = now;
        ask(Kind.PREPARE, now, out);
    }

    /** The newest that a majority told goes on under the own ballot. */
    private void take(double now, List<Post> out) {
        long held = 0;
        version = 0;
        state = LeaseMessage.NOTHING;
        for (LeaseMessage told : answers.values()) {
            if (told.held() > held || told.held() == held && told.version() > version) {
                held = told.held();
                version = told.version();
                state = told.state();
            }
        }
        stage = Stage.TAKES;
        ask(Kind.ACCEPT, now, out);
    }

    private void accepted(double now) {
        if (stage == Stage.TAKES && now - preparedAt > terms.lease()) {
            waits(now + terms.lease() * (turn + 1) / 4);
            return;
        }
        stage = Stage.HOLDS;
        // Counted from before it asked: the voters count from later.
        until = Math.max(until, askedAt + terms.counted());
        confirmedAt = askedAt;
        if (wanted != null) {
            version++;
            state = wanted;
            wanted = null;
        }
        answers.clear();
        echo++;
    }

    private void refused(LeaseMessage m, double now) {
        if (stage == Stage.HOLDS) {
            // Another has a higher ballot: this one's lease may run on, but a change under it may not pass.
            return;
        }
        waits(now + Math.max(m.left(), terms.lease() / 8) + turn * terms.lease() / 8);
    }
}
