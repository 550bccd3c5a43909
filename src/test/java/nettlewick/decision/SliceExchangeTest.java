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

/** Transfers between dispatchers, inheritance, and messages of other kinds. */
class SliceExchangeTest {
    private record Mail(long at, int from, int to, byte[] data) {}

    /** A few dispatchers whose endpoints are always full, joined by a network that loses, doubles and reorders. */
    private static final class Ring {
        final SplittableRandom random;
        final RequestScheduler[] members;
        final long[] nextTickAt;
        final List<Mail> mail = new ArrayList<>();
        long now = 1;
        int requests;
        double loss = 0.2;
        boolean full = true;
        /** Of ten requests, this many are lost at full endpoints: slices that serve all may grow by themselves. */
        int broken = 5;

        boolean[] dead;

        Ring(int size, long seed) {
            random = new SplittableRandom(seed);
            members = new RequestScheduler[size];
            nextTickAt = new long[size];
            dead = new boolean[size];
            for (int i = 0; i < size; i++) {
                start(i, seed * 100 + i);
            }
        }

        void start(int rank, long seed) {
            members[rank] = new RequestScheduler(Samples.settings(rank, members.length, true), seed);
            carry(rank, members[rank].handle(now, List.of(Samples.endpoints(4))));
        }

        void carry(int rank, List<Action> actions) {
            for (Action action : actions) {
                if (action instanceof SendToPeer t) {
                    for (int copy = 0; copy < 2; copy++) {
                        if (random.nextDouble() >= (copy == 0 ? loss : 0.8)) {
                            mail.add(new Mail(now + Samples.MS * (1 + random.nextInt(300)), rank, t.rank(), t.data()));
                        }
                    }
                } else if (action instanceof SetTimer t) {
                    nextTickAt[rank] = now + t.delayNanos();
                } else if (action instanceof Probe p) {
                    carry(
                            rank,
                            members[rank].handle(
                                    now, List.of(Samples.probeAnswer(p.endpoint(), full ? 0 : 3, full ? 9 : 0))));
                }
            }
        }

        /** Lets time pass; at dispatcher {@code i} this many requests arrive each tenth of a second. */
        void run(long until, int... arrivals) {
            while (now < until) {
                now += 10 * Samples.MS;
                for (int i = 0; i < members.length; i++) {
                    int rank = i;
                    if (dead[i]) {
                        mail.removeIf(m -> m.to() == rank);
                        continue;
                    }
                    for (Mail m : mail.stream()
                            .filter(m -> m.to() == rank && m.at() <= now)
                            .toList()) {
                        mail.remove(m);
                        carry(i, members[i].handle(now, List.of(new PeerMessageReceived(m.from(), m.data()))));
                    }
                    if (now >= nextTickAt[i]) {
                        carry(i, members[i].handle(now, List.of(new Timer("beat"))));
                    }
                    for (int j = 0; now % (100 * Samples.MS) < 10 * Samples.MS && j < arrivals[i]; j++) {
                        List<Action> actions = members[i].handle(
                                now, List.of(Samples.arrival("j" + requests++, "book", j % 3 == 0 ? "blue" : "red")));
                        for (Dispatch d : Samples.actionsOfType(Dispatch.class, actions)) {
                            AttemptResult result =
                                    full && random.nextInt(10) < broken ? AttemptResult.BROKEN : AttemptResult.SERVED;
                            carry(i, members[i].handle(now, List.of(Samples.outcome(d, 0, result))));
                        }
                    }
                }
            }
        }

