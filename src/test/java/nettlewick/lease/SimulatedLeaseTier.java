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

/** A tier in simulated time, which measures the traffic of its leases and how long they are unheld under losses. */
public final class SimulatedLeaseTier {
    private static final double LEASE_MILLIS = 3000;
    private static final double TICK_MILLIS = 100;
    private static final int CANDIDATES_PER_LEASE = 8;
    private static final int STATE_BYTES = 250;

    private final LeaseParameters parameters = new LeaseParameters(LEASE_MILLIS, 0.05);
    private final List<Integer> voterNumbers;
    private final List<LeaseVoter> voters = new ArrayList<>();
    private final Map<String, Map<Integer, LeaseCandidate>> candidates = new LinkedHashMap<>();
    private final SplittableRandom random;
    private final double lossRate;
    private final MessageCodec codec = new MessageCodec(new byte[32], 1, 0, 1);
    private long sentBytes;

    private SimulatedLeaseTier(int dispatchers, int voterCount, int leaseCount, double lossRate, long seed) {
        this.lossRate = lossRate;
        random = new SplittableRandom(seed);
        voterNumbers = IntStream.range(0, voterCount).boxed().toList();
        voterNumbers.forEach(v -> voters.add(new LeaseVoter(v, voterNumbers, parameters, 0, v).startVoting()));
        for (int d = 0; d < leaseCount; d++) {
            String leaseName = "pool-member-" + d;
            List<Integer> ranking = CandidateRanking.rank(leaseName, dispatchers);
            Map<Integer, LeaseCandidate> leaseCandidates = new HashMap<>();
            for (int rank = 0; rank < Math.min(dispatchers, CANDIDATES_PER_LEASE); rank++) {
                leaseCandidates.put(
                        ranking.get(rank),
                        new LeaseCandidate(leaseName, ranking.get(rank), rank + 1, voterNumbers, parameters, rank, 0));
            }
            candidates.put(leaseName, leaseCandidates);
        }
    }

    /** Calls each candidate's tick and delivers all messages that result. */
    private void tick(double now) {
        Deque<Outgoing> messages = new ArrayDeque<>();
        for (Map<Integer, LeaseCandidate> leaseCandidates : candidates.values()) {
            for (LeaseCandidate candidate : leaseCandidates.values()) {
                messages.addAll(candidate.tick(now));
                if (candidate.mayAct(now) && candidate.version() == 0 && !candidate.isChangePending()) {
                    messages.addAll(candidate.proposeChange(new byte[STATE_BYTES], now));
                }
            }
        }
        while (!messages.isEmpty()) {
            Outgoing outgoing = messages.poll();
            if (outgoing.recipient() != outgoing.message().sender()) {
                sentBytes += codec.encode(outgoing.message()).length;
                if (random.nextDouble() < lossRate) {
                    continue;
                }
            }
            boolean isForVoter = outgoing.message().kind().ordinal() <= Kind.RECOVER.ordinal();
            messages.addAll(
                    isForVoter
                            ? voters.get(outgoing.recipient()).handle(outgoing.message(), now)
                            : candidates
                                    .get(outgoing.message().leaseName())
                                    .get(outgoing.recipient())
                                    .handle(outgoing.message(), now));
        }
    }

    private long countHeld(double now) {
        return candidates.values().stream()
                .filter(leaseCandidates ->
                        leaseCandidates.values().stream().anyMatch(candidate -> candidate.mayAct(now)))
                .count();
    }

    /** Returns the mean number of bytes per second that one dispatcher sends for this many leases. */
    public static double bytesPerSecond(int dispatchers, int leaseCount, double millis) {
        SimulatedLeaseTier tier = new SimulatedLeaseTier(dispatchers, 5, leaseCount, 0, 1);
        for (double now = 0; now < millis; now += TICK_MILLIS) {
            if (now == millis / 2) {
                tier.sentBytes = 0;
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
        return (tier.sentBytes / (millis / 2) + announcementBytes) * 1000 / dispatchers;
    }

    /** Returns the fraction of the time, from the start, in which a lease has no holder: the mean of thirty leases. */
    public static double unheldShare(int dispatchers, int voterCount, double lossRate, double millis, long seed) {
        SimulatedLeaseTier tier = new SimulatedLeaseTier(dispatchers, voterCount, 30, lossRate, seed);
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
