package nettlewick.lease;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import nettlewick.lease.LeaseMessage.Kind;
import nettlewick.lease.LeaseMessage.Outgoing;

/**
 * One dispatcher's part in one duty: a candidate, or its holder (docs/duties.md). Times are milliseconds of
 * its own monotonic clock, handed in. Pure.
 */
final class LeaseCandidate {
    /** What it is at; RETIRED holds back for good. */
    enum State {
        WAITING,
        QUERYING,
        PREPARING,
        ACCEPTING,
        HOLDING,
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

    private State stage = State.WAITING;
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

    private byte[] state = LeaseMessage.EMPTY_STATE;
    private byte[] wanted;

    /**
     * @param life a number of this process's own, drawn at random below {@link LeaseMessage#INCARNATION_LIMIT}
     * @param turn its place in the duty's order, from 0: later ones leave earlier ones the time to stand
     * @param now  when it begins to look
     */
    LeaseCandidate(
            String leaseName,
            int number,
            int incarnation,
            List<Integer> voters,
            LeaseTerms terms,
            int turn,
            double now) {
        this.life = incarnation;
        echo = (long) incarnation << Integer.SIZE;
        ballot = LeaseMessage.ballot(0, incarnation, number);
        this.duty = leaseName;
        this.number = number;
        this.voters = voters;
        this.terms = terms;
        this.turn = turn;
        nextAt = now + turn * terms.leaseMillis() / 2;
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
    String describeState() {
        return stage + " " + nextAt + " " + askedAt + " " + puts + " " + preparedAt + " " + echo + " "
                + highest + " " + ballot + " " + until + " " + confirmedAt + " " + answers.keySet() + " "
                + version + " " + java.util.Arrays.toString(wanted);
    }

    State lifecycleState() {
        return stage;
    }

    /** Whether it may act now; to be asked right before each act. */
    boolean mayAct(double now) {
        return stage == State.HOLDING && now < until;
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
    boolean isChangePending() {
        return wanted != null;
    }

    /**
     * The next version of the state; it counts once {@link #changing} is false while this holds on. Nothing
     * happens, and false comes back, where this may not act or a change is on its way.
     */
    boolean proposeChange(byte[] next, double now, List<Outgoing> out) {
        if (!mayAct(now) || wanted != null) {
            return false;
        }
        wanted = next;
        startRequest(Kind.ACCEPT, now, out);
        return true;
    }

    /** A higher fence than its own was seen: it gives the duty back, and stands again above that one. */
    List<Outgoing> yieldToHigherFence(long fence, double now) {
        List<Outgoing> out = new ArrayList<>();
        if (stage != State.RETIRED && fence >= ballot) {
            voters.forEach(v -> out.add(new Outgoing(v, LeaseMessage.of(Kind.RELEASE, duty, number, 0, ballot))));
            highest = Math.max(highest, fence);
            waitUntil(now);
        }
        return out;
    }

    /** A planned end: the grant is given back, and the next in order told. It does not stand again. */
    List<Outgoing> retire(int successor) {
        List<Outgoing> out = new ArrayList<>();
        if (stage == State.HOLDING) {
            voters.forEach(v -> out.add(new Outgoing(v, LeaseMessage.of(Kind.RELEASE, duty, number, 0, ballot))));
            out.add(new Outgoing(successor, LeaseMessage.of(Kind.HANDOVER, duty, number, 0, ballot)));
        }
        stage = State.RETIRED;
        until = Double.NEGATIVE_INFINITY;
        return out;
    }

    /** What is due: to be called some times in each sixth of a lease. */
    List<Outgoing> tick(double now) {
        List<Outgoing> out = new ArrayList<>();
        if (stage == State.RETIRED) {
            return out;
        }
        if (stage == State.HOLDING && now >= until) {
            waitUntil(now + terms.leaseMillis() * RENEW);
        } else if (stage == State.HOLDING) {
            boolean open = wanted != null || askedAt > confirmedAt;
            if (now - askedAt >= terms.leaseMillis() * (open ? PATIENCE : RENEW)) {
                startRequest(Kind.ACCEPT, now, out);
            }
        } else if (stage == State.WAITING && now >= nextAt) {
            stage = State.QUERYING;
            startRequest(Kind.QUERY, now, out);
        } else if (stage != State.WAITING && puts < PUTS && now - askedAt >= terms.leaseMillis() * AGAIN * puts) {
            transmit(out);
        } else if (stage != State.WAITING && now - askedAt >= terms.leaseMillis() * AGAIN * PUTS) {
            // Danger: two that stand at once refuse one another for good, if both come again together.
            waitUntil(now + terms.leaseMillis() * (turn + 1) / 4);
        }
        return out;
    }

    private void waitUntil(double at) {
        stage = State.WAITING;
        nextAt = at;
        until = Double.NEGATIVE_INFINITY;
        wanted = null;
    }

    private void startRequest(Kind kind, double now, List<Outgoing> out) {
        echo++;
        answers.clear();
        longestLeft = 0;
        askedAt = now;
        LeaseMessage message = LeaseMessage.of(kind, duty, number, echo, ballot);
        if (kind == Kind.ACCEPT) {
            message =
                    message.withState(ballot, wanted == null ? version : version + 1, wanted == null ? state : wanted);
        }
        asked = message;
        puts = 0;
        transmit(out);
    }

    /**
     * The same question to all that have not answered it. A lease counts from when it was put first, so that
     * no voter's grant can end before it.
     */
    private void transmit(List<Outgoing> out) {
        puts++;
        for (int v : voters) {
            if (!answers.containsKey(v)) {
                out.add(new Outgoing(v, asked));
            }
        }
    }

    List<Outgoing> handle(LeaseMessage message, double now) {
        List<Outgoing> out = new ArrayList<>();
        highest = Math.max(highest, message.highestBallot());
        if (stage == State.RETIRED || !voters.contains(message.sender()) && message.kind() != Kind.HANDOVER) {
            return out;
        }
        if (message.kind() == Kind.HANDOVER) {
            highest = Math.max(highest, message.ballot());
            if (stage != State.HOLDING) {
                stage = State.PREPARING;
                prepare(now, out);
            }
            return out;
        }
        if (stage == State.HOLDING && now >= until) {
            // Danger: a late word would renew what has ended already, and one fence would count two holdings.
            waitUntil(now + terms.leaseMillis() * RENEW);
        }
        if (message.requestId() != echo || message.ballot() != ballot) {
            return out;
        }
        longestLeft = Math.max(longestLeft, message.remainingMillis());
        if (message.kind() == Kind.REFUSED) {
            handleRefusal(message, now);
            return out;
        }
        answers.put(message.sender(), message);
        if (answers.size() < terms.majorityOf(voters.size())) {
            return out;
        }
        if (stage == State.QUERYING && message.kind() == Kind.AVAILABLE) {
            stage = State.PREPARING;
            prepare(now, out);
        } else if (stage == State.PREPARING && message.kind() == Kind.PROMISED) {
            adoptNewestState(now, out);
        } else if ((stage == State.ACCEPTING || stage == State.HOLDING) && message.kind() == Kind.ACCEPTED) {
            confirmHolding(now);
        }
        return out;
    }

    private void prepare(double now, List<Outgoing> out) {
        ballot = LeaseMessage.ballot(LeaseMessage.counter(highest) + 1, life, number);
        highest = ballot;
        preparedAt = now;
        startRequest(Kind.PREPARE, now, out);
    }

    /** The newest that a majority told goes on under the own ballot. */
    private void adoptNewestState(double now, List<Outgoing> out) {
        long held = 0;
        version = 0;
        state = LeaseMessage.EMPTY_STATE;
        for (LeaseMessage told : answers.values()) {
            if (told.acceptedBallot() > held || told.acceptedBallot() == held && told.version() > version) {
                held = told.acceptedBallot();
                version = told.version();
                state = told.state();
            }
        }
        stage = State.ACCEPTING;
        startRequest(Kind.ACCEPT, now, out);
    }

    private void confirmHolding(double now) {
        if (stage == State.ACCEPTING && now - preparedAt > terms.leaseMillis()) {
            waitUntil(now + terms.leaseMillis() * (turn + 1) / 4);
            return;
        }
        stage = State.HOLDING;
        // Counted from before it asked: the voters count from later.
        until = Math.max(until, askedAt + terms.holderLeaseMillis());
        confirmedAt = askedAt;
        if (wanted != null) {
            version++;
            state = wanted;
            wanted = null;
        }
        answers.clear();
        echo++;
    }

    private void handleRefusal(LeaseMessage message, double now) {
        if (stage == State.HOLDING) {
            // Another has a higher ballot: this one's lease may run on, but a change under it may not pass.
            return;
        }
        waitUntil(now + Math.max(message.remainingMillis(), terms.leaseMillis() / 8) + turn * terms.leaseMillis() / 8);
    }
}
