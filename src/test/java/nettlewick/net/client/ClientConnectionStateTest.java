package nettlewick.net.client;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/** Random steps on the states of a client connection, compared with a simple model. */
class ClientConnectionStateTest {
    private static final String SEED = "20261201";

    /** The model: the phase as a letter, when it began, and how many responses and results were written. */
    @Property(seed = SEED, tries = 2000)
    void clientConnectionEndsInTimeAndNeverWithARequestInFlight(
            @ForAll @Size(max = 30) List<@IntRange(max = 7) Integer> steps) {
        ClientConnectionState state = new ClientConnectionState(0, OutputTimeouts.STANDARD);
        char phase = 'W';
        double now = 0;
        double since = 0;
        int responses = 0;
        int served = 0;
        for (int step : steps) {
            switch (step) {
                case 0 -> {
                    state.bytesReceived(now);
                    since = phase != 'W' ? since : responses == 0 ? 0 : now;
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
                        responses++;
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
            double timeoutMillis = timeoutMillis(phase, served);
            assertEquals(age >= timeoutMillis, state.isOverdue(now, false), phase + " since " + age);
            assertEquals("WRA".indexOf(phase) >= 0, state.takesRequests());
            assertEquals(phase == 'W', state.isIdle());
            assertEquals(phase == 'W' && age >= 200, state.isQuiet(now));
            assertEquals(phase == 'L' && age >= 200, state.hasLingered(now));
            assertEquals(served, state.resultsServed());
        }
    }

    /** Random times at which parts of a response are read, compared with the two timeouts computed from all of them. */
    @Property(seed = SEED, tries = 1000)
    void unreadOutputEndsTheConnectionAfterAStallOrInTotal(
            @ForAll @Size(max = 40) List<@IntRange(min = 100, max = 5500) Integer> pauses,
            @ForAll boolean isLastResponse,
            @ForAll @IntRange(max = 40_000) int minReadMillis) {
        OutputTimeouts timeouts = OutputTimeouts.STANDARD.extendedTo(minReadMillis);
        assertEquals(Math.max(5000, minReadMillis), timeouts.stallMillis());
        assertEquals(60_000, timeouts.totalMillis());
        double end = 700;
        ClientConnectionState state = new ClientConnectionState(0, timeouts);
        state.bytesReceived(0);
        state.beginRequest();
        if (isLastResponse) {
            state.beginClosing(end);
        } else {
            state.responseWritten(end, true);
        }
        double now = end;
        for (int pause : pauses) {
            double closesAt = Math.min(now + timeouts.stallMillis(), end + timeouts.totalMillis());
            now += pause;
            assertEquals(now >= closesAt, state.isOverdue(now, true));
            state.outputProgressed(now);
        }
    }

    private static double timeoutMillis(char phase, int served) {
        return switch (phase) {
            case 'W' -> served > 0 ? 60_000 : 2400;
            case 'R' -> 2400;
            case 'C' -> 5000;
            case 'L' -> 1000;
            default -> Double.MAX_VALUE;
        };
    }
}
