package nettlewick.waiting;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Order and rate of releases, and the longest wait under overload compared with the stated bound. */
class ReleaseQueueTest {
    private static final double AGING_MILLIS = 500;
    private static final double QUANTUM = 100;
    /** Three times the bound. */
    private static final double DURATION_MILLIS = 66_000;

    @Test
    void tenantsShareByWorkAndWeightDecidesWithinATenant() {
        ReleaseQueue queue = new ReleaseQueue(AGING_MILLIS, QUANTUM, 100, 100);
        for (int i = 0; i < 6; i++) {
            queue.add("a" + i, "a", i == 5 ? 10 : 1, 100, 0);
            queue.add("b" + i, "b", 1, 50, 0);
        }
        List<String> order = queue.release(0);
        assertEquals("a5", order.get(0));
        assertEquals(12, order.size());
        assertEquals(List.of("a5", "b0", "b1", "a0", "b2", "b3"), order.subList(0, 6));
    }

    @Test
    void theWindowGrowsWithServedJobsAndHalvesOncePerRejection() {
        ReleaseQueue queue = new ReleaseQueue(AGING_MILLIS, QUANTUM, 8, 64);
        for (int i = 0; i < 100; i++) {
            queue.add("j" + i, "m", 1, 10, i);
        }
        List<String> released = queue.release(0);
        assertEquals(8, released.size());
        queue.jobRejected(released.get(0), 100, 10);
        queue.jobRejected(released.get(1), 100, 11);
        assertEquals(4, queue.window());
        assertEquals(List.of(), queue.release(12), "six are still in flight");
        for (String id : released.subList(2, 8)) {
            queue.jobFinished(id, true);
        }
        assertTrue(queue.window() > 5);
        assertEquals(List.of("j0", "j1"), queue.release(12).subList(0, 2), "rejected jobs keep their age");
        assertTrue(queue.remove("j50", "m"));
        assertFalse(queue.remove("j50", "m"));
        assertThrows(IllegalArgumentException.class, () -> new ReleaseQueue(0, 1, 1, 1));
    }

    /** The longest waits of heavy (w) and light (l) jobs, by weight, while heavy ones overload the queue. */
    private static Map<String, Double> longestWaitsUnderOverload(
            double agingMillis, double load, int tenants, int maxHeavyJobs, long seed) {
        Random random = new Random(seed);
        ReleaseQueue queue = new ReleaseQueue(agingMillis, QUANTUM, 1, 1);
        Map<String, Double> readyAt = new HashMap<>();
        Map<String, Double> longestWaits = new HashMap<>();
        String runningJob = null;
        double freeAt = 0;
        double offeredWork = 0;
        int number = 0;
        List<String> waitingLightJobs = new ArrayList<>();
        for (double now = 0; now < DURATION_MILLIS; now++) {
            // Each millisecond offers `load` slot-milliseconds of heavy jobs, as long as the queue admits them.
            for (offeredWork += load; offeredWork >= 10; offeredWork -= 10) {
                String tenant = "m" + random.nextInt(tenants);
                String id = "w" + number++;
                if (queue.size() - waitingLightJobs.size() < maxHeavyJobs) {
                    queue.add(id, tenant, 10, 10, now);
                    readyAt.put(id, now);
                }
            }
            if (now % 200 == 0) {
                String id = "l" + number++;
                queue.add(id, "m" + random.nextInt(tenants), 1, 10, now);
                readyAt.put(id, now);
                waitingLightJobs.add(id);
            }
            if (runningJob != null && now >= freeAt) {
                queue.jobFinished(runningJob, true);
                runningJob = null;
            }
            if (runningJob == null) {
                List<String> jobs = queue.release(now);
                if (!jobs.isEmpty()) {
                    runningJob = jobs.get(0);
                    freeAt = now + 10;
                    double waited = now - readyAt.remove(runningJob);
                    longestWaits.merge(runningJob.substring(0, 1), waited, Math::max);
                    waitingLightJobs.remove(runningJob);
                }
            }
        }
        waitingLightJobs.forEach(id -> longestWaits.merge("l", DURATION_MILLIS - readyAt.get(id), Math::max));
        return longestWaits;
    }

    @ParameterizedTest
    @ValueSource(doubles = {1.5, 3, 10})
    void noWaitExceedsTheBoundUnderOverloadAndWithoutAgingLightJobsStarve(double load) {
        int tenants = 3;
        int maxHeavyJobs = 60;
        // All queued jobs may be one tenant's, which adds heavy ones while they can still overtake a light job.
        double passedMillis = (10 - 1) * AGING_MILLIS;
        double bound = ReleaseQueue.maxWaitMillis(
                AGING_MILLIS,
                10,
                tenants,
                (maxHeavyJobs + 9) * 10 + Math.min(passedMillis * load, passedMillis),
                10,
                QUANTUM,
                1);
        for (long seed = 1; seed <= 3; seed++) {
            Map<String, Double> withAging = longestWaitsUnderOverload(AGING_MILLIS, load, tenants, maxHeavyJobs, seed);
            assertTrue(withAging.get("l") <= bound && withAging.get("w") <= bound, withAging + " against " + bound);
            Map<String, Double> withoutAging =
                    longestWaitsUnderOverload(Double.POSITIVE_INFINITY, load, tenants, maxHeavyJobs, seed);
            assertTrue(
                    withoutAging.get("l") > bound,
                    withoutAging + " against " + bound + ": without aging light jobs starve");
        }
    }

    @Test
    void overloadByOneTenantDelaysOthersNoLongerThanTheirTurns() {
        ReleaseQueue queue = new ReleaseQueue(AGING_MILLIS, QUANTUM, 1, 1);
        for (int i = 0; i < 5000; i++) {
            queue.add("flood" + i, "big", 10, 10, 0);
        }
        for (int tenant = 0; tenant < 8; tenant++) {
            queue.add("small" + tenant, "s" + tenant, 1, 10, 0);
        }
        List<String> order = new ArrayList<>();
        while (queue.size() > 0 && order.size() < 200) {
            String id = queue.release(order.size() * 10).get(0);
            order.add(id);
            queue.jobFinished(id, true);
        }
        for (int tenant = 0; tenant < 8; tenant++) {
            assertTrue(
                    order.indexOf("small" + tenant) < 2 * (8 + QUANTUM / 10),
                    "small" + tenant + " was released at position " + order.indexOf("small" + tenant));
        }
    }
}
