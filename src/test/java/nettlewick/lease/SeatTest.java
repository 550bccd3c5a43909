package nettlewick.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import nettlewick.lease.LeaseMessage.Kind;
import nettlewick.lease.LeaseMessage.Post;
import org.junit.jupiter.api.Test;

/** A candidate whose questions and answers get lost. */
class SeatTest {
    private static final double LEASE = 1200;
    private final LeaseTerms terms = new LeaseTerms(LEASE, 0.05);
    private final List<Integer> all = List.of(0, 1, 2);
    private final List<LeaseVoter> voters = new ArrayList<>();
    private final LeaseCandidate seat = new LeaseCandidate("pool-red", 7, 1, all, terms, 0, 0);

    SeatTest() {
        all.forEach(v -> voters.add(new LeaseVoter(v, all, terms, 0, v).trusted()));
    }

    /** Has voters answer, but for those from whom nothing comes back; what the seat says then. */
    private List<Post> answer(List<Post> asked, double now, int... silent) {
        List<Post> next = new ArrayList<>();
        for (Post p : asked) {
            for (Post back : voters.get(p.to()).hear(p.message(), now)) {
                if (java.util.Arrays.stream(silent).noneMatch(s -> s == p.to())) {
                    next.addAll(seat.hear(back.message(), now));
                }
            }
        }
        return next;
    }

    /** Each answer of all but one voter is lost the first time: the same question is put again, and counted. */
    @Test
    void whatIsNotAnsweredIsPutAgainToThoseWhoOweAnAnswer() {
        double now = 0;
        List<Post> asked = seat.tick(now);
        for (Kind kind : List.of(Kind.ASK, Kind.PREPARE, Kind.ACCEPT)) {
            assertEquals(3, asked.size());
            assertEquals(List.of(), answer(asked, now, 1, 2));
            now += LEASE / 12;
            List<Post> again = seat.tick(now);
            assertEquals(List.of(1, 2), again.stream().map(Post::to).toList());
            assertTrue(again.stream().allMatch(p -> p.message().kind() == kind), kind + " in " + again);
            asked = answer(again, now);
        }
        assertEquals(LeaseCandidate.Stage.HOLDS, seat.stage());
        assertTrue(seat.mayAct(now));
        // A lease counts from when it was asked first, not from when it was asked again.
        double first = now - LEASE / 12;
        assertTrue(seat.mayAct(first + terms.counted() - 1));
        assertTrue(!seat.mayAct(first + terms.counted()));
    }

    /** Guards against one fence under which a duty is held, lost and held again. */
    @Test
    void aRenewalThatIsAnsweredAfterTheLeaseHasEndedRenewsNothing() {
        List<Post> asked = seat.tick(0);
        for (int i = 0; i < 3; i++) {
            asked = answer(asked, 0);
        }
        assertTrue(seat.mayAct(0));
        double late = terms.counted() - 1;
        List<Post> renewal = seat.tick(late);
        assertEquals(3, renewal.size());
        assertEquals(List.of(), answer(renewal, terms.counted() + 1));
        assertTrue(!seat.mayAct(terms.counted() + 1));
        assertEquals(LeaseCandidate.Stage.WAITS, seat.stage());
    }

    @Test
    void withoutAnswersItGivesUpAndStandsAgainLater() {
        assertEquals(3, seat.tick(0).size());
        int puts = 0;
        for (double now = 10; now < LEASE / 2; now += 10) {
            puts += seat.tick(now).isEmpty() ? 0 : 1;
        }
        assertEquals(3, puts);
        assertEquals(LeaseCandidate.Stage.WAITS, seat.stage());
        assertTrue(seat.tick(LEASE).stream().allMatch(p -> p.message().kind() == Kind.ASK));
    }

    /** Three voters, a fifth of all datagrams lost: who stands is not thrown back by each of them. */
    @Test
    void aFifthLostLeavesDutiesHeldMostOfTheTime() {
        double unheld = VirtualDuties.unheld(12, 3, 0.2, 60_000, 5);
        assertTrue(unheld < 0.025, "unheld " + unheld);
        System.out.println("unheld=" + unheld + " five=" + VirtualDuties.unheld(100, 5, 0.2, 60_000, 5) + " third_lost="
                + VirtualDuties.unheld(12, 3, 0.3, 60_000, 5));
    }
}
