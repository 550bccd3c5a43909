package nettlewick.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;

import java.util.List;
import nettlewick.decision.SchedulerSettings.Idempotency;
import nettlewick.decision.SchedulerSettings.RequestClass;
import nettlewick.decision.SchedulerSettings.Scope;
import org.junit.jupiter.api.Test;

/** Lookup by id, unanswered requests and held requests. */
class RequestTableTest {
    private final RequestTable table = new RequestTable();

    private ScheduledRequest addRequest(String id, long time) {
        RequestClass read = Samples.requestClass("read", Idempotency.IDEMPOTENT, Scope.ALL, 2);
        ScheduledRequest request = new ScheduledRequest(Samples.arrival(id, "read", "red"), read, 0, null, time);
        table.add(request);
        return request;
    }

    @Test
    void answeredRequestsAreDroppedFromTheUnansweredOnly() {
        ScheduledRequest first = addRequest("a", 0);
        ScheduledRequest second = addRequest("b", 0);
        first.markAnswered();
        table.dropAnswered();
        assertEquals(List.of(second), table.unanswered());
        assertSame(first, table.find("a"), "its attempts may still be in flight");
        table.remove(first);
        assertNull(table.find("a"));
    }

    @Test
    void heldRequestsAreReleasedOnceByArrivalTime() {
        ScheduledRequest early = addRequest("a", 5);
        ScheduledRequest late = addRequest("b", 9);
        table.hold(early);
        table.hold(late);
        assertEquals(List.of(early), table.releaseHeld(5));
        assertEquals(List.of(late), table.releaseHeld(9));
        assertEquals(List.of(), table.releaseHeld(9));
    }
}
