package nettlewick.decision;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import nettlewick.decision.State.Worker;
import org.junit.jupiter.api.Test;

/** Guards against belief in old reports where peers know better, and in notes that mean other workers. */
class SharedLoadsTest {
    private static final long SECOND = 1_000_000_000;

    private static List<Worker> fleet(int count) {
        List<Worker> fleet = new java.util.ArrayList<>();
        for (int i = count - 1; i >= 0; i--) {
            Worker w = new Worker("w" + i);
            w.left = 2;
            fleet.add(w);
        }
        return fleet;
    }

    @Test
    void whatAPeerHoldsIsTakenOffWhileItsNoteIsYoungAndMeansTheSameList() {
        List<Worker> theirs = fleet(3);
        theirs.get(0).outSlots = 2;
        SharedLoads sender = new SharedLoads(1);
        sender.list(theirs);
        byte[] note = sender.news(0);
        assertNull(sender.news(1), "nothing new");
        assertArrayEquals(note, sender.news(SECOND), "told again before it is too old");

        List<Worker> ours = fleet(3);
        SharedLoads receiver = new SharedLoads(1);
        receiver.list(ours);
        assertFalse(receiver.hear(1, new byte[] {(byte) 0xD2, 1, 0}, 0));
        assertTrue(receiver.hear(1, note, 0));
        assertEquals(1, receiver.left(ours.get(0), 2.03, SECOND));
        assertEquals(2, receiver.left(ours.get(1), 2.03, SECOND));
        assertEquals(2, receiver.left(ours.get(0), 2.03, SECOND + 1), "too old: the report alone");

        SharedLoads other = new SharedLoads(1);
        List<Worker> more = fleet(4);
        other.list(more);
        assertTrue(other.hear(1, note, 0));
        assertEquals(2, other.left(more.get(1), 2.03, 0), "a note on another list");
    }
}
