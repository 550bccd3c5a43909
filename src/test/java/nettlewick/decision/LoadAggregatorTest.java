package nettlewick.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Owners' sums where peers stop, restart or send what is not theirs to send. */
class LoadAggregatorTest {
    private static final long SECOND = Samples.SECOND;
    private static final int SIZE = 40;

    /** One dispatcher of the tier with its own list of the same endpoints. */
    private static final class TierMember {
        final int rank;
        final PeerFaultCounters faults = new PeerFaultCounters();
        final LoadAggregator aggregator;
        final List<Endpoint> endpoints = new ArrayList<>();

        TierMember(int rank, int count) {
            this.rank = rank;
            aggregator = new LoadAggregator(rank, SIZE, faults);
            for (int i = 0; i < count; i++) {
                endpoints.add(new Endpoint("w" + i));
            }
            aggregator.replaceEndpoints(LoadGossipMessage.indexByIdHash(endpoints));
        }

        Endpoint at(String id) {
            return endpoints.stream()
                    .filter(endpoint -> endpoint.id().equals(id))
                    .findFirst()
                    .orElseThrow();
        }
    }

    /** Delivers what {@code from} sends now to those of {@code members} it is meant for; what is lost is lost. */
    private static void flush(TierMember from, List<TierMember> members, long now) {
        Map<Integer, List<byte[]>> out = from.aggregator.dueMessages(now, from.endpoints, from.endpoints);
        out.forEach((rank, datagrams) -> {
            assertTrue(rank != from.rank && rank >= 0 && rank < SIZE, "to rank " + rank);
            datagrams.forEach(d -> assertTrue(d.length <= 256, d.length + " bytes"));
            members.stream()
                    .filter(m -> m.rank == rank)
                    .forEach(m -> datagrams.forEach(d -> assertTrue(m.aggregator.receive(from.rank, d, now))));
        });
    }

    private static String ownedBy(int owner) {
        for (int i = 0; ; i++) {
            if (LoadAggregator.ownerOf(LoadGossipMessage.idHash("w" + i), SIZE) == owner) {
                return "w" + i;
            }
        }
    }

    /** One whose list ends with this endpoint. */
    private static TierMember member(int rank, String id) {
        return new TierMember(rank, Integer.parseInt(id.substring(1)) + 1);
    }

    @Test
    void aWatcherLearnsWhatOthersHoldAndForgetsItWhenTheOwnerStops() {
        String id = ownedBy(7);
        TierMember owner = member(7, id);
        TierMember holder = member(3, id);
        TierMember watcher = member(5, id);
        List<TierMember> all = List.of(owner, holder, watcher);
        Samples.setSlotsInFlight(holder.at(id), 2);
        Samples.setSlotsInFlight(watcher.at(id), 1);
        for (long t = 0; t <= 2; t++) {
            for (TierMember m : all) {
                flush(m, all, t);
            }
        }
        assertEquals(2, watcher.at(id).inFlight().peerSlots(), "the holder's 2, not the watcher's own 1");
        assertEquals(1, holder.at(id).inFlight().peerSlots());
        Samples.setSlotsInFlight(holder.at(id), 0);
        flush(holder, all, 3);
        flush(owner, all, 3);
        assertEquals(2, watcher.at(id).inFlight().peerSlots(), "an end waits for a tenth of a second");
        flush(owner, all, SECOND / 8);
        assertEquals(
                0, watcher.at(id).inFlight().peerSlots(), "and is sent then, with no further message from any peer");
        Samples.setSlotsInFlight(holder.at(id), 1);
        flush(holder, all, SECOND / 8 + 1);
        flush(owner, all, SECOND / 8 + 1);
        assertEquals(1, watcher.at(id).inFlight().peerSlots(), "a higher sum is sent at once");
        List<TierMember> ownerDead = List.of(holder, watcher);
        for (long t = SECOND / 4; t <= 2 * SECOND; t += SECOND / 4) {
            for (TierMember m : ownerDead) {
                flush(m, ownerDead, t);
                m.aggregator.expire(t);
            }
        }
        assertEquals(
                0, watcher.at(id).inFlight().peerSlots(), "the sums of a stopped owner are believed for a second only");
        TierMember again = member(7, id);
        List<TierMember> back = List.of(again, holder, watcher);
        for (long t = 2 * SECOND + SECOND / 8; t <= 3 * SECOND + SECOND / 2; t += SECOND / 4) {
            for (TierMember m : back) {
                flush(m, back, t);
                m.aggregator.expire(t);
            }
        }
        assertEquals(
                1,
                watcher.at(id).inFlight().peerSlots(),
                "an owner that starts anew tells sums again once watchers tell it, each second");
    }

