package nettlewick.decision;

import java.util.ArrayList;
import java.util.List;

/** A worker as this dispatcher knows it. */
final class Endpoint {
    final String id;
    EndpointEntry entry;
    int kind;
    boolean isReady;
    boolean isLocal;
    /** Last load report: when it came, and what it said. */
    long reportedAt = SchedulerClock.NEVER;

    double freeSlots;
    double queuedSlots;
    double freeMemory;
    /** The last report proves that nothing waits. */
    boolean queueProvenEmpty;
    /** Its reports tell how many wait. */
    boolean reportsQueue;
    /** Slots that are left but for what is known to be sent here, smoothed over reports. */
    double smoothedFreeSlots;

    long smoothedAt = SchedulerClock.NEVER;
    long overloadedAt = SchedulerClock.NEVER;
    boolean probePending;
    final List<Attempt> inFlight = new ArrayList<>();
    double inFlightSlots;
    /** Slots that peers hold here, by their last notes. */
    double peerSlots;
    /** Slots known to be in work at the last beats, each at its beat's number modulo the length. */
    private final double[] slotHistory = new double[16];

    long lastSignAt = SchedulerClock.NEVER;
    int ejections;
    /** When the latest of the attempts that have started was sent. */
    long latestStartedSentAt = SchedulerClock.NEVER;
    /** How much longer than hinted its jobs run: the logarithm's mean over the last few. */
    final RunningMean slowdown = new RunningMean(6);
    /** Connections to it that broke in a row. */
    int connectionFailures;

    long ejectedUntil = SchedulerClock.NEVER;
    double slowStartCredit;
    long slowStartCreditAt;

    Endpoint(String id) {
        this.id = id;
    }

    /** A process that started anew knows nothing of the load and the troubles of its last life. */
    void resetAfterRestart() {
        reportedAt = SchedulerClock.NEVER;
        smoothedAt = SchedulerClock.NEVER;
        overloadedAt = SchedulerClock.NEVER;
        ejectedUntil = SchedulerClock.NEVER;
        ejections = 0;
        connectionFailures = 0;
        latestStartedSentAt = SchedulerClock.NEVER;
        slowdown.count = 0;
    }

    /** Takes a report over in slots, whichever values this site's reports hold. */
    void applyReport(EndpointLoad load, long now, EndpointPool kind, LargestRequest most) {
        reportedAt = now;
        freeMemory = Double.isNaN(load.freeMemory()) ? Double.MAX_VALUE : load.freeMemory();
        double held = Double.isNaN(load.inHand()) ? 0 : load.inHand();
        boolean queue = !Double.isNaN(load.waiting());
        if (!Double.isNaN(load.freeSlots())) {
            freeSlots = load.freeSlots();
        } else if (queue) {
            freeSlots = load.waiting() < 1 ? 1 : 0;
        } else if (!Double.isNaN(load.busyShare())) {
            freeSlots = load.busyShare() < 1 ? 1 / Math.max(load.busyShare(), 0.01) : 0;
        } else {
            freeSlots = 1 / (1 + held);
        }
        kind.mostFreeSlots = freeSlots >= 1 ? Math.max(kind.mostFreeSlots, freeSlots + held) : kind.mostFreeSlots;
        queuedSlots = queue ? load.waiting() : freeSlots >= 1 ? 0 : Math.max(0, held - kind.mostFreeSlots);
        // Danger: a report without a queue says nothing of it. The first that waits may be a job that
        // does not fit while slots are free; only room for any job proves that none waits.
        reportsQueue = queue;
        queueProvenEmpty = queue ? queuedSlots < 0.5 : freeSlots >= most.slots && freeMemory >= most.memory;
    }

    void recordSent(Attempt a) {
        inFlight.add(a);
        inFlightSlots += a.request.arrival.slots();
    }

    void recordEnded(Attempt a) {
        inFlight.remove(a);
        releaseLost(a);
    }

    /** Danger: an attempt that is lost holds no slot here; counted on, it would until its deadline. */
    void releaseLost(Attempt a) {
        inFlightSlots -= a.lost ? 0 : a.request.arrival.slots();
        a.lost = true;
    }

    /** Remembers the slots known to be in work at this beat. */
    void recordTick(int beat) {
        slotHistory[beat % slotHistory.length] = inFlightSlots + peerSlots;
    }

    double slotsAtTick(int beat) {
        return slotHistory[Math.floorMod(beat, slotHistory.length)];
    }
}
