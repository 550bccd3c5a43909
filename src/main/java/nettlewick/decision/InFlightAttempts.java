package nettlewick.decision;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/** The attempts in flight at one endpoint, the slots they take, and the slots that peers have in flight there. */
final class InFlightAttempts {
    private static final int HISTORY_TICKS = 16;

    private final List<Attempt> attempts = new ArrayList<>();
    private final List<Attempt> attemptsView = Collections.unmodifiableList(attempts);
    private double slots;
    private double peerSlots;
    /** Slots known to be in use at the last ticks, each at its tick's number modulo the length. */
    private final double[] slotHistory = new double[HISTORY_TICKS];

    void add(Attempt attempt) {
        attempts.add(attempt);
        slots += attempt.request().arrival().slots();
    }

    void remove(Attempt attempt) {
        attempts.remove(attempt);
        release(attempt);
    }

    /** Gives the slots of an attempt back, once, while its outcome is still to come. */
    void release(Attempt attempt) {
        slots -= attempt.isLost() ? 0 : attempt.request().arrival().slots();
        attempt.markLost();
    }

    /** The attempts in the order of sending; a view that changes with them. */
    List<Attempt> attempts() {
        return attemptsView;
    }

    boolean isEmpty() {
        return attempts.isEmpty();
    }

    /** Slots taken by attempts of this dispatcher that are not lost. */
    double slots() {
        return slots;
    }

    /** Slots that peers have in flight at the endpoint, by their latest messages. */
    double peerSlots() {
        return peerSlots;
    }

    void setPeerSlots(double inUse) {
        peerSlots = inUse;
    }

    void addPeerSlots(double change) {
        peerSlots += change;
    }

    /** Remembers the slots known to be in use at this tick. */
    void recordTick(int tick) {
        slotHistory[tick % slotHistory.length] = slots + peerSlots;
    }

    double slotsAtTick(int tick) {
        return slotHistory[Math.floorMod(tick, slotHistory.length)];
    }
}
