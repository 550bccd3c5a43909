package nettlewick.lease;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import nettlewick.lease.LeaseMessage.Post;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** A tier whose voters all begin without memory, started one after the other, with datagrams lost. */
class VoterTest {
    private static final double LEASE = 1000;
    private static final double TICK = 20;
    private static final double LONG = 60_000;

    /** Guards against voters that lost what they had accepted and vote since one that remembers saw them without it. */
    @Test
    void oneThatRemembersTellsNobodyThatAllBeginsAnew() {
        LeaseTerms terms = new LeaseTerms(LEASE, 0.05);
        List<Integer> numbers = List.of(0, 1, 2);
        List<LeaseVoter> voters = new ArrayList<>();
        numbers.forEach(v -> voters.add(new LeaseVoter(v, numbers, terms, 0, 100 + v)));
        voters.get(0).remembering(java.util.Map.of("pool-red", new LeaseVoter.Register()));
        for (double now = 0; now < LONG; now += TICK) {
            Deque<Post> posts = new ArrayDeque<>();
            for (LeaseVoter v : voters) {
                posts.addAll(v.tick(now));
            }
            while (!posts.isEmpty()) {
                Post p = posts.poll();
                posts.addAll(voters.get(p.to()).hear(p.message(), now));
            }
        }
        assertTrue(voters.get(0).votes());
        assertTrue(!voters.get(1).votes() && !voters.get(2).votes(), "what they had accepted may count");
    }

    /**
     * Guards against a tier in which nobody ever holds anything: the first voter to find that all begin anew remembers
     * from then on, and the others waited for more that do.
     */
    @ParameterizedTest
    @CsvSource({"3, 0", "3, 0.3", "5, 0", "5, 0.3", "9, 0.3"})
    void allVoteInTheEnd(int size, double loss) {
        LeaseTerms terms = new LeaseTerms(LEASE, 0.05);
        List<Integer> numbers = IntStream.range(0, size).boxed().toList();
        for (int seed = 0; seed < 200; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            List<LeaseVoter> voters = new ArrayList<>();
            double[] starts = random.doubles(size, 0, 5 * LEASE).toArray();
            for (int v = 0; v < size; v++) {
                voters.add(new LeaseVoter(v, numbers, terms, starts[v], 100 + v));
            }
            for (double now = 0; now < LONG && !voters.stream().allMatch(LeaseVoter::votes); now += TICK) {
                Deque<Post> posts = new ArrayDeque<>();
                for (int v = 0; v < size; v++) {
                    if (now >= starts[v]) {
                        posts.addAll(voters.get(v).tick(now));
                    }
                }
                while (!posts.isEmpty()) {
                    Post p = posts.poll();
                    if (now >= starts[p.to()] && random.nextDouble() >= loss) {
                        posts.addAll(voters.get(p.to()).hear(p.message(), now));
                    }
                }
            }
            int late = seed;
            assertTrue(
                    voters.stream().allMatch(LeaseVoter::votes),
                    () -> "seed " + late + ": "
                            + voters.stream().filter(LeaseVoter::votes).count() + " of " + size + " vote");
        }
    }
}
