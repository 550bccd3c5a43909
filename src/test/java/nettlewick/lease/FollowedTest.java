package nettlewick.lease;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import nettlewick.lease.LeaseMessage.Kind;
import org.junit.jupiter.api.Test;

/** What a dispatcher believes of a duty that others hold. */
class FollowedTest {
    private final LeaseFollower followed = new LeaseFollower("pool-red", 4);

    private static LeaseMessage news(int from, long fence, long version, String state) {
        LeaseMessage m = LeaseMessage.of(Kind.NEWS, "pool-red", from, state == null ? 0 : LeaseFollower.WHOLE, fence);
        return m.holding(fence, version, state == null ? LeaseMessage.NOTHING : state.getBytes());
    }

    @Test
    void theNewestVersionCountsAndWordsOutOfOrderDoNot() {
        assertTrue(followed.hear(news(1, 100, 3, "three")).isEmpty());
        assertTrue(followed.hear(news(1, 100, 2, "two")).size() == 1, "it is asked what is true now");
        assertArrayEquals("three".getBytes(), followed.state());
        assertTrue(followed.upToDate(news(1, 100, 3, null)));
        assertEquals(1, followed.holder());
    }

    @Test
    void whatWasMissedIsAskedFor() {
        assertEquals(
                Kind.BEHIND,
                followed.hear(news(1, 100, 3, null)).get(0).message().kind());
        assertNull(followed.state());
        assertFalse(followed.upToDate(news(1, 100, 3, null)));
        followed.hear(news(1, 100, 3, "three"));
        assertEquals(1, followed.hear(news(1, 100, 4, null)).size());
    }

    /** Guards against a holder that was stopped and goes on telling what is long past. */
    @Test
    void aFenceThatWasOutdoneSaysNothing() {
        followed.hear(news(1, 100, 3, "three"));
        followed.hear(news(2, 200, 4, "four"));
        assertTrue(followed.hear(news(1, 100, 9, "nine")).isEmpty());
        assertArrayEquals("four".getBytes(), followed.state());
        assertEquals(2, followed.holder());
    }

    /** Guards against believing an old version by its number, where the tier has forgotten all and counts anew. */
    @Test
    void underANewFenceNothingIsTakenByItsNumberAlone() {
        followed.hear(news(1, 100, 7, "seven"));
        assertEquals(1, followed.hear(news(2, 200, 7, null)).size());
        followed.hear(news(2, 200, 1, "one"));
        assertArrayEquals("one".getBytes(), followed.state());
    }
}
