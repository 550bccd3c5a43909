package nettlewick.contention;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import nettlewick.core.Request;
import nettlewick.core.TestAttempts;
import nettlewick.decision.AttemptResult;
import nettlewick.decision.SchedulerSettings.Idempotency;
import nettlewick.decision.SchedulerSettings.RequestClass;
import nettlewick.decision.SchedulerSettings.Scope;
import org.junit.jupiter.api.Test;

/** When a dispatcher sends usage reports on a tenant. */
class UsageReporterTest {
    private static final double WINDOW_MILLIS = 2000;
    private final UsageCounters counters = new UsageCounters(List.of(
            new RequestClass("c", Idempotency.IDEMPOTENT, Scope.ALL, 0, 100_000_000, 0, 1, 1, 0, false, -1, 0)));
    private final UsageReporter reporter = new UsageReporter(counters, Map.of("red", 0.05, "blue", 0.75, "green", 0.2));

    private void recordRequests(String tenant, int count, boolean retry) {
        for (int i = 0; i < count; i++) {
            counters.onRequestAccepted(new Request("j", "c", tenant, null, 1e6, 1, 0, 50, retry, null, null));
        }
    }

    @Test
    void withoutHarmReportsAreSentOnlyOnRequest() {
        recordRequests("red", 2, false);
        recordRequests("blue", 8, false);
        assertEquals(
                0,
                reporter.reportsToSend("red", 1, false, WINDOW_MILLIS, 0, Set::of)
                        .size());
        assertEquals(
                2,
                reporter.reportsToSend("red", 1, true, WINDOW_MILLIS, 100, Set::of)
                        .size(),
                "one of them is on the window that has ended");
        recordRequests("red", 100, false);
        assertEquals(
                0,
                reporter.reportsToSend("red", 1, false, WINDOW_MILLIS, 2500, Set::of)
                        .size(),
                "over its quota, but no tenant is harmed");
    }

    private List<Integer> reportAges(long fence, boolean holderRequestsReports, double nowMillis) {
        return reporter.reportsToSend("red", fence, holderRequestsReports, WINDOW_MILLIS, nowMillis, Set::of).stream()
                .map(UsageReportCodec::ageWindows)
                .toList();
    }

    @Test
    void aNewHolderGetsTheLastWindowsExactlyOnce() {
        for (int w = 0; w < 10; w++) {
            recordRequests("red", 1, false);
            assertEquals(List.of(), reportAges(1, false, w * WINDOW_MILLIS));
        }
        assertEquals(List.of(1, 2, 3, 4, 5, 6, 0), reportAges(1, true, 9 * WINDOW_MILLIS + 1));
        assertEquals(List.of(0), reportAges(1, true, 9 * WINDOW_MILLIS + 500));
        assertEquals(List.of(1, 2, 3, 4, 5, 6, 0), reportAges(2, true, 9 * WINDOW_MILLIS + 600), "a new holder");
        assertEquals(List.of(1, 0), reportAges(2, true, 10 * WINDOW_MILLIS));
        assertEquals(List.of(), reportAges(2, false, 11 * WINDOW_MILLIS));
        assertEquals(List.of(), reportAges(2, false, 12 * WINDOW_MILLIS));
        assertEquals(
                List.of(1, 2, 0),
                reportAges(2, true, 12 * WINDOW_MILLIS + 1),
                "the same holder requests reports again");
        assertEquals(
                10 * 50,
                UsageReportCodec.decode(
                                reporter.reportsToSend("red", 2, true, WINDOW_MILLIS, 12 * WINDOW_MILLIS + 2, Set::of)
                                        .get(0))
                        .totalWork());
    }

    /** A small tenant must not be reported for a few requests while another tenant's flood causes the harm. */
    @Test
    void theLargestExcessInTwoConsecutiveWindowsIsReportedUnsolicited() {
        List<Boolean> reported = new ArrayList<>();
        for (int w = 0; w < 4; w++) {
            recordRequests("red", 3, false);
            recordRequests("blue", 4, false);
            recordRequests("green", 40, false);
            recordHarm();
            reported.add(!reporter.reportsToSend("green", 1, false, WINDOW_MILLIS, w * WINDOW_MILLIS, Set::of)
                    .isEmpty());
            assertEquals(List.of(), reportAges(1, false, w * WINDOW_MILLIS), "red is slightly over its quota as well");
        }
        assertEquals(
                List.of(false, false, true, true),
                reported,
                "counts before the first evaluation are not part of any window");
        // Once the flooding tenant is isolated, the next one is reported.
        List<Integer> afterIsolation = List.of();
        for (int w = 4; w < 6; w++) {
            recordRequests("red", 20, false);
            recordRequests("green", 40, false);
            recordHarm();
            afterIsolation =
                    reporter
                            .reportsToSend("red", 1, false, WINDOW_MILLIS, w * WINDOW_MILLIS, () -> Set.of("green"))
                            .stream()
                            .map(UsageReportCodec::ageWindows)
                            .toList();
        }
        assertEquals(List.of(1, 2, 3, 4, 5, 6, 0), afterIsolation);
    }

    private void recordHarm() {
        for (int i = 0; i < 3; i++) {
            Request request = new Request("h" + i, "c", "blue", null, 1e6, 1, 0, 50, true, null, null);
            counters.onAttemptEnded(TestAttempts.create(request, "s1"), AttemptResult.OVERLOADED);
        }
    }

    @Test
    void retriesOfRejectedRequestsAreNotDemand() {
        recordRequests("red", 2, false);
        recordRequests("red", 500, true);
        recordRequests("blue", 8, false);
        UsageReport report = UsageReportCodec.decode(reporter.reportsToSend("red", 1, true, WINDOW_MILLIS, 0, Set::of)
                .get(0));
        assertEquals(100, report.workByTenant().get(UsageCounters.nameHash("red")));
        assertEquals(500, report.totalWork());
        assertTrue(!report.unsolicited());
    }
}
