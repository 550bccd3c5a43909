package nettlewick.net.endpoint;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import nettlewick.decision.AttemptResult;
import org.junit.jupiter.api.Test;

/** Random steps on the states of an attempt and of the idle connections, each compared with a simple model. */
class EndpointConnectionModelTest {
    private static final String SEED = "20261201";

    /** The model: how far the attempt has progressed, and whether it is over. */
    @Property(seed = SEED, tries = 500)
    void attemptEndsOnceAndKnowsWhetherItMayHaveRun(@ForAll @Size(max = 12) List<@IntRange(max = 4) Integer> steps) {
        AttemptState attempt = new AttemptState();
        int progress = 0;
        boolean over = false;
        for (int step : steps) {
            switch (step) {
                case 0 -> {
                    assertEquals(!over && progress == 0, attempt.beginWriting());
                    progress = over || progress > 0 ? progress : 1;
                }
                case 1 -> {
                    attempt.lastByteWritten();
                    progress = !over && progress == 1 ? 2 : progress;
                }
                case 2 -> {
                    AttemptResult expected =
                            over ? null : progress == 2 ? AttemptResult.BROKEN : AttemptResult.UNREACHABLE;
                    assertEquals(expected, attempt.connectionLost());
                    over = true;
                }
                default -> {
                    AttemptResult result = step == 3 ? AttemptResult.SERVED : AttemptResult.CANCELLED;
                    assertEquals(over ? null : result, attempt.finish(result));
                    over = true;
                }
            }
            assertEquals(over, attempt.phase() == AttemptState.Phase.OVER);
            assertEquals(over, attempt.result() != null);
        }
    }

    /** Guards against sending requests on idle connections while these break, and against never using them again. */
    @Property(seed = SEED, tries = 200)
    void reuseStopsWhileIdleConnectionsBreakAndResumesOnceTheyHold(@ForAll @Size(max = 30) List<Boolean> uses) {
        ConnectionReusePolicy policy = new ConnectionReusePolicy();
        assertEquals(true, policy.allowsReuse());
        uses.forEach(policy::recordUse);
        policy.recordUse(true);
        assertEquals(false, policy.allowsReuse());
        for (int i = 0; i < 40; i++) {
            policy.recordUse(false);
        }
        assertEquals(true, policy.allowsReuse());
    }

    /** The model: a list of connections with the time at which each was returned. */
    @Property(seed = SEED, tries = 500)
    void takesTheNewestIdleConnectionAndNoExpiredOne(@ForAll @Size(max = 40) List<@IntRange(max = 5) Integer> steps) {
        List<Integer> closed = new ArrayList<>();
        IdleConnections<Integer> idle = new IdleConnections<>(() -> 10, closed::add);
        List<int[]> model = new ArrayList<>();
        List<Integer> expectedClosed = new ArrayList<>();
        int now = 0;
        int next = 0;
        for (int step : steps) {
            now += step;
            int currentTime = now;
            if (step <= 1) {
                idle.put(next, now);
                model.add(new int[] {next++, now});
            } else if (step == 2 && !model.isEmpty()) {
                idle.remove(model.remove(0)[0]);
            } else {
                model.stream().filter(l -> currentTime - l[1] >= 10).forEach(l -> expectedClosed.add(l[0]));
                model.removeIf(l -> currentTime - l[1] >= 10);
                Integer taken = idle.take(now);
                if (model.isEmpty()) {
                    assertNull(taken);
                } else {
                    assertEquals(model.remove(model.size() - 1)[0], taken);
                }
            }
            assertEquals(expectedClosed, closed);
            assertEquals(model.size(), idle.size());
        }
        idle.closeAll();
        assertEquals(expectedClosed.size() + model.size(), closed.size());
    }

    /** Guards against reusing a connection so early that a late duplicate response arrives on it. */
    @Test
    void takesTheNewestConnectionThatIdledLongEnough() {
        IdleConnections<Integer> idle = new IdleConnections<>(() -> 1000, link -> {});
        idle.put(1, 0);
        idle.put(2, 30);
        idle.put(3, 60);
        assertEquals(2, idle.take(80, 50));
        assertEquals(3, idle.take(80, 0));
        assertNull(idle.take(40, 50));
        assertEquals(1, idle.size());
    }
}
