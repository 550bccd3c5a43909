package nettlewick.decision;

import java.util.List;
import java.util.function.Supplier;
import nettlewick.decision.SchedulerSettings.Idempotency;

/** Outlier detection: which workers are left alone for how they end what is sent, and their way back. */
final class OutlierDetector {
    /** First time for which a failing worker is left alone; it doubles up to eight times this. */
    private static final long BASE_EJECTION_NANOS = 500_000_000;
    /** Breaks in a row that count as the worker's own: at least so many, and too many for chance. */
    private static final int MIN_CONSECUTIVE_FAILURES = 2;

    private static final double FALSE_POSITIVE_PROBABILITY = 0.005;
    /** A worker that refuses connections does so at once; one that is cut off takes longer than this. */
    private static final long MAX_REFUSAL_NANOS = 100_000_000;
    /** Part of the ready workers that may be left alone at once: beyond it the fault is elsewhere. */
    private static final double MAX_EJECTED_SHARE = 0.5;

    /** An attempt sent so much later that started first: more than sends can change their order by. */
    private static final long OVERTAKEN_NANOS = 250_000_000;
    /** Progress notes that may fail to come before an attempt counts as lost. */
    private static final int MISSED_PROGRESS_LIMIT = 2;
    /** A report that came so long after a send shows the worker after it. */
    private static final long REPORT_SETTLING_NANOS = 1_500_000_000;
    /** Nineteen in twenty that are sent to a free slot start within this. */
    private static final long START_TIMEOUT_NANOS = 150_000_000;
    /** So many jobs of its own weigh as much as all of its kind's in what a worker's jobs run. */
    private static final double PRIOR_SAMPLES = 3;

    /** A silent worker is left after this many expected job times of silence, summed over its attempts. */
    private static final double MAX_SILENT_RUN_TIMES = 5;
    /** Second copies on suspicion that each lost attempt allows, and how many may be saved up. */
    private static final int HEDGES_PER_LOSS = 2;

    private static final int MAX_SAVED_HEDGES = 6;

    private final Supplier<List<Endpoint>> ready;
    private int hedgeBudget;
    /** Share of connections that break, over the whole fleet. */
    private final RunningMean breakShare = new RunningMean(100);

    OutlierDetector(Supplier<List<Endpoint>> ready) {
        this.ready = ready;
        breakShare.count = 50;
    }

    /** Takes over how an attempt, or a probe that failed, ended at this worker. */
    void recordResult(Endpoint endpoint, AttemptResult result, long latency, long now) {
        switch (result) {
            case SERVED -> {
                recordSignOfLife(endpoint, now);
                breakShare.add(0);
                endpoint.ejectedUntil = Math.min(endpoint.ejectedUntil, now);
            }
            case OVERLOADED -> {
                endpoint.lastSignAt = now;
                endpoint.overloadedAt = now;
            }
            // Danger: a worker that answers every job with an error at once always shows room.
            case ERROR, TIMEOUT -> eject(endpoint, now);
            // Danger: connections break on the way, one here and one there, at workers that are well.
            case UNREACHABLE, BROKEN -> {
                breakShare.add(1);
                if (++endpoint.connectionFailures >= consecutiveFailureLimit()
                        || result == AttemptResult.UNREACHABLE && latency > MAX_REFUSAL_NANOS) {
                    eject(endpoint, now);
                }
            }
            default -> {}
        }
    }

    /** Danger: where a tenth of all connections break, two in a row soon befall every worker. */
    private double consecutiveFailureLimit() {
        double share = Math.min(0.5, Math.max(0.001, breakShare.value));
        return Math.max(MIN_CONSECUTIVE_FAILURES, Math.ceil(Math.log(FALSE_POSITIVE_PROBABILITY) / Math.log(share)));
    }

    /** A sign of life that only a worker at work gives. */
    void recordSignOfLife(Endpoint endpoint, long now) {
        endpoint.lastSignAt = now;
        endpoint.ejections = 0;
        endpoint.connectionFailures = 0;
    }

    void eject(Endpoint endpoint, long now) {
        long out = ready.get().stream().filter(o -> now < o.ejectedUntil).count();
        if (now >= endpoint.ejectedUntil
                && out + 1 <= Math.max(1, MAX_EJECTED_SHARE * ready.get().size())) {
            endpoint.ejectedUntil = now + (BASE_EJECTION_NANOS << Math.min(endpoint.ejections, 3));
            endpoint.ejections++;
        }
    }

    /** An attempt shows that it runs. */
    static void recordProgress(Attempt a, boolean start, long now) {
        a.lastSignAt = now;
        if (start) {
            a.startedAt = now;
            a.endpoint.latestStartedSentAt = Math.max(a.endpoint.latestStartedSentAt, a.sentAt);
        }
    }

