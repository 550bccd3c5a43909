package nettlewick.lease;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.List;
import nettlewick.lease.LeaseMessage.Kind;
import nettlewick.lease.MessageCodec.Fault;
import org.junit.jupiter.api.Test;

/** What comes over the wire: whole or not at all, once, from those that have the key and the same list. */
class EnvelopeTest {
    private static final byte[] KEY = new byte[32];
    private static final LeaseMessage TOLD =
            new LeaseMessage(Kind.PROMISED, "pool é", 3, 7, 11, 13, 2.5, 17, 19, new byte[] {1, 2});

    private static MessageCodec envelope(int list, int number) {
        return new MessageCodec(KEY, list, number, 5);
    }

    @Test
    void aMessageComesBackAsItWas() {
        LeaseMessage back = envelope(1, 0).open(envelope(1, 3).close(TOLD));
        assertArrayEquals(TOLD.state(), back.state());
        assertEquals(TOLD.toString().replaceAll("state=.*", ""), back.toString().replaceAll("state=.*", ""));
        assertThrows(
                IllegalArgumentException.class,
                () -> envelope(1, 3).close(TOLD.holding(1, 1, new byte[MessageCodec.STATE_MOST + 1])));
    }

    @Test
    void everyByteIsCoveredAndEveryCutIsSeen() {
        byte[] good = envelope(1, 3).close(TOLD);
        MessageCodec ear = envelope(1, 0);
        for (int i = 0; i < good.length; i++) {
            byte[] bad = good.clone();
            bad[i] ^= 1;
            assertNull(ear.open(bad), "byte " + i);
            assertNull(ear.open(Arrays.copyOf(good, i)), "cut at " + i);
        }
        assertEquals(2L * good.length, ear.faults(Fault.DAMAGED));
        assertNotNull(ear.open(good), "none of that has used its number up");
    }

    @Test
    void eachIsHeardOnceInWhateverOrderAndOldOnesNever() {
        MessageCodec mouth = envelope(1, 3);
        MessageCodec ear = envelope(1, 0);
        byte[][] sent = new byte[100][];
        for (int i = 0; i < sent.length; i++) {
            sent[i] = mouth.close(TOLD);
        }
        for (int i : new int[] {5, 3, 4, 90, 60}) {
            assertNotNull(ear.open(sent[i]), "number " + i);
            assertNull(ear.open(sent[i]), "number " + i + " again");
        }
        assertNull(ear.open(sent[6]), "too far behind");
        assertEquals(6, ear.faults(Fault.REPEATED));
    }

    @Test
    void thoseWithAnotherListOrKeyAreNotHeard() {
        MessageCodec ear = envelope(1, 0);
        assertNull(ear.open(envelope(2, 3).close(TOLD)));
        assertEquals(1, ear.faults(Fault.OTHER_LIST));
        assertNull(ear.open(new MessageCodec(new byte[] {1}, 1, 3, 5).close(TOLD)));
        assertEquals(1, ear.faults(Fault.DAMAGED));
    }

    @Test
    void dutiesLieOnAllAndMoveOnlyFromWhoIsGone() {
        int[] first = new int[10];
        for (int d = 0; d < 1000; d++) {
            List<Integer> order = CandidateRanking.of("pool-" + d, 10);
            assertEquals(10, order.stream().distinct().count());
            first[order.get(0)]++;
            List<Integer> fewer = CandidateRanking.of("pool-" + d, 9);
            assertEquals(order.stream().filter(r -> r != 9).toList(), fewer);
        }
        assertTrue(Arrays.stream(first).allMatch(n -> n > 60 && n < 150), Arrays.toString(first));
    }

    @Test
    void aFenceOnceSeenShutsOutAllBelowIt() {
        FenceGate gate = new FenceGate();
        assertTrue(gate.admits("a", 5));
        assertTrue(gate.admits("a", 5));
        assertFalse(gate.admits("a", 4));
        assertTrue(gate.admits("b", 4));
        assertEquals(1, gate.refused());
    }
}
