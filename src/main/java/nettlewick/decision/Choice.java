package nettlewick.decision;

import java.util.List;
import nettlewick.decision.SchedulerSettings.Idempotency;
import nettlewick.decision.SchedulerSettings.RequestClass;
import nettlewick.decision.SchedulerSettings.Scope;

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

    final RunningMean[] pace;
    /** By kind, from -1 on: the most that a job bound to it is worth. */
    final double[] bound;

    final RunningMean meanDensity = new RunningMean();
    /** How long jobs run, of all classes together. */
    final RunningMean runs = new RunningMean();
    /** Whether the last choice saw room, or no fresh answer at all. */
    boolean roomy;

    boolean roomAtHome;
    double awayTokens;

    Choice(SchedulerSettings settings, long seed) {
        super(settings, seed);
        pace = new RunningMean[settings.classes().size()];
        bound = new double[settings.kinds().size() + 1];
        for (int i = 0; i < pace.length; i++) {
            RequestClass c = settings.classes().get(i);
            pace[i] = new RunningMean();
            bound[c.kind() + 1] = Math.max(bound[c.kind() + 1], c.priorityWeight());
        }
    }

    /** Exception to the allowance: a job that would wait past its aim at the best worker is refused. */
    boolean hopeless(ScheduledRequest request, Endpoint endpoint) {
        double wait = wait(request, endpoint);
        // Danger: worthy jobs that would be late too pile up at a slowed worker and make each other late.
        double left = patience(request) - run(request, endpoint);
        return now - endpoint.reportedAt <= DELTA
                && wait > Math.max(WAIT_PART * request.requestClass.latencyObjective(), left);
    }

    /**
     * How long the job would wait there, by what is ahead of it, and no less than an own job there waits by
     * now. Danger: what is ahead in a queue are jobs of all classes; its own class says nothing of them.
     * And a process that has just started knows nothing of a queue that reports do not tell.
     */
    double wait(ScheduledRequest request, Endpoint endpoint) {
        return Math.max(
                ahead(request, endpoint)
                        * pools.get(endpoint.kind + 1).waitCalibration.factor(),
                OutlierDetector.longestWait(endpoint, now));
    }

    double ahead(ScheduledRequest request, Endpoint endpoint) {
        return Math.max(0, -spare(request, endpoint))
                * runs.value
                / Math.max(1, pools.get(endpoint.kind + 1).mostFreeSlots);
    }

    /** Time after arrival within which an answer is worth its full worth, as far as can be told. */
    double patience(ScheduledRequest request) {
        return request.requestClass.latencyObjective() + request.requestClass.objectiveStretch() * work(request);
    }

    boolean worthy(ScheduledRequest request) {
        return request.priorityPerSlot() > WORTHY * meanDensity.value;
    }

    /** How long it would run there, by its hint and by how that worker and its kind run against hints. */
    double run(ScheduledRequest request, Endpoint endpoint) {
        return work(request)
                * (request.arrival.costHint() > 0
                        ? outliers.expectedSlowdown(endpoint, pools.get(endpoint.kind + 1))
                        : 1);
    }

    double work(ScheduledRequest request) {
        return request.arrival.costHint() > 0 ? request.arrival.costHint() : pace[request.classIndex].value;
    }

    /** Danger: a repeated effect. True only if one more attempt is legal now, at some worker at least. */
    boolean mayRepeat(ScheduledRequest request) {
        if (request.attempts.size() >= settings.limits().maxAttempts()
                || now >= request.deadline
                || request.inFlightAttempts() > (settings.limits().hedgedRequests() ? 1 : 0)) {
            return false;
        }
        Attempt ran = request.firstPossiblyExecutedAttempt();
        return ran == null
                || request.requestClass.idempotency() == Idempotency.IDEMPOTENT
                || request.requestClass.idempotency() == Idempotency.KEYED
                        && now - ran.sentAt <= request.requestClass.dedupWindow();
    }

    boolean inScope(ScheduledRequest request, Endpoint endpoint) {
        Attempt ran =
                request.requestClass.idempotency() == Idempotency.KEYED ? request.firstPossiblyExecutedAttempt() : null;
        if (ran == null || request.requestClass.dedupScope() == Scope.ALL) {
            return true;
        }
        EndpointEntry first = ran.endpoint.entry;
        return request.requestClass.dedupScope() == Scope.CELL
                ? first.cell() == endpoint.entry.cell()
                : first.zone() != null && first.zone().equals(endpoint.entry.zone());
    }

    boolean usable(ScheduledRequest request, Endpoint endpoint) {
        return endpoint.isReady
                && OutlierDetector.mayReceive(endpoint, request, now)
                && inScope(request, endpoint)
                && !request.wasSentTo(endpoint)
                && coldStart.admits(endpoint, pools.get(endpoint.kind + 1), meanCost.value, now);
    }

    /** The roomiest of the pool's fresh answers, own zone first; without any, a random one of the kind. */
    Endpoint choose(ScheduledRequest request) {
        EndpointPool pool = candidates(request, pools.get(request.requestClass.kind() + 1));
        roomy = true;
        for (Endpoint endpoint : pool.ready) {
            // Exception: one put back by hand would stay unused while the own zone has room.
            if (registry.isReenabled(endpoint.id)
                    && endpoint.inFlight.isEmpty()
                    && request.cost <= meanCost.value
                    && request.attempts.isEmpty()
                    && request.requestClass.idempotency() != Idempotency.NON_IDEMPOTENT
                    && usable(request, endpoint)) {
                return endpoint;
            }
        }
        Endpoint home = request.arrival.key() == null ? null : home(request, pool);
        if (home != null && (roomy || awayTokens < 1)) {
            return home;
        }
        roomy = true;
        Endpoint best = null;
        double most = 0;
        boolean roomAtBest = false;
        for (Endpoint endpoint : pool.probed) {
            if (now - endpoint.reportedAt <= DELTA && usable(request, endpoint)) {
                double room = spare(request, endpoint);
                // Crossing zones costs: another zone's room counts only when the own zone has none.
                double rank = room >= 0 ? room + (endpoint.isLocal ? 1000 : 500) : room + (endpoint.isLocal ? 0.5 : 0);
                // Danger: a full worker answers fast and looks less busy than one with a queue. It is last.
                rank -= wasFull(request, endpoint) ? 2000 : 0;
                // Danger: a slowed worker with room takes jobs that will be late. Which ones, they tell;
                // being late costs its whole worth, crossing zones a part.
                rank -= room >= 0 && run(request, endpoint) > patience(request) ? 600 : 0;
                if (best == null || rank > most) {
                    best = endpoint;
                    most = rank;
                    roomAtBest = room >= 0 && !wasFull(request, endpoint);
                }
            }
        }
        if (best != null) {
            roomy = roomAtBest;
            return home != null && !roomy ? home : best;
        }
        for (int tries = 0; tries < 2 * POOL_LEAST && !pool.ready.isEmpty(); tries++) {
            Endpoint endpoint = pool.ready.get(random.nextInt(pool.ready.size()));
            if (usable(request, endpoint) && (endpoint.isLocal || tries >= POOL_LEAST)) {
                return endpoint;
            }
        }
        return lastResort(request, pool);
    }

    /**
     * Exception for keyed jobs: the pool of a key is the few workers that follow it on a hash ring, so that
     * all dispatchers keep its data warm at the same workers. The first of them with room takes the job.
     */
    Endpoint home(ScheduledRequest request, EndpointPool pool) {
        Endpoint best = null;
        roomAtHome = false;
        for (Endpoint endpoint : homes(request, pool)) {
            if (usable(request, endpoint)) {
                if (now - endpoint.reportedAt > DELTA ? endpoint.inFlightSlots < 1 : spare(request, endpoint) >= 0) {
                    roomAtHome = true;
                    return endpoint;
                }
                if (best == null || spare(request, endpoint) > spare(request, best)) {
                    best = endpoint;
                }
            }
        }
        roomy = false;
        return best;
    }

    static List<Endpoint> homes(ScheduledRequest request, EndpointPool pool) {
        List<Endpoint> homes = pool.localRing.successors(request.arrival.key(), HOMES);
        homes.addAll(pool.ring.successors(request.arrival.key(), HOMES));
        return homes;
    }

    /**
     * Slots, and memory, that would be left at a worker beside this job; below 0 it has to wait.
     * Danger: all herd onto one roomy worker. What others leave is from reports; own sends count exactly.
     */
    double spare(ScheduledRequest request, Endpoint endpoint) {
        double room = left(endpoint) - endpoint.inFlightSlots;
        double waiting = OutlierDetector.blockedSlots(endpoint, now);
        room = wasFull(request, endpoint) || waiting > 0 ? Math.min(-waiting, room) : room;
        room -= request.requestClass.kind() < 0
                        && endpoint.kind >= 0
                        && bound[endpoint.kind + 1] > request.requestClass.priorityWeight()
                ? RESERVE
                : 0;
        return (request.arrival.memory() > endpoint.freeMemory ? Math.min(room, 0) : room) - request.arrival.slots();
    }

    /** A worker that was full is taken to be full until a slot or so can have become free. */
    boolean wasFull(ScheduledRequest request, Endpoint endpoint) {
        return now - endpoint.overloadedAt < (long) Math.max(BEAT / 2, pace[request.classIndex].value / 4);
    }

    /** Where trouble leaves no healthy worker, one that is shunned may still take a first attempt. */
    Endpoint lastResort(ScheduledRequest request, EndpointPool pool) {
        if (!request.attempts.isEmpty() || pool.ready.isEmpty()) {
            return null;
        }
        int start = random.nextInt(pool.ready.size());
        for (int i = 0; i < pool.ready.size(); i++) {
            Endpoint endpoint = pool.ready.get((start + i) % pool.ready.size());
            if (coldStart.admits(endpoint, pools.get(endpoint.kind + 1), meanCost.value, now)) {
                return endpoint;
            }
        }
        return null;
    }
}
