package nettlewick.lease;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import nettlewick.lease.LeaseMessage.Kind;
import nettlewick.lease.LeaseMessage.Post;

/**
 * A voter's memory of all duties, and what it answers (docs/duties.md). It counts its grants by its own
 * monotonic clock, in milliseconds, which is handed in. Pure.
 */
final class LeaseVoter {
    /** What it knows of one duty. */
    static final class Register {
        long promised;
        long held;
        long version;
        byte[] state = LeaseMessage.NOTHING;
        /** The ballot that is granted, and until when. */
        long granted;

        double until = Double.NEGATIVE_INFINITY;

        Register copy() {
            Register r = new Register();
            r.promised = promised;
            r.held = held;
            r.version = version;
            r.state = state;
            r.granted = granted;
            r.until = until;
            return r;
        }

        /** Takes over what another voter promised and accepted, where that is newer. */
        void learn(LeaseMessage m) {
            promised = Math.max(promised, m.seen());
            if (m.held() > held || m.held() == held && m.version() > version) {
                held = m.held();
                version = m.version();
                state = m.state();
            }
        }
    }

    /** In the word that ends what a voter tells: whoever is told was there when all began anew. */
    private static final long FOUNDER = 1;

    private final int number;
    private final List<Integer> voters;
    private final LeaseTerms terms;
    final Map<String, Register> registers = new TreeMap<>();
    /** Without memory: until when it abstains, and who has told it what. Empty once it votes. */
    private double abstainsUntil;

    private final Map<Integer, Set<String>> told = new HashMap<>();
    private final Set<Integer> remembered = new HashSet<>();
    /** Those that remember nothing, each with its life. */
    private final Map<Integer, Long> blank = new HashMap<>();
    /** Whether this one found that no voter remembers anything, so that all begin anew. */
    private boolean founded;
    /** Whether one that found it so saw this life of this one among them: it has nothing to remember. */
    private boolean founder;
    /** Tells this life's questions from a former one's, whose answers prove nothing. */
    private final long life;

    private double newSince = Double.NaN;
    private boolean votes;
    /** Whether all that it promised and accepted is known from before. */
    private boolean remembers;
    /** What has changed since it was last saved. */
    private final Map<String, Register> changed = new TreeMap<>();

    private double askedAt = Double.NEGATIVE_INFINITY;

    /** One that starts at {@code now} without any memory. */
    LeaseVoter(int number, List<Integer> voters, LeaseTerms terms, double now, long life) {
        this.life = life;
        this.number = number;
        this.voters = voters;
        this.terms = terms;
        abstainsUntil = now + terms.lease() * (1 + terms.drift());
    }

    /**
     * With all that it knew in its last life; whom it granted what is not known, so it abstains for a
     * lease.
     */
    LeaseVoter remembering(Map<String, Register> known) {
        registers.putAll(known);
        remembers = true;
        return this;
    }

    /** What has to be saved before its next words leave. */
    Map<String, Register> changed() {
        return changed;
    }

    LeaseVoter copy() {
        LeaseVoter v = new LeaseVoter(number, voters, terms, 0, life);
        registers.forEach((duty, r) -> v.registers.put(duty, r.copy()));
        v.abstainsUntil = abstainsUntil;
        told.forEach((from, duties) -> v.told.put(from, new HashSet<>(duties)));
        v.remembered.addAll(remembered);
        v.blank.putAll(blank);
        v.founded = founded;
        v.founder = founder;
        v.newSince = newSince;
        v.votes = votes;
        v.askedAt = askedAt;
        v.remembers = remembers;
        return v;
    }

    /** Whether it votes; one without memory does not until it has recovered. */
    boolean votes() {
        return votes;
    }

    /** At a new tier's first start, or in a test: it votes from the first moment on. */
    LeaseVoter trusted() {
        votes = true;
        return this;
    }

    /** Asks the others while it has no memory; to be called a few times a lease. */
    List<Post> tick(double now) {
        if (votes) {
            return List.of();
        }
        settle(now);
        List<Post> out = new ArrayList<>();
        if (!votes && now - askedAt >= terms.lease() / 6) {
            askedAt = now;
            for (int other : voters) {
                if (other != number) {
                    out.add(new Post(other, LeaseMessage.of(Kind.RECALL, "", number, 0, life)));
                }
            }
        }
        return out;
    }

