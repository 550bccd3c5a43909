package nettlewick.net.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.SplittableRandom;
import java.util.stream.DoubleStream;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** How soon discovery is asked again, one dispatcher alone and a tier together. */
class PollBackoffTest {
    private static final double NO_BOUND = Double.POSITIVE_INFINITY;

    /** An agent on the own machine: what it was before there were sites that ask. */
    @Test
    void backsOffBrieflyWhereTheAgentIsLocal() {
        PollBackoff backoff = new PollBackoff(false, 100, 10_000, new SplittableRandom(1));
        double most = 100;
        for (int i = 0; i < 8; i++) {
            double next = backoff.nextPauseMillis(NO_BOUND);
            assertTrue(next >= most / 2 && next <= most, i + ": " + next);
            most = Math.min(400, 2 * most);
        }
        backoff.reset();
        assertTrue(backoff.nextPauseMillis(NO_BOUND) <= 100);
        assertTrue(backoff.nextPauseMillis(30) <= 30, "what is left until the told time bounds it");
        assertEquals(1500, backoff.firstMessageTimeoutMillis());
    }

    /** Guards against eight dispatchers that a break cuts off together asking together, again and again. */
    @Test
    void dispatchersThatShareOneServiceSpreadTheirCalls() {
        double[][] asks = new double[8][];
        for (int d = 0; d < asks.length; d++) {
            PollBackoff backoff = new PollBackoff(true, 8, 10_000, new SplittableRandom(100 + d));
            double[] at = {0};
            asks[d] = DoubleStream.generate(() -> at[0] += backoff.nextPauseMillis(NO_BOUND))
                    .takeWhile(t -> t < 30_000)
                    .toArray();
        }
        double[] all =
                Arrays.stream(asks).flatMapToDouble(Arrays::stream).sorted().toArray();
        // 80 ms a call at the slowest: 12 calls a second. Eight agents' rhythm would make 40 in the first one.
        for (int second = 0; second < 30; second++) {
            int from = 1000 * second;
            assertTrue(
                    Arrays.stream(all).filter(t -> t >= from && t < from + 1000).count() <= 24, from + " ms");
        }
        assertTrue(all.length <= 8 * 20, all.length + " calls in 30 s");
        assertTrue(Arrays.stream(asks).mapToDouble(a -> a[0]).distinct().count() == 8, "at times of their own");
    }

    /** Guards against a call given up while it waits its turn, and against being told while it pauses. */
    @Test
    void settingsBoundThePauseAndTheFirstMessageTimeout() {
        PollBackoff backoff = new PollBackoff(true, 500, 10_000, new SplittableRandom(3));
        assertEquals(5000, backoff.firstMessageTimeoutMillis());
        IntStream.range(0, 1000).forEach(i -> assertTrue(backoff.nextPauseMillis(NO_BOUND) <= 5000));
        assertEquals(1500, new PollBackoff(true, 3, 1000, new SplittableRandom(3)).firstMessageTimeoutMillis());
    }
}
