package nettlewick.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import nettlewick.decision.Action.Dispatch;
import nettlewick.decision.Action.Probe;
import nettlewick.decision.Action.SendToPeer;
import nettlewick.decision.Action.SetTimer;
import nettlewick.decision.Event.PeerMessageReceived;
import nettlewick.decision.Event.Timer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Transfers between dispatchers, inheritance, and invalid messages. */
class SliceExchangeTest {
    private record Datagram(long arrivesAt, int from, int to, byte[] data) {}

    /** Dispatchers connected by a network that loses, duplicates and reorders datagrams; endpoints can be full. */
    private static final class Ring {
        final SplittableRandom random;
        final RequestScheduler[] dispatchers;
        final long[] nextTickAt;
        final List<Datagram> datagrams = new ArrayList<>();
        long now = 1;
        int requestCount;
        double lossRate = 0.2;
        boolean areEndpointsFull = true;
        /** Of ten requests to full endpoints, this many fail: a slice that serves all its requests would grow. */
        int brokenOfTen = 5;

        boolean[] isStopped;

        Ring(int size, long seed) {
            random = new SplittableRandom(seed);
            dispatchers = new RequestScheduler[size];
            nextTickAt = new long[size];
            isStopped = new boolean[size];
            for (int i = 0; i < size; i++) {
                start(i, seed * 100 + i);
            }
        }

        void start(int rank, long seed) {
            dispatchers[rank] = new RequestScheduler(Samples.settings(rank, dispatchers.length, true), seed);
            execute(rank, dispatchers[rank].handle(now, List.of(Samples.endpoints(4))));
        }

        void execute(int rank, List<Action> actions) {
            for (Action action : actions) {
                if (action instanceof SendToPeer t) {
                    for (int copy = 0; copy < 2; copy++) {
                        if (random.nextDouble() >= (copy == 0 ? lossRate : 0.8)) {
                            datagrams.add(new Datagram(
                                    now + Samples.MS * (1 + random.nextInt(300)), rank, t.rank(), t.data()));
                        }
                    }
                } else if (action instanceof SetTimer t) {
                    nextTickAt[rank] = now + t.delayNanos();
                } else if (action instanceof Probe p) {
                    execute(
                            rank,
                            dispatchers[rank].handle(
                                    now,
                                    List.of(Samples.probeAnswer(
                                            p.endpoint(), areEndpointsFull ? 0 : 3, areEndpointsFull ? 9 : 0))));
                }
            }
        }

        /** Advances the time; {@code arrivals[i]} requests arrive at dispatcher {@code i} every 100 ms. */
        void run(long until, int... arrivals) {
            while (now < until) {
                now += 10 * Samples.MS;
                for (int i = 0; i < dispatchers.length; i++) {
                    int rank = i;
                    if (isStopped[i]) {
                        datagrams.removeIf(datagram -> datagram.to() == rank);
                        continue;
                    }
                    for (Datagram datagram : datagrams.stream()
                            .filter(datagram -> datagram.to() == rank && datagram.arrivesAt() <= now)
                            .toList()) {
                        datagrams.remove(datagram);
                        execute(
                                i,
                                dispatchers[i].handle(
                                        now, List.of(new PeerMessageReceived(datagram.from(), datagram.data()))));
                    }
                    if (now >= nextTickAt[i]) {
                        execute(i, dispatchers[i].handle(now, List.of(new Timer("beat"))));
                    }
                    for (int j = 0; now % (100 * Samples.MS) < 10 * Samples.MS && j < arrivals[i]; j++) {
                        List<Action> actions = dispatchers[i].handle(
                                now,
                                List.of(Samples.arrival("j" + requestCount++, "book", j % 3 == 0 ? "blue" : "red")));
                        for (Dispatch d : Samples.actionsOfType(Dispatch.class, actions)) {
                            AttemptResult result = areEndpointsFull && random.nextInt(10) < brokenOfTen
                                    ? AttemptResult.BROKEN
                                    : AttemptResult.SERVED;
                            execute(i, dispatchers[i].handle(now, List.of(Samples.outcome(d, 0, result))));
                        }
                    }
                }
            }
        }