    /**
     * Danger: a voter that forgot a promise would let a lower ballot through, and one that forgot what it
     * accepted would let a stored version be lost. So it votes only once so many others have told it all that
     * every majority has one among them; where none of them remembers anything, all is new.
     */
    private void settle(double now) {
        int enough = voters.size() - terms.majority(voters.size()) + 1;
        boolean allBlank = remembered.isEmpty() && blank.size() >= voters.size() - 1;
        // The others have to see this one blank too: it stays so for another lease.
        newSince = !allBlank ? Double.NaN : Double.isNaN(newSince) ? now : newSince;
        boolean anew = now - newSince >= terms.lease();
        if (now >= abstainsUntil && (remembers || remembered.size() >= enough || anew || founder)) {
            votes = true;
            // Danger: the first to vote remembers from then on, and the others would wait for more like it
            // for good. So it tells those that it has seen without memory that they had none to lose. One
            // that remembers itself must not: what they have lost may count.
            founded = anew && !remembers;
        }
    }

    List<Post> hear(LeaseMessage m, double now) {
        switch (m.kind()) {
            case RECALL -> {
                return recall(m);
            }
            case TOLD, BLANK -> {
                if (!votes && m.ballot() == life) {
                    take(m);
                    settle(now);
                }
                return List.of();
            }
            default -> {
                return votes ? vote(m, now) : List.of();
            }
        }
    }

    /** Danger: words of which some were lost are not all that a voter knows; the last tells how many. */
    private void take(LeaseMessage m) {
        Set<String> duties = told.computeIfAbsent(m.from(), f -> new HashSet<>());
        if (m.kind() == Kind.BLANK) {
            blank.put(m.from(), m.seen());
        } else if (!m.duty().isEmpty()) {
            Register r = registers.computeIfAbsent(m.duty(), d -> new Register());
            r.learn(m);
            changed.put(m.duty(), r);
            duties.add(m.duty());
        } else if (duties.size() >= m.version()) {
            remembered.add(m.from());
            blank.remove(m.from());
            founder |= m.held() == FOUNDER;
        }
    }

    /** All that it knows, a message for each duty; the last one, of no duty, says how many they were. */
    private List<Post> recall(LeaseMessage m) {
        if (!votes && !remembers) {
            return List.of(new Post(
                    m.from(),
                    LeaseMessage.of(Kind.BLANK, "", number, 0, m.ballot()).telling(life, 0)));
        }
        List<Post> out = new ArrayList<>();
        registers.forEach((duty, r) -> out.add(new Post(
                m.from(),
                LeaseMessage.of(Kind.TOLD, duty, number, 0, m.ballot())
                        .telling(Math.max(r.promised, r.held), 0)
                        .holding(r.held, r.version, r.state))));
        boolean seen = founded && blank.getOrDefault(m.from(), -1L) == m.ballot();
        out.add(new Post(
                m.from(),
                LeaseMessage.of(Kind.TOLD, "", number, 0, m.ballot())
                        .holding(seen ? FOUNDER : 0, registers.size(), LeaseMessage.NOTHING)));
        return out;
    }

    private List<Post> vote(LeaseMessage m, double now) {
        Register r = registers.computeIfAbsent(m.duty(), d -> new Register());
        boolean others = now < r.until && LeaseMessage.holder(r.granted) != LeaseMessage.holder(m.ballot());
        Kind answer = Kind.REFUSED;
        switch (m.kind()) {
            case ASK -> answer = others ? Kind.REFUSED : Kind.FREE;
            case PREPARE -> {
                // The same ballot is one candidate's alone: it asks again where the answer was lost.
                if (!others && m.ballot() >= r.promised) {
                    if (m.ballot() > r.promised) {
                        r.promised = m.ballot();
                        changed.put(m.duty(), r);
                    }
                    answer = Kind.PROMISED;
                }
            }
            case ACCEPT -> {
                boolean newer = m.ballot() > r.held || m.ballot() == r.held && m.version() >= r.version;
                if (!others && m.ballot() >= r.promised && newer) {
                    if (m.ballot() != r.held || m.version() != r.version) {
                        changed.put(m.duty(), r);
                    }
                    r.promised = m.ballot();
                    r.held = m.ballot();
                    r.version = m.version();
                    r.state = m.state();
                    r.granted = m.ballot();
                    r.until = now + terms.lease();
                    answer = Kind.ACCEPTED;
                }
            }
            case RELEASE -> {
                if (r.granted == m.ballot()) {
                    r.until = Double.NEGATIVE_INFINITY;
                }
                return List.of();
            }
            default -> {
                return List.of();
            }
        }
        LeaseMessage reply = LeaseMessage.of(answer, m.duty(), number, m.echo(), m.ballot())
                .telling(Math.max(r.promised, r.held), others ? r.until - now : 0);
        return List.of(new Post(
                m.from(),
                answer == Kind.PROMISED
                        ? reply.holding(r.held, r.version, r.state)
                        : answer == Kind.ACCEPTED
                                ? reply.holding(m.ballot(), m.version(), LeaseMessage.NOTHING)
                                : reply));
    }
}