    /** Guards against two datagrams to each watcher for every request at an endpoint that is busy. */
    @Test
    void aSlotThatIsTakenAgainAtOnceSendsNoSum() {
        String id = ownedBy(7);
        TierMember owner = member(7, id);
        TierMember holder = member(3, id);
        TierMember watcher = member(5, id);
        List<TierMember> all = List.of(owner, holder, watcher);
        int changes = 0;
        int told = 0;
        for (long at = 0; at < 2 * SECOND; at += SECOND / 20) {
            // Each 50 ms a request ends and another begins 20 ms later.
            for (long when : new long[] {at, at + SECOND / 50}) {
                Samples.setSlotsInFlight(holder.at(id), when == at ? 1 : 2);
                flush(holder, all, when);
                flush(watcher, all, when);
                told += owner.aggregator
                        .dueMessages(when, owner.endpoints, List.of())
                        .getOrDefault(5, List.of())
                        .size();
                changes++;
            }
        }
        assertTrue(told <= changes / 2, told + " sums for " + changes + " changes");
        assertEquals(1, watcher.at(id).inFlight().peerSlots(), 1.0);
    }

    @Test
    void messagesFromOrToTheWrongDispatcherAreCountedAndIgnored() {
        String id = ownedBy(7);
        TierMember owner = member(7, id);
        TierMember stranger = member(9, id);
        TierMember watcher = member(5, id);
        Samples.setSlotsInFlight(watcher.at(id), 0);
        Samples.setSlotsInFlight(stranger.at(id), 3);
        // The owner tells the stranger its sums by mistake of the stranger: a holder's word for an endpoint it does
        // not own reaches rank 9, which is not the owner.
        TierMember notOwner = member(9, id);
        flush(stranger, List.of(owner), 0);
        assertEquals(new Dispatcher.PeerMessageFaults(0, 0, 0), owner.faults.counts());
        byte[] hold = stranger.aggregator
                .dueMessages(SECOND, stranger.endpoints, List.of())
                .get(7)
                .get(0);
        assertTrue(notOwner.aggregator.receive(3, hold, SECOND));
        assertEquals(1, notOwner.faults.counts().damaged(), "a holding reported to one that owns nothing there");
        flush(watcher, List.of(owner), 2);
        flush(owner, List.of(watcher), 3);
        assertEquals(3, watcher.at(id).inFlight().peerSlots());
        byte[] sum = owner.aggregator.dueMessages(4, owner.endpoints, List.of()).getOrDefault(5, List.of()).stream()
                .findFirst()
                .orElse(null);
        assertEquals(null, sum, "nothing changed, nothing is sent");
        TierMember other = new TierMember(5, 0);
        Samples.setSlotsInFlight(stranger.at(id), 2);
        flush(stranger, List.of(owner), SECOND / 5);
        List<byte[]> sums = owner.aggregator
                .dueMessages(SECOND / 5 + 1, owner.endpoints, List.of())
                .get(5);
        assertTrue(other.aggregator.receive(7, sums.get(0), 6));
        assertEquals(1, other.faults.counts().unlisted(), "a sum of an endpoint this list does not hold");
        assertTrue(watcher.aggregator.receive(2, sums.get(0), 6));
        assertEquals(1, watcher.faults.counts().damaged(), "a sum from one that does not own the endpoint");
        assertEquals(3, watcher.at(id).inFlight().peerSlots(), "changes nothing");
        assertFalse(watcher.aggregator.receive(7, new byte[] {(byte) 0xA3, 1, 9}, 7), "of no kind that is known");
    }

    @Test
    void manyEndpointsAreSplitOverDatagramsOfAtMost256Bytes() {
        TierMember holder = new TierMember(3, 3000);
        holder.endpoints.forEach(endpoint -> Samples.setSlotsInFlight(endpoint, 1));
        Map<Integer, List<byte[]>> out = holder.aggregator.dueMessages(0, holder.endpoints, holder.endpoints);
        long entries = out.values().stream()
                .flatMap(List::stream)
                .mapToLong(d -> d.length)
                .sum();
        assertTrue(out.values().stream().flatMap(List::stream).allMatch(d -> d.length <= 256));
        assertTrue(entries > 2800 * 5, entries + " bytes for holdings and watches of 3,000 endpoints");
    }
}
