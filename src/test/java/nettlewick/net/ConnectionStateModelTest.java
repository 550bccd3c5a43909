package nettlewick.net;

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

/** Random steps against the states of a call and of the idle connections, each beside a plain model. */
class ConnectionStateModelTest {
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

    /** The model: the phase as a letter, when it began, and what was served. */
    @Property(seed = SEED, tries = 2000)
    void clientConnectionEndsInTimeAndNeverWithARequestInFlight(
            @ForAll @Size(max = 30) List<@IntRange(max = 7) Integer> steps) {
        ClientConnectionState state = new ClientConnectionState(0);
        char phase = 'W';
        double now = 0;
        double since = 0;
        int answers = 0;
        int served = 0;
        for (int step : steps) {
            switch (step) {
                case 0 -> {
                    state.bytesReceived(now);
                    since = phase != 'W' ? since : answers == 0 ? 0 : now;
                    phase = phase == 'W' ? 'R' : phase;
                }
                case 1 -> {
                    assertEquals(phase == 'R', state.beginRequest());
                    phase = phase == 'R' ? 'A' : phase;
                }
                case 2 -> {
                    state.responseWritten(now, steps.size() % 2 == 0);
                    if (phase == 'A') {
                        phase = 'W';
                        since = now;
                        answers++;
                        served += 1 - steps.size() % 2;
                    }
                }
                case 3 -> {
                    boolean first = "WRA".indexOf(phase) >= 0;
                    assertEquals(first, state.beginClosing(now));
                    since = first ? now : since;
                    phase = first ? 'C' : phase;
                }
                case 4 -> {
                    boolean first = phase == 'C';
                    assertEquals(first, state.beginLingering(now));
                    since = first ? now : since;
                    phase = first ? 'L' : phase;
                }
                case 5 -> {
                    state.closed();
                    phase = 'X';
                }
                default -> now += step == 6 ? 900 : 3000;
            }
            double age = now - since;
            double most = switch (phase) {
                case 'W' -> served > 0 ? 60_000 : 2400;
                case 'R' -> 2400;
                case 'C' -> 5000;
                case 'L' -> 1000;
                default -> Double.MAX_VALUE;
            };
            assertEquals(age >= most, state.isOverdue(now, false), phase + " since " + age);
            assertEquals("WRA".indexOf(phase) >= 0, state.takesRequests());
            assertEquals(phase == 'W', state.isIdle());
            assertEquals(phase == 'W' && age >= 200, state.isQuiet(now));
            assertEquals(phase == 'L' && age >= 200, state.hasLingered(now));
            assertEquals(served, state.resultsServed());
        }
    }
}
