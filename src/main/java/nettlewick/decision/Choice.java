package nettlewick.decision;

import java.util.List;
import nettlewick.decision.State.*;

/** Which worker a job goes to, whether it may go at all once more, and whether it would be too late there. */
abstract class Choice extends Allowance {
    /** Workers on the hash ring that a key's jobs are kept to while one of them has room. */
    static final int HOMES = 2;
    /** Keyed jobs that may go elsewhere, for each that went home: more would choke their data's store. */
    static final double AWAY = 0.25;
    /** A job whose slot is worth so much more than the usual goes on where others give up. */
    static final double WORTHY = 1.2;
    /** Part of its aim that a job may be expected to wait. */
    static final double WAIT_PART = 0.5;
    /** Exception: slots of a kind that worthier jobs are bound to, kept from jobs that may go elsewhere. */
    static final double RESERVE = 1;

    final Mean[] pace;
    /** By kind, from -1 on: the most that a job bound to it is worth. */
    final double[] bound;

    final Mean meanDensity = new Mean();
    /** How long jobs run, of all classes together. */
    final Mean runs = new Mean();
    /** Whether the last choice saw room, or no fresh answer at all. */
    boolean roomy;

    boolean roomAtHome;
    double awayTokens;

    Choice(Settings settings, long seed) {
        super(settings, seed);
        pace = new Mean[settings.classes().size()];
        bound = new double[settings.kinds().size() + 1];
        for (int i = 0; i < pace.length; i++) {
            JobClass c = settings.classes().get(i);
            pace[i] = new Mean();
            bound[c.kind() + 1] = Math.max(bound[c.kind() + 1], c.worth());
        }
    }

    /** Exception to the allowance: a job that would wait past its aim at the best worker is refused. */
    boolean hopeless(Job job, Worker w) {
        double wait = wait(job, w);
        // Danger: worthy jobs that would be late too pile up at a slowed worker and make each other late.
        double left = patience(job) - run(job, w);
        return now - w.answeredAt <= DELTA && wait > Math.max(WAIT_PART * job.kind.aim(), left);
    }

    /**
     * How long the job would wait there, by what is ahead of it, and no less than an own job there waits by
     * now. Danger: what is ahead in a queue are jobs of all classes; its own class says nothing of them.
     * And a process that has just started knows nothing of a queue that reports do not tell.
     */
    double wait(Job job, Worker w) {
        return Math.max(ahead(job, w) * pools.get(w.kind + 1).waits.factor(), Outliers.waited(w, now));
    }

    double ahead(Job job, Worker w) {
        return Math.max(0, -spare(job, w)) * runs.value / Math.max(1, pools.get(w.kind + 1).slots);
    }

    /** Time after arrival within which an answer is worth its full worth, as far as can be told. */
    double patience(Job job) {
        return job.kind.aim() + job.kind.stretch() * work(job);
    }

    boolean worthy(Job job) {
        return job.density() > WORTHY * meanDensity.value;
    }

    /** How long it would run there, by its hint and by how that worker and its kind run against hints. */
    double run(Job job, Worker w) {
        return work(job) * (job.arrival.hint() > 0 ? outliers.drag(w, pools.get(w.kind + 1)) : 1);
    }

    double work(Job job) {
        return job.arrival.hint() > 0 ? job.arrival.hint() : pace[job.index].value;
    }

    /** Danger: a repeated effect. True only if one more attempt is legal now, at some worker at least. */
    boolean mayRepeat(Job job) {
        if (job.attempts.size() >= settings.limits().attempts()
                || now >= job.deadline
                || job.out() > (settings.limits().secondCopies() ? 1 : 0)) {
            return false;
        }
        Attempt ran = job.firstThatMayHaveRun();
        return ran == null
                || job.kind.repeat() == Repeat.RETRYABLE
                || job.kind.repeat() == Repeat.DEDUP && now - ran.sentAt <= job.kind.window();
    }

    boolean inScope(Job job, Worker w) {
        Attempt ran = job.kind.repeat() == Repeat.DEDUP ? job.firstThatMayHaveRun() : null;
        if (ran == null || job.kind.scope() == Scope.ALL) {
            return true;
        }
        WorkerEntry first = ran.worker.entry;
        return job.kind.scope() == Scope.CELL
                ? first.cell() == w.entry.cell()
                : first.zone() != null && first.zone().equals(w.entry.zone());
    }

    boolean usable(Job job, Worker w) {
        return w.ready
                && Outliers.trusts(w, job, now)
                && inScope(job, w)
                && !job.wasAt(w)
                && coldStart.allows(w, pools.get(w.kind + 1), meanCost.value, now);
    }

