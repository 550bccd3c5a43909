package nettlewick.decision;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/** The attempts in flight at one endpoint, the slots they occupy, and the slots that peers' requests occupy. */
final class InFlightAttempts {
    private static final int HISTORY_TICKS = 16;

    private final List<Attempt> attempts = new ArrayList<>();
    private final List<Attempt> attemptsView = Collections.unmodifiableList(attempts);
    private double slots;
    private double peerSlots;
    /** Ring buffer of the slots known to be in use at recent ticks, indexed by tick number modulo its length. */
    private final double[] slotHistory = new double[HISTORY_TICKS];

    void add(Attempt attempt) {
        attempts.add(attempt);
        slots += attempt.request().arrival().slots();
    }

    void remove(Attempt attempt) {
        attempts.remove(attempt);
        release(attempt);
    }

    /** Releases the slots of an attempt whose outcome is still pending. Further calls have no effect. */
    void release(Attempt attempt) {
        slots -= attempt.isLost() ? 0 : attempt.request().arrival().slots();
        attempt.markLost();
    }

    /** A live, unmodifiable view of the attempts in the order of sending. */
    List<Attempt> attempts() {
        return attemptsView;
    }

    boolean isEmpty() {
        return attempts.isEmpty();
    }

    /** Slots occupied by this dispatcher's attempts that are not lost. */
    double slots() {
        return slots;
    }

    /** Slots that peers have in flight at the endpoint according to their latest messages. */
    double peerSlots() {
        return peerSlots;
    }

    void setPeerSlots(double inUse) {
        peerSlots = inUse;
    }

    void addPeerSlots(double change) {
        peerSlots += change;
    }

    /** Records the slots known to be in use at this tick. */
    void recordTick(int tick) {
        slotHistory[tick % slotHistory.length] = slots + peerSlots;
    }

    double slotsAtTick(int tick) {
        return slotHistory[Math.floorMod(tick, slotHistory.length)];
    }
}
