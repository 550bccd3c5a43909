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
            fleet.add(new Worker("w" + i));
        }
        return fleet;
    }

    @Test
    void whatAPeerHoldsIsCountedWhileItsNoteIsYoung() {
        List<Worker> theirs = fleet(3);
        theirs.get(0).outSlots = 2;
        SharedLoads sender = new SharedLoads();
        sender.list(theirs);
        byte[] note = sender.news(0);
        assertNull(sender.news(1), "nothing new");
        assertArrayEquals(note, sender.news(SECOND), "told again before it is too old");

        List<Worker> ours = fleet(3);
        SharedLoads receiver = new SharedLoads();
        receiver.list(ours);
        assertFalse(receiver.hear(1, new byte[] {(byte) 0xD2, 1, 0}, 0));
        assertTrue(receiver.hear(1, note, 0));
        assertTrue(receiver.hear(1, note, 0));
        assertTrue(receiver.hear(2, note, SECOND), "another peer, and the others silent");
        receiver.expire(SECOND);
        assertEquals(4, ours.get(0).others);
        assertEquals(0, ours.get(1).others);
        receiver.expire(SECOND + 1);
        assertEquals(2, ours.get(0).others, "one is too old");
    }
}
