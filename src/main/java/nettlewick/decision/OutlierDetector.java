package nettlewick.decision;

import java.util.List;
import java.util.function.Supplier;
import nettlewick.decision.SchedulerSettings.Idempotency;
import nettlewick.decision.State.Attempt;
import nettlewick.decision.State.Endpoint;
import nettlewick.decision.State.Mean;
import nettlewick.decision.State.Pool;
import nettlewick.decision.State.ScheduledRequest;

/** Outlier detection: which workers are left alone for how they end what is sent, and their way back. */
final class OutlierDetector {
    /** First time for which a failing worker is left alone; it doubles up to eight times this. */
    private static final long SHUN = 500_000_000;
    /** Breaks in a row that count as the worker's own: at least so many, and too many for chance. */
    private static final int FAILURES = 2;

    private static final double CHANCE = 0.005;
    /** A worker that refuses connections does so at once; one that is cut off takes longer than this. */
    private static final long REFUSED = 100_000_000;
    /** Part of the ready workers that may be left alone at once: beyond it the fault is elsewhere. */
    private static final double MOST = 0.5;

    /** An attempt sent so much later that started first: more than sends can change their order by. */
    private static final long OVERTAKEN = 250_000_000;
    /** Progress notes that may fail to come before an attempt counts as lost. */
    private static final int SIGNS = 2;
    /** A report that came so long after a send shows the worker after it. */
    private static final long SEEN = 1_500_000_000;
    /** Nineteen in twenty that are sent to a free slot start within this. */
    private static final long START = 150_000_000;
    /** So many jobs of its own weigh as much as all of its kind's in what a worker's jobs run. */
    private static final double BELIEVED = 3;

    /** A silent worker is left after this many expected job times of silence, summed over its attempts. */
    private static final double SILENCE = 5;
    /** Second copies on suspicion that each lost attempt allows, and how many may be saved up. */
    private static final int COPIES = 2;

    private static final int COPIES_MOST = 6;

    private final Supplier<List<Endpoint>> ready;
    private int copies;
    /** Share of connections that break, over the whole fleet. */
    private final Mean breaks = new Mean(100);

    OutlierDetector(Supplier<List<Endpoint>> ready) {
        this.ready = ready;
        breaks.count = 50;
    }

    /** Takes over how an attempt, or a probe that failed, ended at this worker. */
    void judge(Endpoint endpoint, AttemptResult result, long latency, long now) {
        switch (result) {
            case SERVED -> {
                alive(endpoint, now);
                breaks.add(0);
                endpoint.shunnedUntil = Math.min(endpoint.shunnedUntil, now);
            }
            case OVERLOADED -> {
                endpoint.signAt = now;
                endpoint.fullAt = now;
            }
            // Danger: a worker that answers every job with an error at once always shows room.
            case ERROR, TIMEOUT -> shun(endpoint, now);
            // Danger: connections break on the way, one here and one there, at workers that are well.
            case UNREACHABLE, BROKEN -> {
                breaks.add(1);
                if (++endpoint.failures >= inARow() || result == AttemptResult.UNREACHABLE && latency > REFUSED) {
                    shun(endpoint, now);
                }
            }
            default -> {}
        }
    }

    /** Danger: where a tenth of all connections break, two in a row soon befall every worker. */
    private double inARow() {
        double share = Math.min(0.5, Math.max(0.001, breaks.value));
        return Math.max(FAILURES, Math.ceil(Math.log(CHANCE) / Math.log(share)));
    }

    /** A sign of life that only a worker at work gives. */
    void alive(Endpoint endpoint, long now) {
        endpoint.signAt = now;
        endpoint.strikes = 0;
        endpoint.failures = 0;
    }

    void shun(Endpoint endpoint, long now) {
        long out = ready.get().stream().filter(o -> now < o.shunnedUntil).count();
        if (now >= endpoint.shunnedUntil
                && out + 1 <= Math.max(1, MOST * ready.get().size())) {
            endpoint.shunnedUntil = now + (SHUN << Math.min(endpoint.strikes, 3));
            endpoint.strikes++;
        }
    }