        double sum() {
            double sum = 0;
            for (RequestScheduler m : members) {
                sum += m.slice() + m.pendingTransfers();
            }
            return sum;
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void lostDuplicatedAndReorderedTransfersNeverRaiseTheSum(long seed) {
        Ring ring = new Ring(4, seed);
        ring.full = false;
        ring.run(8 * Samples.SECOND, 9, 3, 1, 1);
        ring.full = true;
        ring.run(10 * Samples.SECOND, 9, 3, 1, 1);
        double before = ring.sum();
        int moved = 0;
        double[] slices = java.util.Arrays.stream(ring.members)
                .mapToDouble(RequestScheduler::slice)
                .toArray();
        for (int second = 11; second < 40; second++) {
            ring.run(second * Samples.SECOND, 9, 3, 1, 1);
            assertTrue(ring.sum() <= before + 1e-3, "the sum rose from " + before + " to " + ring.sum());
            for (int i = 0; i < slices.length; i++) {
                moved += Math.abs(ring.members[i].slice() - slices[i]) > 1e-6 ? 1 : 0;
            }
        }
        assertTrue(moved > 0, "nothing was ever given");
    }

    @Test
    void aRestartedPeerGetsNoTransferOfItsLastIncarnation() {
        RequestScheduler taker = new RequestScheduler(Samples.settings(0, 3, true), 7);
        taker.handle(1, List.of(Samples.endpoints(4)));
        int incarnation = incarnationOf(taker);
        byte[] transfer = new PeerMessage(PeerMessage.Type.TRANSFER, true, 111, incarnation, 1, 0, 5).encode();
        byte[] newLife = new PeerMessage(PeerMessage.Type.STATE, true, 222, 0, 0, 1, 1).encode();
        assertEquals(1, acks(taker, transfer));
        double once = taker.slice();
        acks(taker, newLife);
        assertEquals(1, acks(taker, transfer), "a late copy of an old incarnation is acknowledged");
        assertEquals(once, taker.slice(), 1e-9, "but not credited twice");
        byte[] foreign = new PeerMessage(PeerMessage.Type.TRANSFER, true, 222, incarnation + 1, 1, 0, 5).encode();
        assertEquals(0, acks(taker, foreign), "a transfer to an earlier incarnation is ignored");
        assertEquals(once, taker.slice(), 1e-9);
    }

    @Test
    void aSilentPredecessorsSliceIsInheritedOnceAndReturnedWhenItIsHeard() {
        Ring ring = new Ring(3, 5);
        ring.loss = 0;
        ring.run(8 * Samples.SECOND, 3, 3, 3);
        double before = ring.members[1].slice();
        ring.dead[0] = true;
        ring.run(30 * Samples.SECOND, 0, 3, 3);
        assertTrue(ring.members[1].inheritedSlice() > 0, "the ring's next inherits");
        byte[] alive =
                new PeerMessage(PeerMessage.Type.STATE, true, incarnationOf(ring.members[0]), 0, 0, 1, before).encode();
        double with = ring.members[1].slice();
        double inherited = ring.members[1].inheritedSlice();
        ring.members[1].handle(ring.now, List.of(new PeerMessageReceived(0, alive)));
        assertEquals(Math.max(0, with - inherited), ring.members[1].slice(), 1e-9);
        assertEquals(0, ring.members[1].inheritedSlice(), 1e-9);
    }

    @Test
    void messagesOfOtherKindsOrPeersChangeNothing() {
        byte[] good = new PeerMessage(PeerMessage.Type.TRANSFER, true, 1, 2, 3, 0, 4).encode();
        assertNotNull(PeerMessage.decode(good));
        assertEquals(new PeerMessage(PeerMessage.Type.TRANSFER, true, 1, 2, 3, 0, 4), PeerMessage.decode(good));
        for (int length = 0; length < good.length; length++) {
            assertNull(PeerMessage.decode(java.util.Arrays.copyOf(good, length)));
        }
        for (int at : new int[] {0, 1, 2}) {
            byte[] other = good.clone();
            other[at] = (byte) 0xEE;
            assertNull(PeerMessage.decode(other));
        }
        assertNull(
                PeerMessage.decode(new PeerMessage(PeerMessage.Type.TRANSFER, true, 1, 2, 3, 0, Double.NaN).encode()));
        assertNull(PeerMessage.decode(new PeerMessage(PeerMessage.Type.TRANSFER, true, 1, 2, 3, 0, -1).encode()));
        RequestScheduler scheduler = new RequestScheduler(Samples.settings(0, 3, true), 7);
        scheduler.handle(1, List.of(Samples.endpoints(4)));
        byte[] ours = new PeerMessage(PeerMessage.Type.TRANSFER, true, 1, incarnationOf(scheduler), 1, 0, 4).encode();
        double before = scheduler.slice();
        for (int rank : new int[] {-1, 0, 3, 99}) {
            assertEquals(
                    0,
                    scheduler
                            .handle(2, List.of(new PeerMessageReceived(rank, ours)))
                            .size());
        }
        assertEquals(before, scheduler.slice());
    }

    @Test
    void nothingIsSentWherePeersAreForbiddenOrAbsent() {
        for (SchedulerSettings s : List.of(Samples.settings(0, 3, false), Samples.settings(0, 1, true))) {
            RequestScheduler scheduler = new RequestScheduler(s, 3);
            scheduler.handle(1, List.of(Samples.endpoints(4)));
            for (int i = 1; i < 60; i++) {
                assertEquals(
                        List.of(),
                        Samples.actionsOfType(
                                SendToPeer.class, scheduler.handle(i * 100 * Samples.MS, List.of(new Timer("beat")))));
            }
        }
    }

    private static int acks(RequestScheduler scheduler, byte[] data) {
        return Samples.actionsOfType(SendToPeer.class, scheduler.handle(2, List.of(new PeerMessageReceived(1, data))))
                .size();
    }

    /** A dispatcher's incarnation, as its answer to a state request shows it. */
    private static int incarnationOf(RequestScheduler scheduler) {
        byte[] ask = new PeerMessage(PeerMessage.Type.STATE_REQUEST, false, 111, 0, 0, 0, 0).encode();
        SendToPeer answer = Samples.actionsOfType(
                        SendToPeer.class, scheduler.handle(1, List.of(new PeerMessageReceived(1, ask))))
                .get(0);
        return PeerMessage.decode(answer.data()).incarnation();
    }
}
