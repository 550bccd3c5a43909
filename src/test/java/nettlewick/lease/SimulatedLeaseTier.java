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

/** A simulated tier in virtual time: how many bytes its leases cost, and how long leases are unheld under losses. */
public final class SimulatedLeaseTier {
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

    private SimulatedLeaseTier(int dispatchers, int voterCount, int leaseCount, double loss, long seed) {
        this.loss = loss;
        random = new SplittableRandom(seed);
        voterNumbers = IntStream.range(0, voterCount).boxed().toList();
        voterNumbers.forEach(v -> voters.add(new LeaseVoter(v, voterNumbers, terms, 0, v).startVoting()));
        for (int d = 0; d < leaseCount; d++) {
            String leaseName = "pool-member-" + d;
            List<Integer> ranking = CandidateRanking.rank(leaseName, dispatchers);
            Map<Integer, LeaseCandidate> all = new HashMap<>();
            for (int rank = 0; rank < Math.min(dispatchers, CANDIDATES); rank++) {
                all.put(
                        ranking.get(rank),
                        new LeaseCandidate(leaseName, ranking.get(rank), rank + 1, voterNumbers, terms, rank, 0));
            }
            candidates.put(leaseName, all);
        }
    }

    /** Ticks every candidate and delivers all messages that follow. */
    private void tick(double now) {
        Deque<Outgoing> messages = new ArrayDeque<>();
        for (Map<Integer, LeaseCandidate> all : candidates.values()) {
            for (LeaseCandidate candidate : all.values()) {
                messages.addAll(candidate.tick(now));
                if (candidate.mayAct(now) && candidate.version() == 0 && !candidate.isChangePending()) {
                    messages.addAll(candidate.proposeChange(new byte[STATE_BYTES], now));
                }
            }
        }
        while (!messages.isEmpty()) {
            Outgoing p = messages.poll();
            if (p.recipient() != p.message().sender()) {
                bytes += codec.encode(p.message()).length;
                if (random.nextDouble() < loss) {
                    continue;
                }
            }
            boolean question = p.message().kind().ordinal() <= Kind.RECOVER.ordinal();
            messages.addAll(
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

    /** The mean number of bytes that one dispatcher sends in a second for this many leases. */
    public static double bytesPerSecond(int dispatchers, int leaseCount, double millis) {
        SimulatedLeaseTier tier = new SimulatedLeaseTier(dispatchers, 5, leaseCount, 0, 1);
        for (double now = 0; now < millis; now += TICK_MILLIS) {
            if (now == millis / 2) {
                tier.bytes = 0;
            }
            tier.tick(now);
        }
        if (tier.countHeld(millis) < leaseCount) {
            throw new IllegalStateException(tier.countHeld(millis) + " of " + leaseCount + " are held");
        }
        LeaseMessage announcement =
                LeaseMessage.of(Kind.ANNOUNCE, "pool-member-1", 0, 0, 1).withState(1, 1, LeaseMessage.EMPTY_STATE);
        double announcementBytes = leaseCount
                * (dispatchers - 1.0)
                * tier.codec.encode(announcement).length
                / (AnnouncementSchedule.IDLE_INTERVAL_LEASES * LEASE_MILLIS);
        return (tier.bytes / (millis / 2) + announcementBytes) * 1000 / dispatchers;
    }

    /** The share of the time in which a lease has no holder, the mean of thirty, from the start and under losses. */
    public static double unheldShare(int dispatchers, int voterCount, double loss, double millis, long seed) {
        SimulatedLeaseTier tier = new SimulatedLeaseTier(dispatchers, voterCount, 30, loss, seed);
        double unheldTicks = 0;
        int ticks = 0;
        for (double now = 0; now < millis; now += TICK_MILLIS) {
            tier.tick(now);
            unheldTicks += 1 - tier.countHeld(now) / 30.0;
            ticks++;
        }
        return unheldTicks / ticks;
    }
}
