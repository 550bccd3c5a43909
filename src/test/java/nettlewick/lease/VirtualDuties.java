package nettlewick.lease;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import nettlewick.lease.LeaseMessage.Kind;
import nettlewick.lease.LeaseMessage.Outgoing;

/** The pure machines of a tier in virtual time: what its duties' datagrams come to, and what losses cost. */
public final class VirtualDuties {
    private static final double LEASE_MILLIS = 3000;
    private static final double TICK_MILLIS = 100;
    private static final int CANDIDATES = 8;
    private static final int STATE_BYTES = 250;

    private final LeaseTerms terms = new LeaseTerms(LEASE_MILLIS, 0.05);
    private final List<Integer> voterNumbers;
    private final List<LeaseVoter> voters = new ArrayList<>();
    private final Map<String, Map<Integer, LeaseCandidate>> candidates = new LinkedHashMap<>();
    private final SplittableRandom random;
    private final double loss;
    private final MessageCodec codec = new MessageCodec(new byte[32], 1, 0, 1);
    private long bytes;

    private VirtualDuties(int dispatchers, int voting, int duties, double loss, long seed) {
        this.loss = loss;
        random = new SplittableRandom(seed);
        voterNumbers = IntStream.range(0, voting).boxed().toList();
        voterNumbers.forEach(v -> voters.add(new LeaseVoter(v, voterNumbers, terms, 0, v).startVoting()));
        for (int d = 0; d < duties; d++) {
            String leaseName = "pool-member-" + d;
            List<Integer> ranking = CandidateRanking.rank(leaseName, dispatchers);
            Map<Integer, LeaseCandidate> all = new HashMap<>();
            for (int turn = 0; turn < Math.min(dispatchers, CANDIDATES); turn++) {
                all.put(
                        ranking.get(turn),
                        new LeaseCandidate(leaseName, ranking.get(turn), turn + 1, voterNumbers, terms, turn, 0));
            }
            candidates.put(leaseName, all);
        }
    }

    /** One tick of all, and all that is said at it. */
    private void tick(double now) {
        Deque<Outgoing> posts = new ArrayDeque<>();
        for (Map<Integer, LeaseCandidate> all : candidates.values()) {
            for (LeaseCandidate candidate : all.values()) {
                posts.addAll(candidate.tick(now));
                if (candidate.mayAct(now) && candidate.version() == 0 && !candidate.isChangePending()) {
                    posts.addAll(candidate.proposeChange(new byte[STATE_BYTES], now));
                }
            }
        }
        while (!posts.isEmpty()) {
            Outgoing p = posts.poll();
            if (p.recipient() != p.message().sender()) {
                bytes += codec.encode(p.message()).length;
                if (random.nextDouble() < loss) {
                    continue;
                }
            }
            boolean question = p.message().kind().ordinal() <= Kind.RECOVER.ordinal();
            posts.addAll(
                    question
                            ? voters.get(p.recipient()).handle(p.message(), now)
                            : candidates
                                    .get(p.message().leaseName())
                                    .get(p.recipient())
                                    .handle(p.message(), now));
        }
    }

    private long countHeld(double now) {
        return candidates.values().stream()
                .filter(all -> all.values().stream().anyMatch(s -> s.mayAct(now)))
                .count();
    }

    /** Bytes that one dispatcher sends a second, the mean, with this many duties of a state of some size. */
    public static double bytes(int dispatchers, int duties, double millis) {
        VirtualDuties tier = new VirtualDuties(dispatchers, 5, duties, 0, 1);
        for (double now = 0; now < millis; now += TICK_MILLIS) {
            if (now == millis / 2) {
                tier.bytes = 0;
            }
            tier.tick(now);
        }
        if (tier.countHeld(millis) < duties) {
            throw new IllegalStateException(tier.countHeld(millis) + " of " + duties + " are held");
        }
        LeaseMessage news =
                LeaseMessage.of(Kind.ANNOUNCE, "pool-member-1", 0, 0, 1).withState(1, 1, LeaseMessage.EMPTY_STATE);
        double beats = duties
                * (dispatchers - 1.0)
                * tier.codec.encode(news).length
                / (AnnouncementSchedule.IDLE_INTERVAL_LEASES * LEASE_MILLIS);
        return (tier.bytes / (millis / 2) + beats) * 1000 / dispatchers;
    }

    /** The part of the time in which nobody holds a duty, the mean of thirty, while datagrams are lost, from the start. */
    public static double unheld(int dispatchers, int voting, double loss, double millis, long seed) {
        VirtualDuties tier = new VirtualDuties(dispatchers, voting, 30, loss, seed);
        double without = 0;
        int ticks = 0;
        for (double now = 0; now < millis; now += TICK_MILLIS) {
            tier.tick(now);
            without += 1 - tier.countHeld(now) / 30.0;
            ticks++;
        }
        return without / ticks;
    }
}
