package nettlewick.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.IntStream;
import nettlewick.decision.Event.Arrival;
import nettlewick.decision.SchedulerSettings.Idempotency;
import nettlewick.decision.SchedulerSettings.RequestClass;
import nettlewick.decision.SchedulerSettings.Scope;
import org.junit.jupiter.api.Test;

/** Which endpoints are ejected, how many at most, and how they are readmitted. */
class OutlierDetectorTest {
    private static final long MS = 1_000_000;
    private final List<Endpoint> endpoints =
            IntStream.range(0, 6).mapToObj(i -> new Endpoint("w" + i)).toList();
    private final OutlierDetector outliers = new OutlierDetector(() -> endpoints);

    private boolean isEjected(int i, long now) {
        return endpoints.get(i).health().isEjected(now);
    }

    private static void reportQueue(Endpoint endpoint, double queued, long now) {
        EndpointLoad load = new EndpointLoad(Double.NaN, Double.NaN, queued, Double.NaN, Double.NaN);
        endpoint.capacity().applyReport(load, now, new EndpointKindStats(), new LargestRequest());
    }

    @Test
    void twoBrokenConnectionsInARowEjectAnEndpointOneDoesNot() {
        outliers.recordResult(endpoints.get(0), AttemptResult.BROKEN, MS, 0);
        outliers.recordResult(endpoints.get(0), AttemptResult.SERVED, MS, 0);
        outliers.recordResult(endpoints.get(0), AttemptResult.UNREACHABLE, MS, 0);
        assertFalse(isEjected(0, 1));
        outliers.recordResult(endpoints.get(0), AttemptResult.BROKEN, MS, 0);
        assertTrue(isEjected(0, 1));
        outliers.recordResult(endpoints.get(1), AttemptResult.UNREACHABLE, 200 * MS, 0);
        assertTrue(isEjected(1, 1), "a connect timeout ejects at once");
    }

    @Test
    void whereManyConnectionsBreakMoreInARowAreNeededToEject() {
        for (int i = 0; i < 60; i++) {
            outliers.recordResult(
                    endpoints.get(1 + i % 5), i % 6 == 0 ? AttemptResult.BROKEN : AttemptResult.SERVED, MS, 0);
        }
        outliers.recordResult(endpoints.get(0), AttemptResult.BROKEN, MS, 0);
        outliers.recordResult(endpoints.get(0), AttemptResult.BROKEN, MS, 0);
        assertFalse(isEjected(0, 1));
        for (int i = 0; i < 3; i++) {
            outliers.recordResult(endpoints.get(0), AttemptResult.BROKEN, MS, 0);
        }
        assertTrue(isEjected(0, 1));
    }

    /** Guards against a request waiting until its deadline on a stalled connection to a healthy endpoint. */
    @Test
    void anOvertakenOrStalledAttemptIsLost() {
        Endpoint endpoint = endpoints.get(0);
        Attempt first = new Attempt(null, endpoint, 0, 0);
        Attempt second = new Attempt(null, endpoint, 0, 251 * MS);
        assertFalse(OutlierDetector.isLost(first, 500 * MS, 1000 * MS));
        OutlierDetector.recordProgress(second, true, 600 * MS);
        assertTrue(OutlierDetector.isLost(first, 600 * MS, 1000 * MS));
        assertFalse(OutlierDetector.isLost(second, 2600 * MS, 1000 * MS));
        assertTrue(OutlierDetector.isLost(second, 2601 * MS, 1000 * MS));
        assertFalse(
                OutlierDetector.isLost(second, 9000 * MS, 0),
                "without progress events, a running attempt is not taken for lost");
    }

