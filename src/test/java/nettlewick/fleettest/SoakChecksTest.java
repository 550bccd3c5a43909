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

/** Each rule of the soak is broken by hand once, and each allowance is used. */
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

    private Entry sent(SoakPlan.RequestClassPlan requestClass, boolean isFirstOnConnection) {
        Entry entry = journal.begin(new Entry("a", requestClass, 0, 0, "n0/0", isFirstOnConnection));
        entry.sent(SENT_AT);
        return entry;
    }

    private Entry sent() {
        return sent(idempotent, false);
    }

    private static void arrives(Entry entry, double at) {
        entry.arrived(new Arrival("s0", Admission.RUNS, at, entry.dueAt() - at));
    }

    private static void rejected(Entry entry, String header) {
        entry.answered(503, "HTTP/1.1 503 Service Unavailable\r\n" + header + "\r\n\r\n", "", SENT_AT + 10);
    }

    private List<String> broken() {
        return new SoakChecks(journal, plan, GRACE_MILLIS, MAX_ATTEMPTS, 0)
                .run().stream().map(SoakChecks.Break::rule).toList();
    }

    private void finds(String rule) {
        assertEquals(List.of(rule), broken());
    }

    @Test
    void aServedRequestKeepsAllRules() {
        Entry entry = sent();
        arrives(entry, SENT_AT + 5);
        entry.ran(SENT_AT + 5);
        entry.answered(200, "HTTP/1.1 200 OK\r\n\r\n", "r-a", SENT_AT + 20);
        assertEquals(List.of(), broken());
    }

    @Test
    void aRequestWithoutAnAnswer() {
        sent().ended(End.NONE, SENT_AT + 3000);
        finds("no answer");
    }

    @Test
    void anAnswerThatIsLate() {
        Entry entry = sent();
        entry.answered(502, "HTTP/1.1 502 Bad Gateway\r\n\r\n", "", entry.dueAt() + SoakChecks.LATE_MILLIS + 1);
        finds("a late answer");
    }

    @Test
    void anAnswerThatIsCutOff() {
        sent().ended(End.CUT_OFF, SENT_AT + 5);
        finds("an answer that is cut off");
    }

    @Test
    void aNewConnectionThatEndsUnanswered() {
        sent(idempotent, true).ended(End.CLOSED, SENT_AT + 5);
        finds("lost on a new connection");
    }

    @Test
    void aRestingConnectionMayEndUnderARequestThatIsNotRead() {
        sent().ended(End.CLOSED, SENT_AT + 5);
        assertEquals(List.of(), broken());
    }

    @Test
    void aRestingConnectionThatEndsUnderARequestThatWasForwarded() {
        Entry entry = sent();
        arrives(entry, SENT_AT + 2);
        entry.ended(End.CLOSED, SENT_AT + 5);
        finds("lost, though it was read");
    }

    @Test
    void aKillExcusesOnlyWhatCameSoonAfterTheSignal() {
        process.told(SENT_AT - SoakChecks.EXCUSED_AFTER_TERM_MILLIS, SENT_AT + 50);
        process.killed(SENT_AT + 50);
        process.exited(SENT_AT + 51, 137);
        sent(idempotent, true).ended(End.CLOSED, SENT_AT + 51);
        assertEquals(List.of(), broken());
        process.told(SENT_AT - SoakChecks.EXCUSED_AFTER_TERM_MILLIS - 1, SENT_AT + 50);
        finds("lost on a new connection");
    }

    @Test
    void aResultThatNoEndpointGave() {
        sent().answered(200, "HTTP/1.1 200 OK\r\n\r\n", "r-b", SENT_AT + 20);
        finds("a result that no endpoint gave for it");
    }

    @Test
    void aRejectionWithoutAdvice() {
        rejected(sent(), "Content-Length: 0");
        finds("a rejection without advice");
    }

    @Test
    void aRejectionOfWhatMayRun() {
        Entry entry = sent(nonIdempotent, false);
        arrives(entry, SENT_AT + 2);
        rejected(entry, "Retry-After: 0.200");
        finds("rejected though it may run");
    }

    @Test
    void aNonIdempotentRequestThatRunsTwice() {
        Entry entry = sent(nonIdempotent, false);
        entry.ran(SENT_AT + 1);
        entry.ran(SENT_AT + 2);
        entry.answered(200, "HTTP/1.1 200 OK\r\n\r\n", "r-a", SENT_AT + 20);
        finds("a non-idempotent request ran twice");
    }

    @Test
    void moreAttemptsThanTheCap() {
        Entry entry = sent();
        for (int i = 0; i <= MAX_ATTEMPTS; i++) {
            arrives(entry, SENT_AT + i);
        }
        entry.answered(502, "HTTP/1.1 502 Bad Gateway\r\n\r\n", "", SENT_AT + 20);
        finds("more attempts than the cap");
    }

    @Test
    void anAttemptAfterTheAnswer() {
        Entry entry = sent();
        entry.answered(502, "HTTP/1.1 502 Bad Gateway\r\n\r\n", "", SENT_AT + 20);
        arrives(entry, SENT_AT + 21 + SoakChecks.AFTER_END_MILLIS);
        finds("forwarded after its end");
    }

    @Test
    void anAttemptAfterTheClientLeft() {
        Entry entry = sent();
        entry.ended(End.LEFT, SENT_AT + 20);
        arrives(entry, SENT_AT + 21 + SoakChecks.AFTER_END_MILLIS);
        finds("forwarded after its client left");
    }

    @Test
    void anEndpointThatIsToldTooMuch() {
        Entry entry = sent();
        entry.arrived(new Arrival("s0", Admission.RUNS, SENT_AT + 300, 1000));
        entry.ended(End.LEFT, SENT_AT + 300);
        finds("an endpoint is told more time than is left");
    }

    @Test
    void anAttemptAtADrainingEndpoint() {
        journal.drainTold(0, "s0", 0);
        Entry entry = sent();
        arrives(entry, SENT_AT);
        entry.ended(End.LEFT, SENT_AT);
        finds("sent to a draining endpoint");
    }

    @Test
    void aProcessThatEndsByItself() {
        process.exited(200, 1);
        finds("a process ended by itself");
    }

    @Test
    void aProcessThatIsReadyTooLate() {
        process.ready(SoakChecks.READY_MILLIS + 1);
        finds("not ready in time");
    }

    @Test
    void aKillThatComesTooEarlyIsTheSoaksFault() {
        process.told(200, 1000);
        process.killed(999);
        process.exited(1000, 137);
        finds("SIGKILL not sent on time, by the soak");
    }
}
