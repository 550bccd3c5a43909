package nettlewick.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Membership and successors on a consistent hash ring. */
class HashRingTest {
    private static HashRing<String> ring(int members) {
        HashRing<String> ring = new HashRing<>();
        for (int i = 0; i < members; i++) {
            ring.setMembership("w" + i, "w" + i, 20, true);
        }
        return ring;
    }

    @Test
    void successorsAreDistinctAndAtMostAsManyAsMembers() {
        assertEquals(2, ring(5).successors("key", 2).stream().distinct().count());
        assertEquals(1, ring(1).successors("key", 2).size());
        assertEquals(List.of(), ring(0).successors("key", 2));
    }

    @Test
    void removingAMemberMovesOnlyItsOwnKeys() {
        HashRing<String> ring = ring(8);
        Map<String, String> before = new HashMap<>();
        for (int i = 0; i < 200; i++) {
            before.put("k" + i, ring.successors("k" + i, 1).get(0));
        }
        ring.setMembership("w3", "w3", 20, false);
        before.forEach((key, member) -> {
            String successor = ring.successors(key, 1).get(0);
            assertEquals(!member.equals("w3"), successor.equals(member), key);
        });
    }
}
