package nettlewick.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Load aggregation while dispatchers stop, restart or send messages to the wrong dispatcher. */
class LoadAggregatorTest {
    private static final long SECOND = Samples.SECOND;
    private static final int TIER_SIZE = 40;

    /** A dispatcher of the tier, with its own instances of the same endpoints. */
    private static final class TierMember {
        final int rank;
        final PeerFaultCounters faults = new PeerFaultCounters();
        final LoadAggregator aggregator;
        final List<Endpoint> endpoints = new ArrayList<>();

        TierMember(int rank, int count) {
            this.rank = rank;
            aggregator = new LoadAggregator(rank, TIER_SIZE, faults);
            for (int i = 0; i < count; i++) {
                endpoints.add(new Endpoint("w" + i));
            }
            aggregator.replaceEndpoints(LoadGossipMessage.indexByIdHash(endpoints));
        }

        Endpoint endpoint(String id) {
            return endpoints.stream()
                    .filter(endpoint -> endpoint.id().equals(id))
                    .findFirst()
                    .orElseThrow();
        }
    }

    /** Delivers the messages due from {@code from} to the {@code members}; those to other ranks are dropped. */
    private static void deliverDueMessages(TierMember from, List<TierMember> members, long now) {
        Map<Integer, List<byte[]>> messages = from.aggregator.dueMessages(now, from.endpoints, from.endpoints);
        messages.forEach((rank, datagrams) -> {
            assertTrue(rank != from.rank && rank >= 0 && rank < TIER_SIZE, "to rank " + rank);
            datagrams.forEach(datagram -> assertTrue(datagram.length <= 256, datagram.length + " bytes"));
            members.stream()
                    .filter(member -> member.rank == rank)
                    .forEach(member -> datagrams.forEach(
                            datagram -> assertTrue(member.aggregator.receive(from.rank, datagram, now))));
        });
    }

    private static String endpointOwnedBy(int owner) {
        for (int i = 0; ; i++) {
            if (LoadAggregator.ownerOf(LoadGossipMessage.idHash("w" + i), TIER_SIZE) == owner) {
                return "w" + i;
            }
        }
    }

    /** Creates a member whose endpoint list ends with this endpoint. */
    private static TierMember member(int rank, String id) {
        return new TierMember(rank, Integer.parseInt(id.substring(1)) + 1);
    }

    @Test
    void aWatcherReceivesPeerSlotsAndDropsThemWhenTheOwnerStops() {
        String id = endpointOwnedBy(7);
        TierMember owner = member(7, id);
        TierMember reporter = member(3, id);
        TierMember watcher = member(5, id);
        List<TierMember> all = List.of(owner, reporter, watcher);
        Samples.setSlotsInFlight(reporter.endpoint(id), 2);
        Samples.setSlotsInFlight(watcher.endpoint(id), 1);
        for (long t = 0; t <= 2; t++) {
            for (TierMember member : all) {
                deliverDueMessages(member, all, t);
            }
        }
        assertEquals(2, watcher.endpoint(id).inFlight().peerSlots(), "the reporter's 2, not the watcher's own 1");
        assertEquals(1, reporter.endpoint(id).inFlight().peerSlots());
        Samples.setSlotsInFlight(reporter.endpoint(id), 0);
        deliverDueMessages(reporter, all, 3);
        deliverDueMessages(owner, all, 3);
        assertEquals(2, watcher.endpoint(id).inFlight().peerSlots(), "a lower sum is delayed by a tenth of a second");
        deliverDueMessages(owner, all, SECOND / 8);
        assertEquals(
                0,
                watcher.endpoint(id).inFlight().peerSlots(),
                "the lower sum is sent after the delay without another message from a peer");
        Samples.setSlotsInFlight(reporter.endpoint(id), 1);
        deliverDueMessages(reporter, all, SECOND / 8 + 1);
        deliverDueMessages(owner, all, SECOND / 8 + 1);
        assertEquals(1, watcher.endpoint(id).inFlight().peerSlots(), "a higher sum is sent at once");
        List<TierMember> withoutOwner = List.of(reporter, watcher);
        for (long t = SECOND / 4; t <= 2 * SECOND; t += SECOND / 4) {
            for (TierMember member : withoutOwner) {
                deliverDueMessages(member, withoutOwner, t);
                member.aggregator.expire(t);
            }
        }
        assertEquals(
                0, watcher.endpoint(id).inFlight().peerSlots(), "the sums of a stopped owner expire after a second");
        TierMember restartedOwner = member(7, id);
        List<TierMember> afterRestart = List.of(restartedOwner, reporter, watcher);
        for (long t = 2 * SECOND + SECOND / 8; t <= 3 * SECOND + SECOND / 2; t += SECOND / 4) {
            for (TierMember member : afterRestart) {
                deliverDueMessages(member, afterRestart, t);
                member.aggregator.expire(t);
            }
        }
        assertEquals(
                1,
                watcher.endpoint(id).inFlight().peerSlots(),
                "a restarted owner sends sums again once watchers renew their subscriptions, each second");
    }

