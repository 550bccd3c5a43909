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

/** Random steps against the states of an attempt and of the idle connections, each compared with a plain model. */
class EndpointConnectionModelTest {
    private static final String SEED = "20261201";

    /** The model: how far a call came, and whether it has had its one end. */
    @Property(seed = SEED, tries = 500)
    void attemptEndsOnceAndKnowsWhetherItMayHaveRun(@ForAll @Size(max = 12) List<@IntRange(max = 4) Integer> steps) {
        AttemptState call = new AttemptState();
        int came = 0;
        boolean over = false;
        for (int step : steps) {
            switch (step) {
                case 0 -> {
                    assertEquals(!over && came == 0, call.beginWriting());
                    came = over || came > 0 ? came : 1;
                }
                case 1 -> {
                    call.lastByteWritten();
                    came = !over && came == 1 ? 2 : came;
                }
                case 2 -> {
                    AttemptResult wanted = over ? null : came == 2 ? AttemptResult.BROKEN : AttemptResult.UNREACHABLE;
                    assertEquals(wanted, call.connectionLost());
                    over = true;
                }
                default -> {
                    AttemptResult end = step == 3 ? AttemptResult.SERVED : AttemptResult.CANCELLED;
                    assertEquals(over ? null : end, call.finish(end));
                    over = true;
                }
            }
            assertEquals(over, call.phase() == AttemptState.Phase.OVER);
            assertEquals(over, call.result() != null);
        }
    }

    /** Guards against jobs on kept connections that break, and against mistrust that never ends. */
    @Property(seed = SEED, tries = 200)
    void reuseStopsWhileIdleConnectionsBreakAndResumesOnceTheyHold(@ForAll @Size(max = 30) List<Boolean> uses) {
        ConnectionReusePolicy gauge = new ConnectionReusePolicy();
        assertEquals(true, gauge.allowsReuse());
        uses.forEach(gauge::recordUse);
        gauge.recordUse(true);
        assertEquals(false, gauge.allowsReuse());
        for (int i = 0; i < 40; i++) {
            gauge.recordUse(false);
        }
        assertEquals(true, gauge.allowsReuse());
    }

    /** The model: a list of links with the time each was put back. */
    @Property(seed = SEED, tries = 500)
    void takesTheNewestIdleConnectionAndNoExpiredOne(@ForAll @Size(max = 40) List<@IntRange(max = 5) Integer> steps) {
        List<Integer> closed = new ArrayList<>();
        IdleConnections<Integer> pool = new IdleConnections<>(() -> 10, closed::add);
        List<int[]> model = new ArrayList<>();
        List<Integer> gone = new ArrayList<>();
        int now = 0;
        int next = 0;
        for (int step : steps) {
            now += step;
            int time = now;
            if (step <= 1) {
                pool.put(next, now);
                model.add(new int[] {next++, now});
            } else if (step == 2 && !model.isEmpty()) {
                pool.remove(model.remove(0)[0]);
            } else {
                model.stream().filter(l -> time - l[1] >= 10).forEach(l -> gone.add(l[0]));
                model.removeIf(l -> time - l[1] >= 10);
                Integer taken = pool.take(now);
                if (model.isEmpty()) {
                    assertNull(taken);
                } else {
                    assertEquals(model.remove(model.size() - 1)[0], taken);
                }
            }
            assertEquals(gone, closed);
            assertEquals(model.size(), pool.size());
        }
        pool.closeAll();
        assertEquals(gone.size() + model.size(), closed.size());
    }

    /** Guards against a late second answer on a connection that is used again too soon. */
    @Test
    void takesTheNewestConnectionThatIdledLongEnough() {
        IdleConnections<Integer> pool = new IdleConnections<>(() -> 1000, link -> {});
        pool.put(1, 0);
        pool.put(2, 30);
        pool.put(3, 60);
        assertEquals(2, pool.take(80, 50));
        assertEquals(3, pool.take(80, 0));
        assertNull(pool.take(40, 50));
        assertEquals(1, pool.size());
    }
}
