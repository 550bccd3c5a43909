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
    private static final double NO_LIMIT = Double.POSITIVE_INFINITY;

    /** An agent on the own machine: what it was before there were sites that ask. */
    @Test
    void backsOffBrieflyWithALocalAgent() {
        PollBackoff backoff = new PollBackoff(false, 100, 10_000, new SplittableRandom(1));
        double maxMillis = 100;
        for (int i = 0; i < 8; i++) {
            double pauseMillis = backoff.nextPauseMillis(NO_LIMIT);
            assertTrue(pauseMillis >= maxMillis / 2 && pauseMillis <= maxMillis, i + ": " + pauseMillis);
            maxMillis = Math.min(400, 2 * maxMillis);
        }
        backoff.reset();
        assertTrue(backoff.nextPauseMillis(NO_LIMIT) <= 100);
        assertTrue(backoff.nextPauseMillis(30) <= 30, "what is left until the told time bounds it");
        assertEquals(1500, backoff.firstMessageTimeoutMillis());
    }

    /** Guards against eight dispatchers that a break cuts off together asking together, again and again. */
    @Test
    void dispatchersThatShareOneServiceSpreadTheirCalls() {
        double[][] callTimes = new double[8][];
        for (int d = 0; d < callTimes.length; d++) {
            PollBackoff backoff = new PollBackoff(true, 8, 10_000, new SplittableRandom(100 + d));
            double[] elapsedMillis = {0};
            callTimes[d] = DoubleStream.generate(() -> elapsedMillis[0] += backoff.nextPauseMillis(NO_LIMIT))
                    .takeWhile(t -> t < 30_000)
                    .toArray();
        }
        double[] allCallTimes = Arrays.stream(callTimes)
                .flatMapToDouble(Arrays::stream)
                .sorted()
                .toArray();
        // 80 ms a call at the slowest: 12 calls a second. Eight agents' rhythm would make 40 in the first one.
        for (int second = 0; second < 30; second++) {
            int fromMillis = 1000 * second;
            assertTrue(
                    Arrays.stream(allCallTimes)
                                    .filter(t -> t >= fromMillis && t < fromMillis + 1000)
                                    .count()
                            <= 24,
                    fromMillis + " ms");
        }
        assertTrue(allCallTimes.length <= 8 * 20, allCallTimes.length + " calls in 30 s");
        assertTrue(
                Arrays.stream(callTimes)
                                .mapToDouble(calls -> calls[0])
                                .distinct()
                                .count()
                        == 8,
                "at times of their own");
    }

    /** Guards against a call given up while it waits its turn, and against being told while it pauses. */
    @Test
    void settingsLimitThePauseAndTheFirstMessageTimeout() {
        PollBackoff backoff = new PollBackoff(true, 500, 10_000, new SplittableRandom(3));
        assertEquals(5000, backoff.firstMessageTimeoutMillis());
        IntStream.range(0, 1000).forEach(i -> assertTrue(backoff.nextPauseMillis(NO_LIMIT) <= 5000));
        assertEquals(1500, new PollBackoff(true, 3, 1000, new SplittableRandom(3)).firstMessageTimeoutMillis());
    }
}