    /** Guards against sending each watcher two datagrams for every request at a busy endpoint. */
    @Test
    void aSlotThatIsReusedAtOnceSendsNoSum() {
        String id = endpointOwnedBy(7);
        TierMember owner = member(7, id);
        TierMember reporter = member(3, id);
        TierMember watcher = member(5, id);
        List<TierMember> all = List.of(owner, reporter, watcher);
        int changes = 0;
        int sums = 0;
        for (long start = 0; start < 2 * SECOND; start += SECOND / 20) {
            // Every 50 ms a request ends, and 20 ms later another one starts.
            for (long time : new long[] {start, start + SECOND / 50}) {
                Samples.setSlotsInFlight(reporter.endpoint(id), time == start ? 1 : 2);
                deliverDueMessages(reporter, all, time);
                deliverDueMessages(watcher, all, time);
                sums += owner.aggregator
                        .dueMessages(time, owner.endpoints, List.of())
                        .getOrDefault(5, List.of())
                        .size();
                changes++;
            }
        }
        assertTrue(sums <= changes / 2, sums + " sums for " + changes + " changes");
        assertEquals(1, watcher.endpoint(id).inFlight().peerSlots(), 1.0);
    }

    @Test
    void messagesFromOrToTheWrongDispatcherAreCountedAndIgnored() {
        String id = endpointOwnedBy(7);
        TierMember owner = member(7, id);
        TierMember reporter = member(9, id);
        TierMember watcher = member(5, id);
        Samples.setSlotsInFlight(watcher.endpoint(id), 0);
        Samples.setSlotsInFlight(reporter.endpoint(id), 3);
        // A report for the endpoint, which rank 7 owns, is delivered to rank 9.
        TierMember wrongRecipient = member(9, id);
        deliverDueMessages(reporter, List.of(owner), 0);
        assertEquals(new Dispatcher.PeerMessageFaults(0, 0, 0), owner.faults.counts());
        byte[] report = reporter.aggregator
                .dueMessages(SECOND, reporter.endpoints, List.of())
                .get(7)
                .get(0);
        assertTrue(wrongRecipient.aggregator.receive(3, report, SECOND));
        assertEquals(
                1,
                wrongRecipient.faults.counts().damaged(),
                "a report received by a dispatcher that does not own the endpoint");
        deliverDueMessages(watcher, List.of(owner), 2);
        deliverDueMessages(owner, List.of(watcher), 3);
        assertEquals(3, watcher.endpoint(id).inFlight().peerSlots());
        byte[] sum = owner.aggregator.dueMessages(4, owner.endpoints, List.of()).getOrDefault(5, List.of()).stream()
                .findFirst()
                .orElse(null);
        assertEquals(null, sum, "no sum is sent without a change");
        TierMember watcherWithEmptyList = new TierMember(5, 0);
        Samples.setSlotsInFlight(reporter.endpoint(id), 2);
        deliverDueMessages(reporter, List.of(owner), SECOND / 5);
        List<byte[]> sums = owner.aggregator
                .dueMessages(SECOND / 5 + 1, owner.endpoints, List.of())
                .get(5);
        assertTrue(watcherWithEmptyList.aggregator.receive(7, sums.get(0), 6));
        assertEquals(
                1, watcherWithEmptyList.faults.counts().unlisted(), "a sum for an endpoint that is not on this list");
        assertTrue(watcher.aggregator.receive(2, sums.get(0), 6));
        assertEquals(1, watcher.faults.counts().damaged(), "a sum from a dispatcher that does not own the endpoint");
        assertEquals(3, watcher.endpoint(id).inFlight().peerSlots(), "a rejected sum has no effect");
        assertFalse(watcher.aggregator.receive(7, new byte[] {(byte) 0xA3, 1, 9}, 7), "an unknown kind of message");
    }

    @Test
    void manyEndpointsAreSplitOverDatagramsOfAtMost256Bytes() {
        TierMember reporter = new TierMember(3, 3000);
        reporter.endpoints.forEach(endpoint -> Samples.setSlotsInFlight(endpoint, 1));
        Map<Integer, List<byte[]>> messages =
                reporter.aggregator.dueMessages(0, reporter.endpoints, reporter.endpoints);
        long totalBytes = messages.values().stream()
                .flatMap(List::stream)
                .mapToLong(datagram -> datagram.length)
                .sum();
        assertTrue(messages.values().stream().flatMap(List::stream).allMatch(datagram -> datagram.length <= 256));
        assertTrue(totalBytes > 2800 * 5, totalBytes + " bytes for reports and subscriptions of 3,000 endpoints");
    }
}
