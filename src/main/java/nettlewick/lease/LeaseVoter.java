package nettlewick.lease;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import nettlewick.lease.LeaseMessage.Kind;
import nettlewick.lease.LeaseMessage.Outgoing;

/**
 * A voter's memory of all duties, and what it answers (docs/duties.md). It counts its grants by its own
 * monotonic clock, in milliseconds, which is handed in. Pure.
 */
final class LeaseVoter {
    /** What it knows of one duty. */
    static final class LeaseRecord {
        long promisedBallot;
        long acceptedBallot;
        long version;
        byte[] state = LeaseMessage.EMPTY_STATE;
        /** The ballot that is granted, and until when. */
        long grantedBallot;

        double grantedUntil = Double.NEGATIVE_INFINITY;

        LeaseRecord copy() {
            LeaseRecord r = new LeaseRecord();
            r.promisedBallot = promisedBallot;
            r.acceptedBallot = acceptedBallot;
            r.version = version;
            r.state = state;
            r.grantedBallot = grantedBallot;
            r.grantedUntil = grantedUntil;
            return r;
        }

        /** Takes over what another voter promised and accepted, where that is newer. */
        void mergeNewer(LeaseMessage message) {
            promisedBallot = Math.max(promisedBallot, message.highestBallot());
            if (message.acceptedBallot() > acceptedBallot
                    || message.acceptedBallot() == acceptedBallot && message.version() > version) {
                acceptedBallot = message.acceptedBallot();
                version = message.version();
                state = message.state();
            }
        }
    }

    /** In the word that ends what a voter tells: whoever is told was there when all began anew. */
    private static final long FOUNDER = 1;

    private final int number;
    private final List<Integer> voters;
    private final LeaseTerms terms;
    final Map<String, LeaseRecord> records = new TreeMap<>();
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
    private final Map<String, LeaseRecord> changed = new TreeMap<>();

    private double askedAt = Double.NEGATIVE_INFINITY;

    /** One that starts at {@code now} without any memory. */
    LeaseVoter(int number, List<Integer> voters, LeaseTerms terms, double now, long incarnation) {
        this.life = incarnation;
        this.number = number;
        this.voters = voters;
        this.terms = terms;
        abstainsUntil = now + terms.leaseMillis() * (1 + terms.maxClockDrift());
    }

    /**
     * With all that it knew in its last life; whom it granted what is not known, so it abstains for a
     * lease.
     */
    LeaseVoter restore(Map<String, LeaseRecord> known) {
        records.putAll(known);
        remembers = true;
        return this;
    }

    /** What has to be saved before its next words leave. */
    Map<String, LeaseRecord> unsavedRecords() {
        return changed;
    }

