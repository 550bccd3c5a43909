package nettlewick.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The order in which dispatchers compete for a lease. */
class CandidateRankingTest {
    @Test
    void leasesSpreadOverAllDispatchersAndMoveOnlyFromARemovedOne() {
        int[] firstRankCounts = new int[10];
        for (int d = 0; d < 1000; d++) {
            List<Integer> ranking = CandidateRanking.rank("pool-" + d, 10);
            assertEquals(10, ranking.stream().distinct().count());
            firstRankCounts[ranking.get(0)]++;
            List<Integer> rankingWithoutLast = CandidateRanking.rank("pool-" + d, 9);
            assertEquals(ranking.stream().filter(r -> r != 9).toList(), rankingWithoutLast);
        }
        assertTrue(Arrays.stream(firstRankCounts).allMatch(n -> n > 60 && n < 150), Arrays.toString(firstRankCounts));
    }
}