    /** Guards against a lost attempt occupying its slots until its deadline. */
    @Test
    void anAttemptThatNeverStartsAtAnEmptyQueueIsLostAndReleasesItsSlots() {
        Endpoint endpoint = endpoints.get(0);
        RequestClass read = Samples.requestClass("read", Idempotency.IDEMPOTENT, Scope.ALL, 1);
        ScheduledRequest request = new ScheduledRequest(Samples.arrival("a", "read", "red"), read, 0, null, 0);
        Attempt sent = new Attempt(request, endpoint, 0, 0);
        endpoint.inFlight().add(sent);
        reportQueue(endpoint, 0, 1500 * MS);
        assertFalse(OutlierDetector.isLost(sent, 1501 * MS, 0));
        reportQueue(endpoint, 0, 1501 * MS);
        assertTrue(OutlierDetector.isLost(sent, 1501 * MS, 0));
        reportQueue(endpoint, 1, 1501 * MS);
        assertFalse(OutlierDetector.isLost(sent, 1501 * MS, 0), "it may be the queued request");
        HedgingPolicy hedging = new HedgingPolicy(r -> true);
        assertFalse(hedging.mayHedge(request));
        hedging.recordLost(sent);
        endpoint.inFlight().release(sent);
        hedging.recordLost(sent);
        endpoint.inFlight().release(sent);
        assertEquals(0, endpoint.inFlight().slots());
        hedging.recordHedge();
        assertTrue(hedging.mayHedge(request));
        hedging.recordHedge();
        assertFalse(hedging.mayHedge(request), "at most two hedged requests per lost attempt");
        endpoint.inFlight().remove(sent);
        assertEquals(0, endpoint.inFlight().slots());
    }

    /**
     * Guards against taking queued attempts for lost, and cancelling them, at sites whose reports do not include the
     * queue. Under overload, the cancelled attempts ran on and 75% of all attempts found their endpoint full.
     */
    @Test
    void aReportWithoutAQueueProvesItEmptyOnlyWithRoomForTheLargestRequest() {
        EndpointKindStats stats = new EndpointKindStats();
        LargestRequest largest = new LargestRequest();
        largest.include(new Arrival("a", "read", null, MS, 2, 1.5, 0, null, false));
        Endpoint endpoint = endpoints.get(0);
        Attempt sent = new Attempt(null, endpoint, 0, 0);
        double notReported = Double.NaN;
        double[][] freeAndMemory = {{0, 4}, {1, 4}, {4, 1}, {4, 4}};
        for (double[] report : freeAndMemory) {
            endpoint.capacity()
                    .applyReport(
                            new EndpointLoad(report[0], report[1], notReported, notReported, notReported),
                            2000 * MS,
                            stats,
                            largest);
            assertEquals(
                    report == freeAndMemory[3],
                    OutlierDetector.isLost(sent, 2000 * MS, 0),
                    report[0] + " slots, " + report[1]);
        }
        endpoint.capacity().applyReport(new EndpointLoad(4, 4, 1, notReported, notReported), 2000 * MS, stats, largest);
        assertFalse(OutlierDetector.isLost(sent, 2000 * MS, 0), "one request is queued");
    }

    @Test
    void anAttemptSentToAFreeSlotIsOverdueAfterTheStartTimeout() {
        Attempt sent = new Attempt(null, endpoints.get(0), 0, 0);
        assertFalse(OutlierDetector.isStartOverdue(sent, 151 * MS), "it was not sent to a free slot");
        sent.markSentToFreeCapacity();
        assertTrue(!OutlierDetector.isStartOverdue(sent, 150 * MS) && OutlierDetector.isStartOverdue(sent, 151 * MS));
        OutlierDetector.recordProgress(sent, true, 200 * MS);
        assertFalse(OutlierDetector.isStartOverdue(sent, 900 * MS));
    }

    @Test
    void atMostHalfTheFleetIsEjectedAndEachEjectionIsLonger() {
        endpoints.forEach(endpoint -> outliers.recordResult(endpoint, AttemptResult.ERROR, MS, 0));
        assertEquals(3, IntStream.range(0, 6).filter(i -> isEjected(i, 1)).count());
        outliers.recordResult(endpoints.get(0), AttemptResult.ERROR, MS, 600 * MS);
        assertTrue(isEjected(0, 1500 * MS));
        outliers.recordResult(endpoints.get(0), AttemptResult.SERVED, MS, 1500 * MS);
        assertFalse(isEjected(0, 1500 * MS));
        assertFalse(endpoints.get(0).health().isUnconfirmed());
    }
}
