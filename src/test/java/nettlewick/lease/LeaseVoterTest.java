package nettlewick.lease;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import nettlewick.lease.LeaseMessage.Outgoing;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** When voters that start without records may vote, also while datagrams are lost. */
class LeaseVoterTest {
    private static final double LEASE_MILLIS = 1000;
    private static final double TICK_MILLIS = 20;
    private static final double MAX_RUN_MILLIS = 60_000;

    /** Otherwise voters that have lost an accepted state would vote. */
    @Test
    void voterWithRecordsNeverDeclaresTheTierNew() {
        LeaseParameters parameters = new LeaseParameters(LEASE_MILLIS, 0.05);
        List<Integer> voterNumbers = List.of(0, 1, 2);
        List<LeaseVoter> voters = new ArrayList<>();
        voterNumbers.forEach(v -> voters.add(new LeaseVoter(v, voterNumbers, parameters, 0, 100 + v)));
        voters.get(0).restore(Map.of("pool-red", LeaseRecord.EMPTY));
        for (double now = 0; now < MAX_RUN_MILLIS; now += TICK_MILLIS) {
            Deque<Outgoing> messages = new ArrayDeque<>();
            for (LeaseVoter v : voters) {
                messages.addAll(v.tick(now));
            }
            while (!messages.isEmpty()) {
                Outgoing outgoing = messages.poll();
                messages.addAll(voters.get(outgoing.recipient()).handle(outgoing.message(), now));
            }
        }
        assertTrue(voters.get(0).isVoting());
        assertTrue(!voters.get(1).isVoting() && !voters.get(2).isVoting(), "voters without records must not vote");
    }

    /** The first voter that finds the tier new then counts as one with records; the others must not wait for more. */
    @ParameterizedTest
    @CsvSource({"3, 0", "3, 0.3", "5, 0", "5, 0.3", "9, 0.3"})
    void allVotersEventuallyVote(int voterCount, double lossRate) {
        LeaseParameters parameters = new LeaseParameters(LEASE_MILLIS, 0.05);
        List<Integer> voterNumbers = IntStream.range(0, voterCount).boxed().toList();
        for (int seed = 0; seed < 200; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            List<LeaseVoter> voters = new ArrayList<>();
            double[] startMillis =
                    random.doubles(voterCount, 0, 5 * LEASE_MILLIS).toArray();
            for (int v = 0; v < voterCount; v++) {
                voters.add(new LeaseVoter(v, voterNumbers, parameters, startMillis[v], 100 + v));
            }
            for (double now = 0;
                    now < MAX_RUN_MILLIS && !voters.stream().allMatch(LeaseVoter::isVoting);
                    now += TICK_MILLIS) {
                Deque<Outgoing> messages = new ArrayDeque<>();
                for (int v = 0; v < voterCount; v++) {
                    if (now >= startMillis[v]) {
                        messages.addAll(voters.get(v).tick(now));
                    }
                }
                while (!messages.isEmpty()) {
                    Outgoing outgoing = messages.poll();
                    if (now >= startMillis[outgoing.recipient()] && random.nextDouble() >= lossRate) {
                        messages.addAll(voters.get(outgoing.recipient()).handle(outgoing.message(), now));
                    }
                }
            }
            int failedSeed = seed;
            assertTrue(
                    voters.stream().allMatch(LeaseVoter::isVoting),
                    () -> "seed " + failedSeed + ": "
                            + voters.stream().filter(LeaseVoter::isVoting).count() + " of " + voterCount + " vote");
        }
    }
}
