package nettlewick.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Datagrams that cannot be decoded, or that do not come from a peer. */
class PeerMessageRouterTest {
    private final SchedulerContext context = SchedulerContext.create(Samples.settings(0, 3, true), 1);
    private final PeerFaultCounters faults = new PeerFaultCounters();
    private final CapacitySlice slice = new CapacitySlice();
    private final SliceMessenger messenger = new SliceMessenger(context.actions(), slice, 5);
    private final PeerMessageRouter router = new PeerMessageRouter(
            context,
            faults,
            new PeerLoadExchange(context, faults),
            new SliceExchange(context, slice, messenger, new SliceInheritance(context.clock(), slice, messenger)));

    @Test
    void undecodableDatagramsAreCounted() {
        router.receive(1, new byte[] {1, 2, 3});
        assertEquals(1, faults.counts().damaged());
    }

    @Test
    void onlyPeersAreAnswered() {
        byte[] request = new PeerMessage(PeerMessage.Type.STATE_REQUEST, false, 9, 0, 0, 0, 0).encode();
        for (int rank : new int[] {-1, 0, 3}) {
            router.receive(rank, request);
        }
        assertEquals(List.of(), context.actions().actions());
        router.receive(1, request);
        assertEquals(1, context.actions().actions().size());
        assertEquals(0, faults.counts().damaged());
    }
}
