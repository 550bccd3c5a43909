package nettlewick.fleettest;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import nettlewick.fleettest.SoakJournal.Arrival;
import nettlewick.fleettest.SoakJournal.End;
import nettlewick.fleettest.SoakJournal.Entry;
import nettlewick.fleettest.SoakJournal.Incarnation;
import nettlewick.stubs.EndpointModel.Admission;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Violates each rule of the soak once, and uses each tolerance. */
class SoakChecksTest {
    private static final double GRACE_MILLIS = 500;
    private static final int MAX_ATTEMPTS = 2;
    private static final double SENT_AT = 1000;

    private final SoakPlan plan = SoakPlan.draw(1);
    private final SoakPlan.RequestClassPlan idempotent = new SoakPlan.RequestClassPlan("step-view", 1000, 10);
    private final SoakPlan.RequestClassPlan nonIdempotent = new SoakPlan.RequestClassPlan("mark-submit", 1000, 10);
    private final SoakJournal journal = new SoakJournal();
    private Incarnation process;

    @BeforeEach
    void start() {
        process = journal.started(0, 0);
        process.ready(100);
    }

    private Entry sendRequest(SoakPlan.RequestClassPlan requestClass, boolean isFirstOnConnection) {
        Entry entry = journal.begin(new Entry("a", requestClass, 0, 0, "n0/0", isFirstOnConnection));
        entry.sent(SENT_AT);
        return entry;
    }

    private Entry sendRequest() {
        return sendRequest(idempotent, false);
    }

    private static void addArrival(Entry entry, double at) {
        entry.arrived(new Arrival("s0", Admission.RUNS, at, entry.dueAt() - at));
    }

    private static void reject(Entry entry, String header) {
        entry.answered(503, "HTTP/1.1 503 Service Unavailable\r\n" + header + "\r\n\r\n", "", SENT_AT + 10);
    }

    private List<String> violatedRules() {
        return new SoakChecks(journal, plan, GRACE_MILLIS, MAX_ATTEMPTS, 0)
                .run().stream().map(SoakChecks.Violation::rule).toList();
    }

    private void assertViolation(String rule) {
        assertEquals(List.of(rule), violatedRules());
    }

    @Test
    void aServedRequestKeepsAllRules() {
        Entry entry = sendRequest();
        addArrival(entry, SENT_AT + 5);
        entry.ran(SENT_AT + 5);
        entry.answered(200, "HTTP/1.1 200 OK\r\n\r\n", "r-a", SENT_AT + 20);
        assertEquals(List.of(), violatedRules());
    }

    @Test
    void aRequestWithoutAnAnswer() {
        sendRequest().ended(End.NONE, SENT_AT + 3000);
        assertViolation("no answer");
    }

    @Test
    void anAnswerThatIsLate() {
        Entry entry = sendRequest();
        entry.answered(
                502,
                "HTTP/1.1 502 Bad Gateway\r\n\r\n",
                "",
                entry.dueAt() + SoakChecks.LATE_ANSWER_TOLERANCE_MILLIS + 1);
        assertViolation("a late answer");
    }

    @Test
    void anAnswerThatIsCutOff() {
        sendRequest().ended(End.CUT_OFF, SENT_AT + 5);
        assertViolation("a truncated answer");
    }

    @Test
    void aNewConnectionThatEndsUnanswered() {
        sendRequest(idempotent, true).ended(End.CLOSED, SENT_AT + 5);
        assertViolation("lost on a new connection");
    }

    @Test
    void anIdleConnectionMayCloseBeforeARequestIsRead() {
        sendRequest().ended(End.CLOSED, SENT_AT + 5);
        assertEquals(List.of(), violatedRules());
    }

    @Test
    void aConnectionClosedAfterItsRequestWasForwarded() {
        Entry entry = sendRequest();
        addArrival(entry, SENT_AT + 2);
        entry.ended(End.CLOSED, SENT_AT + 5);
        assertViolation("lost after it was forwarded");
    }

