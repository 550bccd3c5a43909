package nettlewick.decision;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import nettlewick.decision.SchedulerSettings.Rules;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Load that all dispatchers together send to an endpoint in slow start, each limited only by its own budget. */
class SlowStartBudgetTest {
    private static final long SECOND = 1_000_000_000L;
    private static final long STEP_NANOS = SECOND / 100;

    /**
     * Each dispatcher sends whenever its budget permits, as if there were no other endpoint. In any window, the
     * endpoint may receive N + 2 sqrt(N) + 2 requests of mean cost, or N + 3 sqrt(N) + 3 if N is below 30, where N is
     * the number that its slots can serve during slow start times the overload factor. Each dispatcher restarts once at
     * a random time and loses its state, as in a rolling restart.
     *
     * @param slowStart     duration of slow start, in seconds
     * @param startShare    share of its capacity that the endpoint has at its start
     * @param factor        overload factor of the rules
     * @param window        overload window, in seconds
     * @param mean          mean cost of a request, in slot-seconds
     * @param busiestFactor load of the busiest dispatcher as a multiple of the mean
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
            double slowStart,
            double startShare,
            double factor,
            double window,
            double mean,
            double busiestFactor) {
        Rules rules = new Rules(0, 0, (long) (slowStart * SECOND), startShare, 0, (long) (window * SECOND), factor);
        for (int seed = 0; seed < 20; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            long start = SECOND;
            List<Endpoint> endpoints = new ArrayList<>();
            List<EndpointKindStats> stats = new ArrayList<>();
            List<Long> listedAt = new ArrayList<>();
            List<Long> restartAt = new ArrayList<>();
            for (int d = 0; d < dispatchers; d++) {
                Endpoint endpoint = new Endpoint("w");
                endpoint.update(new EndpointEntry("w", EndpointState.READY, start, 0, "std", "a", 1), 0, true);
                endpoint.slowStartCredit().reset(-random.nextDouble() * SlowStartBudget.maxInitialDebt(mean), start);
                endpoints.add(endpoint);
                // All slots of a warm endpoint are busy: the first dispatcher has its multiple, others share the rest.
                double servedRate = d == 0
                        ? slots * Math.min(1, busiestFactor / dispatchers)
                        : slots * (1 - Math.min(1, busiestFactor / dispatchers)) / Math.max(1, dispatchers - 1);
                stats.add(new EndpointKindStats(slots, servedRate, random.nextInt(2) * 100));
                listedAt.add(start + random.nextLong(SECOND));
                restartAt.add(start + SECOND + random.nextLong(rules.slowStartNanos()));
            }
            SlowStartBudget budget = new SlowStartBudget(rules, dispatchers);
            List<Long> sends = new ArrayList<>();
            for (long now = start; now < start + rules.slowStartNanos(); now += STEP_NANOS) {
                for (int d = 0; d < dispatchers; d++) {
                    Endpoint endpoint = endpoints.get(d);
                    if (restartAt.get(d) >= now && restartAt.get(d) < now + STEP_NANOS) {
                        endpoint.slowStartCredit()
                                .reset(-random.nextDouble() * SlowStartBudget.maxInitialDebt(mean), now);
                        EndpointKindStats before = stats.get(d);
                        stats.set(d, new EndpointKindStats(before.maxFreeSlots(), before.servedRatePerEndpoint(), 0));
                    }
                    if (now >= listedAt.get(d) && budget.admits(endpoint, stats.get(d), mean, now)) {
                        // Costs are random within a factor of about two; at least half the mean cost is charged.
                        double cost = mean * Math.exp(0.7 * random.nextDouble() - 0.35);
                        endpoint.slowStartCredit().spend(Math.max(cost, mean / 2));
                        sends.add(now);
                    }
                }
                long from = now - rules.overloadWindowNanos();
                sends.removeIf(at -> at <= from);
                double age = (double) (now - start) / rules.slowStartNanos();
                double expected = factor * (startShare + (1 - startShare) * age) * slots * window / mean;
                double limit = expected + (expected < 30 ? 3 * Math.sqrt(expected) + 3 : 2 * Math.sqrt(expected) + 2);
                assertTrue(
                        sends.size() <= limit,
                        sends.size() + " of " + limit + " after " + (now - start) / 1e9 + " s, seed " + seed);
            }
        }
    }
}
