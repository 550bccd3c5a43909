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

/** Order and pace at the gate, and the longest wait under floods against the bound that it states. */
class ReleaseQueueTest {
    private static final double AGE = 500;
    private static final double QUANTUM = 100;
    /** Three times the bound, in milliseconds. */
    private static final double LENGTH = 66_000;

    @Test
    void membersTakeTurnsByWorkAndWorthDecidesInsideOne() {
        ReleaseQueue gate = new ReleaseQueue(AGE, QUANTUM, 100, 100);
        for (int i = 0; i < 6; i++) {
            gate.add("a" + i, "a", i == 5 ? 10 : 1, 100, 0);
            gate.add("b" + i, "b", 1, 50, 0);
        }
        List<String> order = gate.release(0);
        assertEquals("a5", order.get(0));
        assertEquals(12, order.size());
        assertEquals(List.of("a5", "b0", "b1", "a0", "b2", "b3"), order.subList(0, 6));
    }

    @Test
    void theWindowGrowsWithServiceAndHalvesOnceForOneRefusal() {
        ReleaseQueue gate = new ReleaseQueue(AGE, QUANTUM, 8, 64);
        for (int i = 0; i < 100; i++) {
            gate.add("j" + i, "m", 1, 10, i);
        }
        List<String> out = gate.release(0);
        assertEquals(8, out.size());
        gate.jobRejected(out.get(0), 100, 10);
        gate.jobRejected(out.get(1), 100, 11);
        assertEquals(4, gate.window());
        assertEquals(List.of(), gate.release(12), "six are still out");
        for (String id : out.subList(2, 8)) {
            gate.jobFinished(id, true);
        }
        assertTrue(gate.window() > 5);
        assertEquals(List.of("j0", "j1"), gate.release(12).subList(0, 2), "they keep their age");
        assertTrue(gate.remove("j50", "m"));
        assertFalse(gate.remove("j50", "m"));
        assertThrows(IllegalArgumentException.class, () -> new ReleaseQueue(0, 1, 1, 1));
    }

    /** What a flood of worthy jobs does to light ones, for as long as it lasts. */
    private static Map<String, Double> flood(double age, double load, int members, int most, long seed) {
        Random random = new Random(seed);
        ReleaseQueue gate = new ReleaseQueue(age, QUANTUM, 1, 1);
        Map<String, Double> since = new HashMap<>();
        Map<String, Double> worst = new HashMap<>();
        String out = null;
        double free = 0;
        double gone = 0;
        int number = 0;
        List<String> waitingLight = new ArrayList<>();
        for (double now = 0; now < LENGTH; now++) {
            // Each millisecond offers `load` slot-milliseconds of mark-submit by every member, within their
            // queues.
            for (gone += load; gone >= 10; gone -= 10) {
                String member = "m" + random.nextInt(members);
                String id = "w" + number++;
                if (gate.size() - waitingLight.size() < most) {
                    gate.add(id, member, 10, 10, now);
                    since.put(id, now);
                }
            }
            if (now % 200 == 0) {
                String id = "l" + number++;
                gate.add(id, "m" + random.nextInt(members), 1, 10, now);
                since.put(id, now);
                waitingLight.add(id);
            }
            if (out != null && now >= free) {
                gate.jobFinished(out, true);
                out = null;
            }
            if (out == null) {
                List<String> handed = gate.release(now);
                if (!handed.isEmpty()) {
                    out = handed.get(0);
                    free = now + 10;
                    double waited = now - since.remove(out);
                    worst.merge(out.substring(0, 1), waited, Math::max);
                    waitingLight.remove(out);
                }
            }
        }
        waitingLight.forEach(id -> worst.merge("l", LENGTH - since.get(id), Math::max));
        return worst;
    }

    @ParameterizedTest
    @ValueSource(doubles = {1.5, 3, 10})
    void noWaitPassesTheBoundUnderAFloodAndWithoutAgeingOneStarves(double load) {
        int members = 3;
        int most = 60;
        // All of the queue may be one member's; its flood goes on while a light job can still be passed.
        double passed = (10 - 1) * AGE;
        double bound = ReleaseQueue.maxWaitMillis(
                AGE, 10, members, (most + 9) * 10 + Math.min(passed * load, passed), 10, QUANTUM, 1);
        for (long seed = 1; seed <= 3; seed++) {
            Map<String, Double> aged = flood(AGE, load, members, most, seed);
            assertTrue(aged.get("l") <= bound && aged.get("w") <= bound, aged + " against " + bound);
            Map<String, Double> starved = flood(Double.POSITIVE_INFINITY, load, members, most, seed);
            assertTrue(starved.get("l") > bound, starved + " against " + bound + ": without ageing it starves");
        }
    }

    @Test
    void oneMembersFloodCostsTheOthersNoMoreThanTheirTurns() {
        ReleaseQueue gate = new ReleaseQueue(AGE, QUANTUM, 1, 1);
        for (int i = 0; i < 5000; i++) {
            gate.add("flood" + i, "big", 10, 10, 0);
        }
        for (int m = 0; m < 8; m++) {
            gate.add("small" + m, "s" + m, 1, 10, 0);
        }
        List<String> order = new ArrayList<>();
        while (gate.size() > 0 && order.size() < 200) {
            String id = gate.release(order.size() * 10).get(0);
            order.add(id);
            gate.jobFinished(id, true);
        }
        for (int m = 0; m < 8; m++) {
            assertTrue(
                    order.indexOf("small" + m) < 2 * (8 + QUANTUM / 10),
                    "small" + m + " came " + order.indexOf("small" + m));
        }
    }
}