    /** The roomiest of the pool's fresh answers, own zone first; without any, a random one of the kind. */
    Worker choose(Job job) {
        Pool pool = candidates(job, pools.get(job.kind.kind() + 1));
        roomy = true;
        for (Worker w : pool.ready) {
            // Exception: one put back by hand would stay unused while the own zone has room.
            if (roll.back(w.id)
                    && w.out.isEmpty()
                    && job.cost <= meanCost.value
                    && job.attempts.isEmpty()
                    && job.kind.repeat() != Repeat.FRAGILE
                    && usable(job, w)) {
                return w;
            }
        }
        Worker home = job.arrival.key() == null ? null : home(job, pool);
        if (home != null && (roomy || awayTokens < 1)) {
            return home;
        }
        roomy = true;
        Worker best = null;
        double most = 0;
        boolean roomAtBest = false;
        for (Worker w : pool.members) {
            if (now - w.answeredAt <= DELTA && usable(job, w)) {
                double room = spare(job, w);
                // Crossing zones costs: another zone's room counts only when the own zone has none.
                double rank = room >= 0 ? room + (w.near ? 1000 : 500) : room + (w.near ? 0.5 : 0);
                // Danger: a full worker answers fast and looks less busy than one with a queue. It is last.
                rank -= wasFull(job, w) ? 2000 : 0;
                // Danger: a slowed worker with room takes jobs that will be late. Which ones, they tell;
                // being late costs its whole worth, crossing zones a part.
                rank -= room >= 0 && run(job, w) > patience(job) ? 600 : 0;
                if (best == null || rank > most) {
                    best = w;
                    most = rank;
                    roomAtBest = room >= 0 && !wasFull(job, w);
                }
            }
        }
        if (best != null) {
            roomy = roomAtBest;
            return home != null && !roomy ? home : best;
        }
        for (int tries = 0; tries < 2 * POOL_LEAST && !pool.ready.isEmpty(); tries++) {
            Worker w = pool.ready.get(random.nextInt(pool.ready.size()));
            if (usable(job, w) && (w.near || tries >= POOL_LEAST)) {
                return w;
            }
        }
        return lastResort(job, pool);
    }

    /**
     * Exception for keyed jobs: the pool of a key is the few workers that follow it on a hash ring, so that
     * all dispatchers keep its data warm at the same workers. The first of them with room takes the job.
     */
    Worker home(Job job, Pool pool) {
        Worker best = null;
        roomAtHome = false;
        for (Worker w : homes(job, pool)) {
            if (usable(job, w)) {
                if (now - w.answeredAt > DELTA ? w.outSlots < 1 : spare(job, w) >= 0) {
                    roomAtHome = true;
                    return w;
                }
                if (best == null || spare(job, w) > spare(job, best)) {
                    best = w;
                }
            }
        }
        roomy = false;
        return best;
    }

    static List<Worker> homes(Job job, Pool pool) {
        List<Worker> homes = pool.nearRing.follow(job.arrival.key(), HOMES);
        homes.addAll(pool.ring.follow(job.arrival.key(), HOMES));
        return homes;
    }

    /**
     * Slots, and memory, that would be left at a worker beside this job; below 0 it has to wait.
     * Danger: all herd onto one roomy worker. What others leave is from reports; own sends count exactly.
     */
    double spare(Job job, Worker w) {
        double room = left(w) - w.outSlots;
        double waiting = Outliers.waiting(w, now);
        room = wasFull(job, w) || waiting > 0 ? Math.min(-waiting, room) : room;
        room -= job.kind.kind() < 0 && w.kind >= 0 && bound[w.kind + 1] > job.kind.worth() ? RESERVE : 0;
        return (job.arrival.memory() > w.memory ? Math.min(room, 0) : room) - job.arrival.slots();
    }

    /** A worker that was full is taken to be full until a slot or so can have become free. */
    boolean wasFull(Job job, Worker w) {
        return now - w.fullAt < (long) Math.max(BEAT / 2, pace[job.index].value / 4);
    }

    /** Where trouble leaves no healthy worker, one that is shunned may still take a first attempt. */
    Worker lastResort(Job job, Pool pool) {
        if (!job.attempts.isEmpty() || pool.ready.isEmpty()) {
            return null;
        }
        int start = random.nextInt(pool.ready.size());
        for (int i = 0; i < pool.ready.size(); i++) {
            Worker w = pool.ready.get((start + i) % pool.ready.size());
            if (coldStart.allows(w, pools.get(w.kind + 1), meanCost.value, now)) {
                return w;
            }
        }
        return null;
    }
}