        double totalSlots() {
            double sum = 0;
            for (RequestScheduler dispatcher : dispatchers) {
                sum += dispatcher.slice() + dispatcher.pendingTransfers();
            }
            return sum;
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void lostDuplicatedAndReorderedTransfersNeverRaiseTheSum(long seed) {
        Ring ring = new Ring(4, seed);
        ring.areEndpointsFull = false;
        ring.run(8 * Samples.SECOND, 9, 3, 1, 1);
        ring.areEndpointsFull = true;
        ring.run(10 * Samples.SECOND, 9, 3, 1, 1);
        double before = ring.totalSlots();
        int changes = 0;
        double[] slices = java.util.Arrays.stream(ring.dispatchers)
                .mapToDouble(RequestScheduler::slice)
                .toArray();
        for (int second = 11; second < 40; second++) {
            ring.run(second * Samples.SECOND, 9, 3, 1, 1);
            assertTrue(
                    ring.totalSlots() <= before + 1e-3,
                    "the sum of slices rose from " + before + " to " + ring.totalSlots());
            for (int i = 0; i < slices.length; i++) {
                changes += Math.abs(ring.dispatchers[i].slice() - slices[i]) > 1e-6 ? 1 : 0;
            }
        }
        assertTrue(changes > 0, "no capacity was transferred");
    }

    @Test
    void aLateTransferOfAnEarlierIncarnationIsNotCreditedTwice() {
        RequestScheduler receiver = new RequestScheduler(Samples.settings(0, 3, true), 7);
        receiver.handle(1, List.of(Samples.endpoints(4)));
        int incarnation = incarnationOf(receiver);
        byte[] transfer = new PeerMessage(PeerMessage.Type.TRANSFER, true, 111, incarnation, 1, 0, 5).encode();
        byte[] newIncarnation = new PeerMessage(PeerMessage.Type.STATE, true, 222, 0, 0, 1, 1).encode();
        assertEquals(1, countReplies(receiver, transfer));
        double creditedOnce = receiver.slice();
        countReplies(receiver, newIncarnation);
        assertEquals(1, countReplies(receiver, transfer), "a late copy from an earlier incarnation is acknowledged");
        assertEquals(creditedOnce, receiver.slice(), 1e-9, "but not credited twice");
        byte[] transferToEarlier =
                new PeerMessage(PeerMessage.Type.TRANSFER, true, 222, incarnation + 1, 1, 0, 5).encode();
        assertEquals(0, countReplies(receiver, transferToEarlier), "a transfer to an earlier incarnation is ignored");
        assertEquals(creditedOnce, receiver.slice(), 1e-9);
    }

    @Test
    void aSilentPredecessorsSliceIsInheritedOnceAndReturnedOnItsNextMessage() {
        Ring ring = new Ring(3, 5);
        ring.lossRate = 0;
        ring.run(8 * Samples.SECOND, 3, 3, 3);
        double before = ring.dispatchers[1].slice();
        ring.isStopped[0] = true;
        ring.run(30 * Samples.SECOND, 0, 3, 3);
        assertTrue(ring.dispatchers[1].inheritedSlice() > 0, "the successor on the ring inherits");
        byte[] state = new PeerMessage(
                        PeerMessage.Type.STATE, true, incarnationOf(ring.dispatchers[0]), 0, 0, 1, before)
                .encode();
        double sliceWithInheritance = ring.dispatchers[1].slice();
        double inherited = ring.dispatchers[1].inheritedSlice();
        ring.dispatchers[1].handle(ring.now, List.of(new PeerMessageReceived(0, state)));
        assertEquals(Math.max(0, sliceWithInheritance - inherited), ring.dispatchers[1].slice(), 1e-9);
        assertEquals(0, ring.dispatchers[1].inheritedSlice(), 1e-9);
    }

    @Test
    void invalidMessagesAndUnknownSendersAreIgnored() {
        byte[] valid = new PeerMessage(PeerMessage.Type.TRANSFER, true, 1, 2, 3, 0, 4).encode();
        assertNotNull(PeerMessage.decode(valid));
        assertEquals(new PeerMessage(PeerMessage.Type.TRANSFER, true, 1, 2, 3, 0, 4), PeerMessage.decode(valid));
        for (int length = 0; length < valid.length; length++) {
            assertNull(PeerMessage.decode(java.util.Arrays.copyOf(valid, length)));
        }
        for (int at : new int[] {0, 1, 2}) {
            byte[] other = valid.clone();
            other[at] = (byte) 0xEE;
            assertNull(PeerMessage.decode(other));
        }
        assertNull(
                PeerMessage.decode(new PeerMessage(PeerMessage.Type.TRANSFER, true, 1, 2, 3, 0, Double.NaN).encode()));
        assertNull(PeerMessage.decode(new PeerMessage(PeerMessage.Type.TRANSFER, true, 1, 2, 3, 0, -1).encode()));
        RequestScheduler scheduler = new RequestScheduler(Samples.settings(0, 3, true), 7);
        scheduler.handle(1, List.of(Samples.endpoints(4)));
        byte[] transfer =
                new PeerMessage(PeerMessage.Type.TRANSFER, true, 1, incarnationOf(scheduler), 1, 0, 4).encode();
        double before = scheduler.slice();
        for (int rank : new int[] {-1, 0, 3, 99}) {
            assertEquals(
                    0,
                    scheduler
                            .handle(2, List.of(new PeerMessageReceived(rank, transfer)))
                            .size());
        }
        assertEquals(before, scheduler.slice());
    }

    @Test
    void nothingIsSentWherePeersAreForbiddenOrAbsent() {
        for (SchedulerSettings settings : List.of(Samples.settings(0, 3, false), Samples.settings(0, 1, true))) {
            RequestScheduler scheduler = new RequestScheduler(settings, 3);
            scheduler.handle(1, List.of(Samples.endpoints(4)));
            for (int i = 1; i < 60; i++) {
                assertEquals(
                        List.of(),
                        Samples.actionsOfType(
                                SendToPeer.class, scheduler.handle(i * 100 * Samples.MS, List.of(new Timer("beat")))));
            }
        }
    }

    private static int countReplies(RequestScheduler scheduler, byte[] data) {
        return Samples.actionsOfType(SendToPeer.class, scheduler.handle(2, List.of(new PeerMessageReceived(1, data))))
                .size();
    }

    /** The incarnation of a dispatcher, read from its reply to a state request. */
    private static int incarnationOf(RequestScheduler scheduler) {
        byte[] stateRequest = new PeerMessage(PeerMessage.Type.STATE_REQUEST, false, 111, 0, 0, 0, 0).encode();
        SendToPeer answer = Samples.actionsOfType(
                        SendToPeer.class, scheduler.handle(1, List.of(new PeerMessageReceived(1, stateRequest))))
                .get(0);
        return PeerMessage.decode(answer.data()).incarnation();
    }
}