    /** An attempt shows that it runs. */
    static void sign(Attempt a, boolean start, long now) {
        a.signAt = now;
        if (start) {
            a.startedAt = now;
            a.worker.startedSent = Math.max(a.worker.startedSent, a.sentAt);
        }
    }

    /**
     * Whether an attempt is lost though its worker is well. Danger: one connection can fall silent among
     * others that do not. Workers start what waits in order, so one overtaken by a later one never came or is
     * dead, and so is one that has not started while nothing waits; one that runs shows it every
     * {@code progress}.
     */
    static boolean lost(Attempt a, long now, long progress) {
        return a.startedAt == State.NEVER
                ? a.worker.startedSent - a.sentAt > OVERTAKEN
                        || a.worker.answeredAt - a.sentAt > SEEN && a.worker.queueEmpty
                : progress > 0 && now - a.signAt > SIGNS * progress;
    }

    /** Whether an attempt that was sent to a free slot should have started by now. */
    static boolean overdue(Attempt a, long now) {
        return a.roomy && a.startedAt == State.NEVER && now - a.sentAt > START;
    }

    /** An attempt is lost: its slot is free, as far as can be told. */
    void lose(Attempt a) {
        copies = Math.min(copies + (a.lost ? 0 : COPIES), COPIES_MOST);
        a.worker.lose(a);
    }

    /** Danger: copies on suspicion multiply where all is slow. They are earned by what is surely lost. */
    boolean affordsCopy() {
        return copies >= 1;
    }

    void copied(boolean sent) {
        copies -= sent ? 1 : 0;
    }

    /** Whether a worker has been silent too long: in expected job times, summed over what is out there. */
    static boolean silent(Endpoint endpoint, long now, Mean[] pace, long least) {
        double silence = 0;
        for (Attempt a : endpoint.out) {
            double expected = Math.max(pace[a.job.index].value, a.job.arrival.costHint());
            long silent = now - Math.max(a.sentAt, endpoint.signAt);
            silence += expected <= 0 ? 0 : silent / Math.max(expected, least);
        }
        return silence > SILENCE;
    }

    /** An attempt was served: compares how long it ran with its hint. */
    void ran(Attempt a, Pool kind, long now) {
        if (a.startedAt != State.NEVER && a.job.arrival.costHint() > 0 && now > a.startedAt) {
            double drag = Math.log((double) (now - a.startedAt) / a.job.arrival.costHint());
            a.worker.drag.add(drag);
            kind.drag.add(drag);
        }
    }

    /** Whether it may be one that waits, which only a report of the queue would tell better. */
    private static boolean waits(Attempt a) {
        return a.startedAt == State.NEVER && !a.lost && !a.worker.queueTold;
    }

    /** How long the own job that waits there longest has waited, in nanoseconds; 0 if none waits. */
    static long waited(Endpoint endpoint, long now) {
        long longest = 0;
        for (Attempt a : endpoint.out) {
            longest = waits(a) ? Math.max(longest, now - a.sentAt) : longest;
        }
        return longest > START ? longest : 0;
    }

    /** How many times its hint a job is expected to run there: few jobs there count beside its kind's. */
    double drag(Endpoint endpoint, Pool kind) {
        double own = endpoint.drag.count;
        return Math.exp((own * endpoint.drag.value + BELIEVED * kind.drag.value) / (own + BELIEVED));
    }

    /**
     * Slots of own jobs that wait there, 0 if none has waited for longer than a start takes. Danger: where
     * reports tell no queue, slots may be free and a first job that fits none of them hold up all others.
     */
    static double waiting(Endpoint endpoint, long now) {
        double slots = 0;
        boolean blocked = false;
        for (Attempt a : endpoint.out) {
            boolean waits = waits(a);
            slots += waits ? a.job.arrival.slots() : 0;
            blocked |= waits && now - a.sentAt > START;
        }
        return blocked ? slots : 0;
    }

    /** Danger: a worker whose time is over may be ill still. One harmless job is its probe, then more. */
    static boolean trusts(Endpoint endpoint, ScheduledRequest request, long now) {
        return now >= endpoint.shunnedUntil
                && (endpoint.strikes == 0
                        || endpoint.out.isEmpty() && request.kind.idempotency() != Idempotency.NON_IDEMPOTENT);
    }
}
