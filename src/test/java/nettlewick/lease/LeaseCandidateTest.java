package nettlewick.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import nettlewick.lease.LeaseMessage.Kind;
import nettlewick.lease.LeaseMessage.Outgoing;
import org.junit.jupiter.api.Test;

/** A candidate whose requests and answers get lost. */
class LeaseCandidateTest {
    private static final double LEASE_MILLIS = 1200;
    private final LeaseTerms terms = new LeaseTerms(LEASE_MILLIS, 0.05);
    private final List<Integer> voterNumbers = List.of(0, 1, 2);
    private final List<LeaseVoter> voters = new ArrayList<>();
    private final LeaseCandidate candidate = new LeaseCandidate("pool-red", 7, 1, voterNumbers, terms, 0, 0);

    LeaseCandidateTest() {
        voterNumbers.forEach(v -> voters.add(new LeaseVoter(v, voterNumbers, terms, 0, v).startVoting()));
    }

    /** Delivers requests to the voters and their answers, but for the silent ones', to the candidate. */
    private List<Outgoing> deliverToVoters(List<Outgoing> asked, double now, int... silent) {
        List<Outgoing> next = new ArrayList<>();
        for (Outgoing p : asked) {
            for (Outgoing back : voters.get(p.recipient()).handle(p.message(), now)) {
                if (Arrays.stream(silent).noneMatch(s -> s == p.recipient())) {
                    next.addAll(candidate.handle(back.message(), now));
                }
            }
        }
        return next;
    }

    /** All answers but one voter's are lost the first time. */
    @Test
    void unansweredRequestIsRepeatedToVotersThatHaveNotAnswered() {
        double now = 0;
        List<Outgoing> asked = candidate.tick(now);
        for (Kind kind : List.of(Kind.QUERY, Kind.PREPARE, Kind.ACCEPT)) {
            assertEquals(3, asked.size());
            assertEquals(List.of(), deliverToVoters(asked, now, 1, 2));
            now += LEASE_MILLIS / 12;
            List<Outgoing> again = candidate.tick(now);
            assertEquals(List.of(1, 2), again.stream().map(Outgoing::recipient).toList());
            assertTrue(again.stream().allMatch(p -> p.message().kind() == kind), kind + " in " + again);
            asked = deliverToVoters(again, now);
        }
        assertEquals(LeaseCandidate.State.HOLDING, candidate.lifecycleState());
        assertTrue(candidate.mayAct(now));
        // The lease counts from the first transmission of the request.
        double first = now - LEASE_MILLIS / 12;
        assertTrue(candidate.mayAct(first + terms.holderLeaseMillis() - 1));
        assertTrue(!candidate.mayAct(first + terms.holderLeaseMillis()));
    }

    /** Otherwise one fence would cover two separate holdings. */
    @Test
    void renewalAnsweredAfterExpiryDoesNotExtendTheLease() {
        List<Outgoing> asked = candidate.tick(0);
        for (int i = 0; i < 3; i++) {
            asked = deliverToVoters(asked, 0);
        }
        assertTrue(candidate.mayAct(0));
        double late = terms.holderLeaseMillis() - 1;
        List<Outgoing> renewal = candidate.tick(late);
        assertEquals(3, renewal.size());
        assertEquals(List.of(), deliverToVoters(renewal, terms.holderLeaseMillis() + 1));
        assertTrue(!candidate.mayAct(terms.holderLeaseMillis() + 1));
        assertEquals(LeaseCandidate.State.WAITING, candidate.lifecycleState());
    }

    @Test
    void candidateWithoutAnswersGivesUpAndRetriesLater() {
        assertEquals(3, candidate.tick(0).size());
        int puts = 0;
        for (double now = 10; now < LEASE_MILLIS / 2; now += 10) {
            puts += candidate.tick(now).isEmpty() ? 0 : 1;
        }
        assertEquals(3, puts);
        assertEquals(LeaseCandidate.State.WAITING, candidate.lifecycleState());
        assertTrue(
                candidate.tick(LEASE_MILLIS).stream().allMatch(p -> p.message().kind() == Kind.QUERY));
    }

    /** A single lost datagram does not make a candidate start again. */
    @Test
    void leasesAreHeldMostOfTheTimeWithAFifthOfDatagramsLost() {
        double unheld = SimulatedLeaseTier.unheldShare(12, 3, 0.2, 60_000, 5);
        assertTrue(unheld < 0.025, "unheld " + unheld);
        System.out.println("unheld=" + unheld + " five=" + SimulatedLeaseTier.unheldShare(100, 5, 0.2, 60_000, 5)
                + " third_lost=" + SimulatedLeaseTier.unheldShare(12, 3, 0.3, 60_000, 5));
    }
}
