package nettlewick.decision;

import static nettlewick.decision.Samples.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.util.List;
import nettlewick.decision.Action.SendToPeer;
import org.junit.jupiter.api.Test;

/** When a silent predecessor's slice is inherited. */
class SliceInheritanceTest {
    private final SchedulerClock clock = new SchedulerClock();
    private final CapacitySlice slice = new CapacitySlice();
    private final ActionBatch actions = new ActionBatch();
    private final SliceInheritance inheritance =
            new SliceInheritance(clock, slice, new SliceMessenger(actions, slice, 1));
    private final PeerState peer = new PeerState();

    private List<PeerMessage.Type> checkAfter(long seconds) {
        clock.advanceTo(seconds * SECOND);
        actions.begin();
        inheritance.checkPredecessor(3, peer);
        return Samples.actionsOfType(SendToPeer.class, actions.actions()).stream()
                .map(send -> PeerMessage.decode(send.data()).type())
                .toList();
    }

    @Test
    void theStateIsRequestedBeforeTheSliceIsInheritedOnce() {
        slice.setBinding(true);
        peer.recordMessage(new PeerMessage(PeerMessage.Type.STATE, true, 9, 0, 0, 1, 4), 0);
        peer.recordState(1, 4);
        assertEquals(List.of(), checkAfter(3));
        assertEquals(List.of(PeerMessage.Type.STATE_REQUEST), checkAfter(4));
        assertEquals(0, slice.rate());
        assertEquals(List.of(), checkAfter(7));
        assertEquals(4, slice.rate());
        checkAfter(20);
        assertEquals(4, slice.rate(), "inherited only once");
        inheritance.returnSlice(peer);
        assertEquals(0, slice.rate());
        assertFalse(peer.isInherited());
    }

    @Test
    void aDispatcherWhoseSliceIsNotBindingInheritsNothing() {
        peer.recordMessage(new PeerMessage(PeerMessage.Type.STATE, true, 9, 0, 0, 1, 4), 0);
        peer.recordState(1, 4);
        checkAfter(7);
        assertEquals(0, slice.rate());
        assertFalse(peer.isBinding());
    }
}
