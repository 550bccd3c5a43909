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

/** The headers of requests that wait, and the one-line message for each invalid header. */
class WaitOptionsTest {
    private static final double NOW = 5_000_000;
    private static final double WALL_CLOCK_MILLIS =
            Instant.parse("2026-12-01T05:00:00Z").toEpochMilli();

    private static WaitOptions parse(String headers) throws WaitOptions.InvalidHeaderException {
        Map<String, List<String>> valuesByHeader = new HashMap<>();
        for (String line : headers.split(";")) {
            String[] pair = line.split("=", 2);
            if (pair.length == 2) {
                valuesByHeader.merge(pair[0], List.of(pair[1]), (a, b) -> List.of(a.get(0), b.get(0)));
            }
        }
        return WaitOptions.parse(name -> valuesByHeader.getOrDefault(name, List.of()), NOW, WALL_CLOCK_MILLIS, 60_000);
    }

    @Test
    void anOrdinaryRequestHasNoWaitOptions() throws Exception {
        assertNull(parse("X-Class=step-view"));
    }

    @Test
    void namesTimesAndPoliciesAreParsed() throws Exception {
        assertEquals(
                new WaitOptions("b", List.of("a", "c"), 0, 0, NOW + 9500, OnFailure.SKIP),
                parse("X-Job-Name=b;X-After=a, c;X-Wait=9.5;X-On-Failure=skip"));
        assertEquals(
                new WaitOptions(null, List.of(), NOW + 2500, 1000, NOW + 60_000, OnFailure.FAIL),
                parse("X-Not-Before=+2.5;X-Window=1"));
        // A quarter of an hour ahead on the wall clock, whatever time the internal clock shows.
        assertEquals(
                NOW + 900_000,
                parse("X-Not-Before=2026-12-01T09:15:00+04:00;X-Wait=1000").notBefore());
        assertEquals(
                Math.max(0, NOW - 3_600_000),
                parse("X-Not-Before=2026-12-01T04:00:00Z").notBefore());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "X-Job-Name=a b|X-Job-Name is not",
                "X-After=a,,b|an invalid name",
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
    void eachInvalidHeaderHasAOneLineMessage(String headers, String part) {
        String message = assertThrows(WaitOptions.InvalidHeaderException.class, () -> parse(headers))
                .getMessage();
        assertTrue(message.contains(part) && !message.contains("\n"), message);
    }
}