    /**
     * Whether an attempt is lost though its worker is well. Danger: one connection can fall silent among
     * others that do not. Workers start what waits in order, so one overtaken by a later one never came or is
     * dead, and so is one that has not started while nothing waits; one that runs shows it every
     * {@code progress}.
     */
    static boolean isLost(Attempt a, long now, long progress) {
        return a.startedAt == SchedulerClock.NEVER
                ? a.endpoint.latestStartedSentAt - a.sentAt > OVERTAKEN_NANOS
                        || a.endpoint.reportedAt - a.sentAt > REPORT_SETTLING_NANOS && a.endpoint.queueProvenEmpty
                : progress > 0 && now - a.lastSignAt > MISSED_PROGRESS_LIMIT * progress;
    }

    /** Whether an attempt that was sent to a free slot should have started by now. */
    static boolean isStartOverdue(Attempt a, long now) {
        return a.sawFreeCapacity && a.startedAt == SchedulerClock.NEVER && now - a.sentAt > START_TIMEOUT_NANOS;
    }

    /** An attempt is lost: its slot is free, as far as can be told. */
    void recordLost(Attempt a) {
        hedgeBudget = Math.min(hedgeBudget + (a.lost ? 0 : HEDGES_PER_LOSS), MAX_SAVED_HEDGES);
        a.endpoint.releaseLost(a);
    }

    /** Danger: copies on suspicion multiply where all is slow. They are earned by what is surely lost. */
    boolean mayHedge() {
        return hedgeBudget >= 1;
    }

    void recordHedge(boolean sent) {
        hedgeBudget -= sent ? 1 : 0;
    }

    /** Whether a worker has been silent too long: in expected job times, summed over what is out there. */
    static boolean isSilent(Endpoint endpoint, long now, RunningMean[] pace, long least) {
        double silence = 0;
        for (Attempt a : endpoint.inFlight) {
            double expected = Math.max(pace[a.request.classIndex].value, a.request.arrival.costHint());
            long silent = now - Math.max(a.sentAt, endpoint.lastSignAt);
            silence += expected <= 0 ? 0 : silent / Math.max(expected, least);
        }
        return silence > MAX_SILENT_RUN_TIMES;
    }

    /** An attempt was served: compares how long it ran with its hint. */
    void recordRunTime(Attempt a, EndpointPool kind, long now) {
        if (a.startedAt != SchedulerClock.NEVER && a.request.arrival.costHint() > 0 && now > a.startedAt) {
            double drag = Math.log((double) (now - a.startedAt) / a.request.arrival.costHint());
            a.endpoint.slowdown.add(drag);
            kind.slowdown.add(drag);
        }
    }

    /** Whether it may be one that waits, which only a report of the queue would tell better. */
    private static boolean mayBeQueued(Attempt a) {
        return a.startedAt == SchedulerClock.NEVER && !a.lost && !a.endpoint.reportsQueue;
    }

    /** How long the own job that waits there longest has waited, in nanoseconds; 0 if none waits. */
    static long longestWait(Endpoint endpoint, long now) {
        long longest = 0;
        for (Attempt a : endpoint.inFlight) {
            longest = mayBeQueued(a) ? Math.max(longest, now - a.sentAt) : longest;
        }
        return longest > START_TIMEOUT_NANOS ? longest : 0;
    }

    /** How many times its hint a job is expected to run there: few jobs there count beside its kind's. */
    double expectedSlowdown(Endpoint endpoint, EndpointPool kind) {
        double own = endpoint.slowdown.count;
        return Math.exp((own * endpoint.slowdown.value + PRIOR_SAMPLES * kind.slowdown.value) / (own + PRIOR_SAMPLES));
    }

    /**
     * Slots of own jobs that wait there, 0 if none has waited for longer than a start takes. Danger: where
     * reports tell no queue, slots may be free and a first job that fits none of them hold up all others.
     */
    static double blockedSlots(Endpoint endpoint, long now) {
        double slots = 0;
        boolean blocked = false;
        for (Attempt a : endpoint.inFlight) {
            boolean waits = mayBeQueued(a);
            slots += waits ? a.request.arrival.slots() : 0;
            blocked |= waits && now - a.sentAt > START_TIMEOUT_NANOS;
        }
        return blocked ? slots : 0;
    }

    /** Danger: a worker whose time is over may be ill still. One harmless job is its probe, then more. */
    static boolean mayReceive(Endpoint endpoint, ScheduledRequest request, long now) {
        return now >= endpoint.ejectedUntil
                && (endpoint.ejections == 0
                        || endpoint.inFlight.isEmpty()
                                && request.requestClass.idempotency() != Idempotency.NON_IDEMPOTENT);
    }
}