    @Test
    void aKillExemptsOnlyRequestsSentSoonAfterSigterm() {
        process.terminated(SENT_AT - SoakChecks.EXEMPT_AFTER_TERM_MILLIS, SENT_AT + 50);
        process.killed(SENT_AT + 50);
        process.exited(SENT_AT + 51, 137);
        sendRequest(idempotent, true).ended(End.CLOSED, SENT_AT + 51);
        assertEquals(List.of(), violatedRules());
        process.terminated(SENT_AT - SoakChecks.EXEMPT_AFTER_TERM_MILLIS - 1, SENT_AT + 50);
        assertViolation("lost on a new connection");
    }

    @Test
    void aResultThatNoEndpointReturned() {
        sendRequest().answered(200, "HTTP/1.1 200 OK\r\n\r\n", "r-b", SENT_AT + 20);
        assertViolation("a result that no endpoint returned");
    }

    @Test
    void aRejectionWithoutRetryAfter() {
        reject(sendRequest(), "Content-Length: 0");
        assertViolation("a rejection without Retry-After");
    }

    @Test
    void aRejectionOfARequestThatMayRun() {
        Entry entry = sendRequest(nonIdempotent, false);
        addArrival(entry, SENT_AT + 2);
        reject(entry, "Retry-After: 0.200");
        assertViolation("rejected though it may have run");
    }

    @Test
    void aNonIdempotentRequestThatRunsTwice() {
        Entry entry = sendRequest(nonIdempotent, false);
        entry.ran(SENT_AT + 1);
        entry.ran(SENT_AT + 2);
        entry.answered(200, "HTTP/1.1 200 OK\r\n\r\n", "r-a", SENT_AT + 20);
        assertViolation("a non-idempotent request ran twice");
    }

    @Test
    void moreAttemptsThanTheCap() {
        Entry entry = sendRequest();
        for (int i = 0; i <= MAX_ATTEMPTS; i++) {
            addArrival(entry, SENT_AT + i);
        }
        entry.answered(502, "HTTP/1.1 502 Bad Gateway\r\n\r\n", "", SENT_AT + 20);
        assertViolation("more attempts than the cap");
    }

    @Test
    void anAttemptAfterTheAnswer() {
        Entry entry = sendRequest();
        entry.answered(502, "HTTP/1.1 502 Bad Gateway\r\n\r\n", "", SENT_AT + 20);
        addArrival(entry, SENT_AT + 21 + SoakChecks.ATTEMPT_AFTER_END_TOLERANCE_MILLIS);
        assertViolation("forwarded after its answer");
    }

    @Test
    void anAttemptAfterTheClientLeft() {
        Entry entry = sendRequest();
        entry.ended(End.DISCONNECTED, SENT_AT + 20);
        addArrival(entry, SENT_AT + 21 + SoakChecks.ATTEMPT_AFTER_END_TOLERANCE_MILLIS);
        assertViolation("forwarded after its client disconnected");
    }

    @Test
    void anEndpointThatIsGivenTooMuchTime() {
        Entry entry = sendRequest();
        entry.arrived(new Arrival("s0", Admission.RUNS, SENT_AT + 300, 1000));
        entry.ended(End.DISCONNECTED, SENT_AT + 300);
        assertViolation("an endpoint was given more time than is left");
    }

    @Test
    void anAttemptAtADrainingEndpoint() {
        journal.drainTold(0, "s0", 0);
        Entry entry = sendRequest();
        addArrival(entry, SENT_AT);
        entry.ended(End.DISCONNECTED, SENT_AT);
        assertViolation("forwarded to a draining endpoint");
    }

    @Test
    void aProcessThatCrashes() {
        process.exited(200, 1);
        assertViolation("a process exited without a signal");
    }

    @Test
    void aProcessThatIsReadyTooLate() {
        process.ready(SoakChecks.READY_TIMEOUT_MILLIS + 1);
        assertViolation("a process was not ready in time");
    }

    @Test
    void anEarlyKillIsReportedAsTheSoaksFault() {
        process.terminated(200, 1000);
        process.killed(999);
        process.exited(1000, 137);
        assertViolation("the soak did not send SIGKILL on time");
    }
}