    LeaseVoter copy() {
        LeaseVoter v = new LeaseVoter(number, voters, terms, 0, life);
        records.forEach((leaseName, r) -> v.records.put(leaseName, r.copy()));
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
    boolean isVoting() {
        return votes;
    }

    /** At a new tier's first start, or in a test: it votes from the first moment on. */
    LeaseVoter startVoting() {
        votes = true;
        return this;
    }

    /** Asks the others while it has no memory; to be called a few times a lease. */
    List<Outgoing> tick(double now) {
        if (votes) {
            return List.of();
        }
        settle(now);
        List<Outgoing> out = new ArrayList<>();
        if (!votes && now - askedAt >= terms.leaseMillis() / 6) {
            askedAt = now;
            for (int other : voters) {
                if (other != number) {
                    out.add(new Outgoing(other, LeaseMessage.of(Kind.RECOVER, "", number, 0, life)));
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
        int enough = voters.size() - terms.majorityOf(voters.size()) + 1;
        boolean allBlank = remembered.isEmpty() && blank.size() >= voters.size() - 1;
        // The others have to see this one blank too: it stays so for another lease.
        newSince = !allBlank ? Double.NaN : Double.isNaN(newSince) ? now : newSince;
        boolean anew = now - newSince >= terms.leaseMillis();
        if (now >= abstainsUntil && (remembers || remembered.size() >= enough || anew || founder)) {
            votes = true;
            // Danger: the first to vote remembers from then on, and the others would wait for more like it
            // for good. So it tells those that it has seen without memory that they had none to lose. One
            // that remembers itself must not: what they have lost may count.
            founded = anew && !remembers;
        }
    }

    List<Outgoing> handle(LeaseMessage message, double now) {
        switch (message.kind()) {
            case RECOVER -> {
                return recall(message);
            }
            case RECOVERED_RECORD, NO_MEMORY -> {
                if (!votes && message.ballot() == life) {
                    take(message);
                    settle(now);
                }
                return List.of();
            }
            default -> {
                return votes ? vote(message, now) : List.of();
            }
        }
    }

    /** Danger: words of which some were lost are not all that a voter knows; the last tells how many. */
    private void take(LeaseMessage message) {
        Set<String> duties = told.computeIfAbsent(message.sender(), f -> new HashSet<>());
        if (message.kind() == Kind.NO_MEMORY) {
            blank.put(message.sender(), message.highestBallot());
        } else if (!message.leaseName().isEmpty()) {
            LeaseRecord r = records.computeIfAbsent(message.leaseName(), d -> new LeaseRecord());
            r.mergeNewer(message);
            changed.put(message.leaseName(), r);
            duties.add(message.leaseName());
        } else if (duties.size() >= message.version()) {
            remembered.add(message.sender());
            blank.remove(message.sender());
            founder |= message.acceptedBallot() == FOUNDER;
        }
    }

    /** All that it knows, a message for each duty; the last one, of no duty, says how many they were. */
    private List<Outgoing> recall(LeaseMessage message) {
        if (!votes && !remembers) {
            return List.of(new Outgoing(
                    message.sender(),
                    LeaseMessage.of(Kind.NO_MEMORY, "", number, 0, message.ballot())
                            .withHighestBallot(life, 0)));
        }
        List<Outgoing> out = new ArrayList<>();
        records.forEach((leaseName, r) -> out.add(new Outgoing(
                message.sender(),
                LeaseMessage.of(Kind.RECOVERED_RECORD, leaseName, number, 0, message.ballot())
                        .withHighestBallot(Math.max(r.promisedBallot, r.acceptedBallot), 0)
                        .withState(r.acceptedBallot, r.version, r.state))));
        boolean seen = founded && blank.getOrDefault(message.sender(), -1L) == message.ballot();
        out.add(new Outgoing(
                message.sender(),
                LeaseMessage.of(Kind.RECOVERED_RECORD, "", number, 0, message.ballot())
                        .withState(seen ? FOUNDER : 0, records.size(), LeaseMessage.EMPTY_STATE)));
        return out;
    }

    private List<Outgoing> vote(LeaseMessage message, double now) {
        LeaseRecord r = records.computeIfAbsent(message.leaseName(), d -> new LeaseRecord());
        boolean others = now < r.grantedUntil
                && LeaseMessage.proposer(r.grantedBallot) != LeaseMessage.proposer(message.ballot());
        Kind answer = Kind.REFUSED;
        switch (message.kind()) {
            case QUERY -> answer = others ? Kind.REFUSED : Kind.AVAILABLE;
            case PREPARE -> {
                // The same ballot is one candidate's alone: it asks again where the answer was lost.
                if (!others && message.ballot() >= r.promisedBallot) {
                    if (message.ballot() > r.promisedBallot) {
                        r.promisedBallot = message.ballot();
                        changed.put(message.leaseName(), r);
                    }
                    answer = Kind.PROMISED;
                }
            }
            case ACCEPT -> {
                boolean newer = message.ballot() > r.acceptedBallot
                        || message.ballot() == r.acceptedBallot && message.version() >= r.version;
                if (!others && message.ballot() >= r.promisedBallot && newer) {
                    if (message.ballot() != r.acceptedBallot || message.version() != r.version) {
                        changed.put(message.leaseName(), r);
                    }
                    r.promisedBallot = message.ballot();
                    r.acceptedBallot = message.ballot();
                    r.version = message.version();
                    r.state = message.state();
                    r.grantedBallot = message.ballot();
                    r.grantedUntil = now + terms.leaseMillis();
                    answer = Kind.ACCEPTED;
                }
            }
            case RELEASE -> {
                if (r.grantedBallot == message.ballot()) {
                    r.grantedUntil = Double.NEGATIVE_INFINITY;
                }
                return List.of();
            }
            default -> {
                return List.of();
            }
        }
        LeaseMessage reply = LeaseMessage.of(answer, message.leaseName(), number, message.requestId(), message.ballot())
                .withHighestBallot(Math.max(r.promisedBallot, r.acceptedBallot), others ? r.grantedUntil - now : 0);
        return List.of(new Outgoing(
                message.sender(),
                answer == Kind.PROMISED
                        ? reply.withState(r.acceptedBallot, r.version, r.state)
                        : answer == Kind.ACCEPTED
                                ? reply.withState(message.ballot(), message.version(), LeaseMessage.EMPTY_STATE)
                                : reply));
    }
}
