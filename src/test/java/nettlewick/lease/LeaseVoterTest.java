package nettlewick.lease;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import nettlewick.lease.LeaseMessage.Outgoing;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** A tier whose voters all begin without memory, started one after the other, with datagrams lost. */
class LeaseVoterTest {
    private static final double LEASE_MILLIS = 1000;
    private static final double TICK_MILLIS = 20;
    private static final double MAX_RUN_MILLIS = 60_000;

    /** Guards against voters that lost what they had accepted and vote since one that remembers saw them without it. */
    @Test
    void voterWithMemoryNeverDeclaresTheTierNew() {
        LeaseTerms terms = new LeaseTerms(LEASE_MILLIS, 0.05);
        List<Integer> numbers = List.of(0, 1, 2);
        List<LeaseVoter> voters = new ArrayList<>();
        numbers.forEach(v -> voters.add(new LeaseVoter(v, numbers, terms, 0, 100 + v)));
        voters.get(0).restore(java.util.Map.of("pool-red", LeaseRecord.EMPTY));
        for (double now = 0; now < MAX_RUN_MILLIS; now += TICK_MILLIS) {
            Deque<Outgoing> posts = new ArrayDeque<>();
            for (LeaseVoter v : voters) {
                posts.addAll(v.tick(now));
            }
            while (!posts.isEmpty()) {
                Outgoing p = posts.poll();
                posts.addAll(voters.get(p.recipient()).handle(p.message(), now));
            }
        }
        assertTrue(voters.get(0).isVoting());
        assertTrue(!voters.get(1).isVoting() && !voters.get(2).isVoting(), "what they had accepted may count");
    }

    /**
     * Guards against a tier in which nobody ever holds anything: the first voter to find that all begin anew remembers
     * from then on, and the others waited for more that do.
     */
    @ParameterizedTest
    @CsvSource({"3, 0", "3, 0.3", "5, 0", "5, 0.3", "9, 0.3"})
    void allVotersEventuallyVote(int size, double loss) {
        LeaseTerms terms = new LeaseTerms(LEASE_MILLIS, 0.05);
        List<Integer> numbers = IntStream.range(0, size).boxed().toList();
        for (int seed = 0; seed < 200; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            List<LeaseVoter> voters = new ArrayList<>();
            double[] starts = random.doubles(size, 0, 5 * LEASE_MILLIS).toArray();
            for (int v = 0; v < size; v++) {
                voters.add(new LeaseVoter(v, numbers, terms, starts[v], 100 + v));
            }
            for (double now = 0;
                    now < MAX_RUN_MILLIS && !voters.stream().allMatch(LeaseVoter::isVoting);
                    now += TICK_MILLIS) {
                Deque<Outgoing> posts = new ArrayDeque<>();
                for (int v = 0; v < size; v++) {
                    if (now >= starts[v]) {
                        posts.addAll(voters.get(v).tick(now));
                    }
                }
                while (!posts.isEmpty()) {
                    Outgoing p = posts.poll();
                    if (now >= starts[p.recipient()] && random.nextDouble() >= loss) {
                        posts.addAll(voters.get(p.recipient()).handle(p.message(), now));
                    }
                }
            }
            int late = seed;
            assertTrue(
                    voters.stream().allMatch(LeaseVoter::isVoting),
                    () -> "seed " + late + ": "
                            + voters.stream().filter(LeaseVoter::isVoting).count() + " of " + size + " vote");
        }
    }
}
