package nettlewick.contention;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import nettlewick.core.Attempts;
import nettlewick.core.Request;
import nettlewick.decision.AttemptResult;
import nettlewick.decision.SchedulerSettings.Idempotency;
import nettlewick.decision.SchedulerSettings.RequestClass;
import nettlewick.decision.SchedulerSettings.Scope;
import org.junit.jupiter.api.Test;

/** When a dispatcher speaks of a member. */
class UsageReporterTest {
    private static final double WINDOW_MILLIS = 2000;
    private final UsageCounters counters = new UsageCounters(List.of(
            new RequestClass("c", Idempotency.IDEMPOTENT, Scope.ALL, 0, 100_000_000, 0, 1, 1, 0, false, -1, 0)));
    private final UsageReporter reporter = new UsageReporter(counters, Map.of("red", 0.05, "blue", 0.75, "green", 0.2));

    private void recordRequests(String tenant, int jobs, boolean again) {
        for (int i = 0; i < jobs; i++) {
            counters.asked(new Request("j", "c", tenant, null, 1e6, 1, 0, 50, again, null, null));
        }
    }

    @Test
    void withoutHarmReportsAreSentOnlyToAListeningHolder() {
        recordRequests("red", 2, false);
        recordRequests("blue", 8, false);
        assertEquals(
                0,
                reporter.reportsToSend("red", 1, false, WINDOW_MILLIS, 0, java.util.Set::of)
                        .size());
        assertEquals(
                2,
                reporter.reportsToSend("red", 1, true, WINDOW_MILLIS, 100, java.util.Set::of)
                        .size(),
                "and of the window that has ended");
        recordRequests("red", 100, false);
        assertEquals(
                0,
                reporter.reportsToSend("red", 1, false, WINDOW_MILLIS, 2500, java.util.Set::of)
                        .size(),
                "over its share, and nobody is harmed");
    }

    private List<Integer> ages(long fence, boolean listens, double now) {
        return reporter.reportsToSend("red", fence, listens, WINDOW_MILLIS, now, java.util.Set::of).stream()
                .map(UsageReport::ageWindows)
                .toList();
    }

    @Test
    void aNewHolderGetsTheLastWindowsExactlyOnce() {
        for (int w = 0; w < 10; w++) {
            recordRequests("red", 1, false);
            assertEquals(List.of(), ages(1, false, w * WINDOW_MILLIS));
        }
        assertEquals(List.of(1, 2, 3, 4, 5, 6, 0), ages(1, true, 9 * WINDOW_MILLIS + 1));
        assertEquals(List.of(0), ages(1, true, 9 * WINDOW_MILLIS + 500));
        assertEquals(List.of(1, 2, 3, 4, 5, 6, 0), ages(2, true, 9 * WINDOW_MILLIS + 600), "a new holder");
        assertEquals(List.of(1, 0), ages(2, true, 10 * WINDOW_MILLIS));
        assertEquals(List.of(), ages(2, false, 11 * WINDOW_MILLIS));
        assertEquals(List.of(), ages(2, false, 12 * WINDOW_MILLIS));
        assertEquals(List.of(1, 2, 0), ages(2, true, 12 * WINDOW_MILLIS + 1), "one that listens again");
        assertEquals(
                10 * 50,
                UsageReport.decode(reporter.reportsToSend(
                                        "red", 2, true, WINDOW_MILLIS, 12 * WINDOW_MILLIS + 2, java.util.Set::of)
                                .get(0))
                        .totalWork());
    }

    /** Guards against a word on every small member whose one job comes while others are harmed by somebody's flood. */
    @Test
    void theLargestExcessInTwoConsecutiveWindowsIsReportedUnsolicited() {
        List<Boolean> spoke = new java.util.ArrayList<>();
        for (int w = 0; w < 4; w++) {
            recordRequests("red", 3, false);
            recordRequests("blue", 4, false);
            recordRequests("green", 40, false);
            recordHarm();
            spoke.add(!reporter.reportsToSend("green", 1, false, WINDOW_MILLIS, w * WINDOW_MILLIS, java.util.Set::of)
                    .isEmpty());
            assertEquals(List.of(), ages(1, false, w * WINDOW_MILLIS), "red is over its share as well, by little");
        }
        assertEquals(List.of(false, false, true, true), spoke, "what came before it was first asked is no window");
        // Once the one that floods is apart, the next is spoken of.
        List<Integer> then = List.of();
        for (int w = 4; w < 6; w++) {
            recordRequests("red", 20, false);
            recordRequests("green", 40, false);
            recordHarm();
            then =
                    reporter
                            .reportsToSend(
                                    "red", 1, false, WINDOW_MILLIS, w * WINDOW_MILLIS, () -> java.util.Set.of("green"))
                            .stream()
                            .map(UsageReport::ageWindows)
                            .toList();
        }
        assertEquals(List.of(1, 2, 3, 4, 5, 6, 0), then);
    }

    private void recordHarm() {
        for (int i = 0; i < 3; i++) {
            Request r = new Request("h" + i, "c", "blue", null, 1e6, 1, 0, 50, true, null, null);
            counters.ended(Attempts.of(r, "s1"), AttemptResult.OVERLOADED);
        }
    }

    @Test
    void retriesOfRejectedRequestsAreNotDemand() {
        recordRequests("red", 2, false);
        recordRequests("red", 500, true);
        recordRequests("blue", 8, false);
        UsageReport report =
                UsageReport.decode(reporter.reportsToSend("red", 1, true, WINDOW_MILLIS, 0, java.util.Set::of)
                        .get(0));
        assertEquals(100, report.workByTenant().get(UsageCounters.nameHash("red")));
        assertEquals(500, report.totalWork());
        assertTrue(!report.unsolicited());
    }
}
