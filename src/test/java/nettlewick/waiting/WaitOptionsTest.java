package nettlewick.waiting;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import nettlewick.waiting.DependencyTracker.OnFailure;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The headers of jobs that wait: what they mean, and one line for each mistake. */
class WaitOptionsTest {
    private static final double NOW = 5_000_000;
    private static final double WALL = Instant.parse("2026-12-01T05:00:00Z").toEpochMilli();

    private static WaitOptions read(String headers) throws WaitOptions.InvalidHeaderException {
        Map<String, List<String>> all = new HashMap<>();
        for (String line : headers.split(";")) {
            String[] pair = line.split("=", 2);
            if (pair.length == 2) {
                all.merge(pair[0], List.of(pair[1]), (a, b) -> List.of(a.get(0), b.get(0)));
            }
        }
        return WaitOptions.parse(name -> all.getOrDefault(name, List.of()), NOW, WALL, 60_000);
    }

    @Test
    void anOrdinaryJobAsksForNothing() throws Exception {
        assertNull(read("X-Class=step-view"));
    }

    @Test
    void namesTimesAndPoliciesAreRead() throws Exception {
        assertEquals(
                new WaitOptions("b", List.of("a", "c"), 0, 0, NOW + 9500, OnFailure.SKIP),
                read("X-Job-Name=b;X-After=a, c;X-Wait=9.5;X-On-Failure=skip"));
        assertEquals(
                new WaitOptions(null, List.of(), NOW + 2500, 1000, NOW + 60_000, OnFailure.FAIL),
                read("X-Not-Before=+2.5;X-Window=1"));
        // A quarter of an hour ahead on the wall clock, whatever the one clock shows.
        assertEquals(
                NOW + 900_000,
                read("X-Not-Before=2026-12-01T09:15:00+04:00;X-Wait=1000").notBefore());
        assertEquals(
                Math.max(0, NOW - 3_600_000),
                read("X-Not-Before=2026-12-01T04:00:00Z").notBefore());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "X-Job-Name=a b|X-Job-Name is not",
                "X-After=a,,b|no name",
                "X-After=a,a|names a twice",
                "X-Job-Name=a;X-After=a|names the job itself",
                "X-Window=1|needs X-Not-Before",
                "X-On-Failure=run|needs X-After",
                "X-After=a;X-On-Failure=stop|not one of",
                "X-Wait=0|not above 0",
                "X-Wait=-1|not a number of seconds",
                "X-Wait=1e3|not a number of seconds",
                "X-Not-Before=tomorrow|neither a time",
                "X-Not-Before=+x|not a number of seconds",
                "X-Not-Before=+61|beyond X-Wait",
                "X-Not-Before=+50;X-Window=10|beyond X-Wait",
                "X-After=a;X-After=b|more than once"
            })
    void eachMistakeIsOneLine(String headers, String part) {
        String line = assertThrows(WaitOptions.InvalidHeaderException.class, () -> read(headers))
                .getMessage();
        assertTrue(line.contains(part) && !line.contains("\n"), line);
    }
}
