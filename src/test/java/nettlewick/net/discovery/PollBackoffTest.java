package nettlewick.net.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.SplittableRandom;
import java.util.stream.DoubleStream;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** The pauses between calls to discovery, of one dispatcher and of many that share a service. */
class PollBackoffTest {
    private static final double NO_LIMIT = Double.POSITIVE_INFINITY;

    /** An agent on the same machine can be called at any rate, so its pauses stay short. */
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
        assertTrue(backoff.nextPauseMillis(30) <= 30, "the pause is limited by the remaining time");
        assertEquals(1500, backoff.firstMessageTimeoutMillis());
    }

    /** Guards against eight dispatchers that lose their connections together and keep calling together. */
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
        // The slowest service needs 80 ms a call: 12 calls a second. With the pauses for agents, eight dispatchers
        // would make 40 calls in the first second.
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
                "each dispatcher calls at a different time");
    }

    /**
     * Guards against abandoning a call that waits for its turn, and against a pause that is longer than the time after
     * which a dispatcher counts as notified.
     */
    @Test
    void settingsLimitThePauseAndTheFirstMessageTimeout() {
        PollBackoff backoff = new PollBackoff(true, 500, 10_000, new SplittableRandom(3));
        assertEquals(5000, backoff.firstMessageTimeoutMillis());
        IntStream.range(0, 1000).forEach(i -> assertTrue(backoff.nextPauseMillis(NO_LIMIT) <= 5000));
        assertEquals(1500, new PollBackoff(true, 3, 1000, new SplittableRandom(3)).firstMessageTimeoutMillis());
    }
}
