package nettlewick.decision;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import nettlewick.decision.SchedulerSettings.Rules;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** What all dispatchers together send to an endpoint that has just started, each by its own budget alone. */
class SlowStartBudgetTest {
    private static final long SECOND = 1_000_000_000L;
    private static final long STEP = SECOND / 100;

    /**
     * Each dispatcher sends whenever it may, as if it had no other endpoint. In any window of {@code fall} seconds an
     * endpoint may get N + 2 root N + 2 requests of mean work, and N + 3 root N + 3 where N is under 30, N being what
     * its slots can do while warming up, times the factor. Each dispatcher restarts at some moment and has then
     * forgotten what it sent, as in a rolling restart.
     *
     * @param uneven how much of the fleet's work the busiest dispatcher has, times the mean
     */
    @ParameterizedTest
    @CsvSource({
        "1, 4, 8.9, 0.32, 3.0, 1.0, 0.3, 1",
        "7, 4, 8.9, 0.32, 3.0, 1.0, 0.3, 3",
        "100, 4, 8.9, 0.32, 3.0, 1.0, 0.3, 1",
        "100, 4, 8.9, 0.32, 3.0, 1.0, 0.3, 8",
        "400, 4, 8.9, 0.32, 3.0, 1.0, 0.3, 8",
        "100, 16, 20, 0.2, 2.0, 2.0, 2.5, 4",
        "40, 2, 3, 0.5, 4.0, 0.5, 0.05, 4",
        "100, 1, 10, 0.1, 1.5, 1.0, 0.5, 4",
        "20, 2, 6, 0.3, 3.5, 1.2, 0.07, 2",
        "30, 2, 6, 0.3, 3.5, 1.2, 0.07, 6",
        "25, 5, 7, 0.35, 2.5, 1.5, 0.3, 3",
        "2, 8, 5, 0.25, 2.2, 1.0, 0.1, 1",
        "3, 1, 8, 0.2, 3.0, 1.0, 0.9, 2",
        "1000, 4, 8.9, 0.32, 3.0, 1.0, 0.3, 8"
    })
    void allDispatchersTogetherDoNotOverloadAWarmingEndpoint(
            int dispatchers,
            int slots,
            double cold,
            double coldShare,
            double factor,
            double fall,
            double mean,
            double uneven) {
        Rules rules = new Rules(0, 0, (long) (cold * SECOND), coldShare, 0, (long) (fall * SECOND), factor);
        for (int seed = 0; seed < 20; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            long start = SECOND;
            List<Endpoint> views = new ArrayList<>();
            List<EndpointKindStats> kinds = new ArrayList<>();
            List<Long> toldAt = new ArrayList<>();
            List<Long> restartAt = new ArrayList<>();
            for (int d = 0; d < dispatchers; d++) {
                Endpoint endpoint = new Endpoint("w");
                endpoint.update(new EndpointEntry("w", EndpointState.READY, start, 0, "std", "a", 1), 0, true);
                endpoint.slowStartCredit().reset(-random.nextDouble() * SlowStartBudget.maxInitialDebt(mean), start);
                views.add(endpoint);
                // All slots of a warm peer are in work: the first has its multiple, the others share the rest.
                double carriedRate = d == 0
                        ? slots * Math.min(1, uneven / dispatchers)
                        : slots * (1 - Math.min(1, uneven / dispatchers)) / Math.max(1, dispatchers - 1);
                kinds.add(new EndpointKindStats(slots, carriedRate, random.nextInt(2) * 100));
                toldAt.add(start + random.nextLong(SECOND));
                restartAt.add(start + SECOND + random.nextLong(rules.slowStartNanos()));
            }
            SlowStartBudget rule = new SlowStartBudget(rules, dispatchers);
            List<Long> sends = new ArrayList<>();
            for (long now = start; now < start + rules.slowStartNanos(); now += STEP) {
                for (int d = 0; d < dispatchers; d++) {
                    Endpoint endpoint = views.get(d);
                    if (restartAt.get(d) >= now && restartAt.get(d) < now + STEP) {
                        endpoint.slowStartCredit()
                                .reset(-random.nextDouble() * SlowStartBudget.maxInitialDebt(mean), now);
                        EndpointKindStats before = kinds.get(d);
                        kinds.set(d, new EndpointKindStats(before.maxFreeSlots(), before.servedRatePerEndpoint(), 0));
                    }
                    if (now >= toldAt.get(d) && rule.admits(endpoint, kinds.get(d), mean, now)) {
                        // Work is drawn with a spread of about a factor of two; half the mean counts at least.
                        double cost = mean * Math.exp(0.7 * random.nextDouble() - 0.35);
                        endpoint.slowStartCredit().spend(Math.max(cost, mean / 2));
                        sends.add(now);
                    }
                }
                long from = now - rules.overloadWindowNanos();
                sends.removeIf(at -> at <= from);
                double age = (double) (now - start) / rules.slowStartNanos();
                double n = factor * (coldShare + (1 - coldShare) * age) * slots * fall / mean;
                double most = n + (n < 30 ? 3 * Math.sqrt(n) + 3 : 2 * Math.sqrt(n) + 2);
                assertTrue(
                        sends.size() <= most,
                        sends.size() + " of " + most + " after " + (now - start) / 1e9 + " s, seed " + seed);
            }
        }
    }
}
