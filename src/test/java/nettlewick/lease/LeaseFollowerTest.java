package nettlewick.lease;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import nettlewick.lease.LeaseMessage.Kind;
import org.junit.jupiter.api.Test;

/** What a dispatcher learns about a lease from the announcements of other dispatchers. */
class LeaseFollowerTest {
    private final LeaseFollower follower = new LeaseFollower("pool-red", 4);

    private static LeaseMessage announcement(int sender, long fence, long version, String state) {
        LeaseMessage message = LeaseMessage.of(
                Kind.ANNOUNCE, "pool-red", sender, state == null ? 0 : LeaseMessage.FLAG_HAS_STATE, fence);
        return message.withState(fence, version, state == null ? LeaseMessage.EMPTY_STATE : state.getBytes());
    }

    @Test
    void newestVersionWinsOverAnnouncementsOutOfOrder() {
        assertTrue(follower.handle(announcement(1, 100, 3, "three")).isEmpty());
        assertTrue(follower.handle(announcement(1, 100, 2, "two")).size() == 1, "the current state is requested");
        assertArrayEquals("three".getBytes(), follower.state());
        assertTrue(follower.isUpToDate(announcement(1, 100, 3, null)));
        assertEquals(1, follower.holder());
    }

    @Test
    void missedStateIsRequested() {
        assertEquals(
                Kind.REQUEST_STATE,
                follower.handle(announcement(1, 100, 3, null)).get(0).message().kind());
        assertNull(follower.state());
        assertFalse(follower.isUpToDate(announcement(1, 100, 3, null)));
        follower.handle(announcement(1, 100, 3, "three"));
        assertEquals(1, follower.handle(announcement(1, 100, 4, null)).size());
    }

    /** A former holder that was paused may still announce an old state. */
    @Test
    void announcementUnderALowerFenceIsIgnored() {
        follower.handle(announcement(1, 100, 3, "three"));
        follower.handle(announcement(2, 200, 4, "four"));
        assertTrue(follower.handle(announcement(1, 100, 9, "nine")).isEmpty());
        assertArrayEquals("four".getBytes(), follower.state());
        assertEquals(2, follower.holder());
    }

    /** A tier that has lost its records restarts the version count. */
    @Test
    void versionNumberAloneIsNotTrustedUnderANewFence() {
        follower.handle(announcement(1, 100, 7, "seven"));
        assertEquals(1, follower.handle(announcement(2, 200, 7, null)).size());
        follower.handle(announcement(2, 200, 1, "one"));
        assertArrayEquals("one".getBytes(), follower.state());
    }
}
