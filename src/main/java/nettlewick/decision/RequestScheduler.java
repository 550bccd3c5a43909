package nettlewick.decision;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import nettlewick.decision.Action.Cancel;
import nettlewick.decision.Action.Dispatch;
import nettlewick.decision.Action.Fail;
import nettlewick.decision.Action.Reject;
import nettlewick.decision.Action.SendToPeer;
import nettlewick.decision.Action.SetTimer;
import nettlewick.decision.Action.Subscribe;
import nettlewick.decision.Event.Arrival;
import nettlewick.decision.Event.Outcome;
import nettlewick.decision.Event.Progress;
import nettlewick.decision.Event.StreamStarted;
import nettlewick.decision.SchedulerSettings.Idempotency;
import nettlewick.decision.SchedulerSettings.Scope;

/**
 * The life of a request: arrival, attempts, outcomes, final answer, and the beat that watches over all.
 * The mechanism is D2R2 from R. Stanojevic, "Fully Decentralized Emulation of Best-Effort and Processor
 * Sharing Queues" (sections 3 and 5), tenants for flows: docs/design.md tells what is kept and changed. Its
 * parts, each on the one before: {@link Pools}, {@link Exchange}, {@link Allowance}, {@link Choice}, this.
 */
final class RequestScheduler extends Choice {
    /** Probes for each arrival. */
    private static final double PROBES_PER_ARRIVAL = 3;
    /** Time given to the answers of a key's workers. */
    private static final long HOLD = BEAT / 8;

    private final Map<String, ScheduledRequest> jobs = new HashMap<>();
    private final List<ScheduledRequest> owed = new ArrayList<>();
    private final Map<String, Integer> classes = new HashMap<>();
    private final List<ScheduledRequest> held = new ArrayList<>();
    private final int[] neighbours;

    RequestScheduler(SchedulerSettings settings, long seed) {
        super(settings, seed);
        neighbours = ProbePoolNeighbors.neighborsOf(settings.rank(), settings.fleetSize(), settings.fleetSize());
        for (int i = 0; i < settings.classes().size(); i++) {
            classes.put(settings.classes().get(i).name(), i);
        }
    }

    @Override
    void start() {
        deltaAt = now + DELTA / 2 + random.nextLong(DELTA);
        creditAt = now;
        if (settings.listOnRequest()) {
            act(new Subscribe());
        }
        act(new SetTimer("beat", 1 + random.nextLong(BEAT)));
    }

    @Override
    void arrive(Arrival a) {
        Integer index = classes.get(a.requestClass());
        if (index == null) {
            act(new Reject(
                    a.id(), settings.limits().retryAfter() ? settings.limits().maxRetryAfter() : 0));
            return;
        }
        if (jobs.containsKey(a.id())) {
            return;
        }
        ScheduledRequest request = new ScheduledRequest(
                a, settings.classes().get(index), index, tenants.getOrDefault(a.tenant(), tenures.get(0)), now);
        meanCost.add(request.cost);
        meanDensity.add(request.priorityPerSlot());
        most.include(a);
        arrivals++;
        probeTokens += PROBES_PER_ARRIVAL;
        jobs.put(a.id(), request);
        owed.add(request);
        if (!a.repeat()) {
            // Danger: refused jobs that come again would inflate the tenant's demand.
            request.tenantCredit.offered += request.cost;
        }
        if (a.key() != null && a.remaining() > 4 * BEAT && askHomes(request)) {
            act(new SetTimer("hold", HOLD));
            held.add(request);
        } else {
            admit(request);
        }
    }

    /** Exception for keyed jobs: their workers are asked first where no fresh answer of theirs is at hand. */
    private boolean askHomes(ScheduledRequest request) {
        boolean waits = false;
        for (Endpoint endpoint : homes(request, candidates(request, pools.get(request.requestClass.kind() + 1)))) {
            if (settings.limits().probes()
                    && endpoint.isReady
                    && !endpoint.probePending
                    && now - endpoint.reportedAt > DELTA / 2) {
                ask(endpoint);
                waits = true;
            }
        }
        return waits;
    }

    private void admit(ScheduledRequest request) {
        credit();
        Endpoint endpoint = choose(request);
        if (!roomy
                && (apart(request)
                        || request.tenantCredit.credit <= 0
                        || endpoint != null && hopeless(request, endpoint))) {
            refuse(request);
            return;
        }
        request.tenantCredit.credit -= request.cost;
        accepted += request.cost;
        if (endpoint != null) {
            send(request, endpoint);
        } else {
            finish(request);
        }
    }

    /** Sends the job on, as its class allows, or ends it with the best answer that the rules leave. */
    private void again(ScheduledRequest request) {
        if (request.answered || request.streaming) {
            return;
        }
        boolean late = request.requestClass.latePriorityWeight() <= 0 && now > request.arrivedAt + patience(request);
        Endpoint endpoint = late || !mayRepeat(request) ? null : choose(request);
        // Danger: attempts at full workers, and second copies above all, multiply under overload.
        endpoint = !roomy
                        && (apart(request)
                                || request.inFlightAttempts() > 0
                                || request.attempts.size() > 1 && !worthy(request))
                ? null
                : endpoint;
        if (endpoint != null) {
            send(request, endpoint);
        } else if (request.inFlightAttempts() == 0) {
            finish(request);
        }
    }

    private void finish(ScheduledRequest request) {
        Attempt ran = request.firstPossiblyExecutedAttempt();
        boolean harmless = ran == null
                || request.requestClass.idempotency() == Idempotency.IDEMPOTENT
                || request.requestClass.idempotency() == Idempotency.KEYED
                        && request.requestClass.dedupScope() == Scope.ALL;
        lost += request.attempts.isEmpty() ? 0 : request.cost;
        if (harmless) {
            refuse(request);
        } else {
            act(new Fail(request.arrival.id()));
            close(request);
        }
    }

    private void refuse(ScheduledRequest request) {
        act(new Reject(request.arrival.id(), settings.limits().retryAfter() ? retryAfter(request) : 0));
        close(request);
    }

    private void send(ScheduledRequest request, Endpoint endpoint) {
        Attempt a = new Attempt(request, endpoint, request.attempts.size(), now);
        request.attempts.add(a);
        if (request.arrival.key() != null) {
            awayTokens = Math.min(awayTokens + (roomAtHome ? AWAY : -1), 2);
        }
        a.sawFreeCapacity = roomy || pace[request.classIndex].value == 0;
        a.predictedWaitNanos = a.sawFreeCapacity ? 0 : ahead(request, endpoint);
        if (endpoint.inFlight.isEmpty()) {
            endpoint.lastSignAt = now;
        }
        endpoint.recordSent(a);
        // Danger: hints are rough, and many light jobs weigh on a cold worker more than their hints say.
        endpoint.slowStartCredit -= Math.max(request.cost, meanCost.value / 2);
        act(new Dispatch(request.arrival.id(), endpoint.id, 0));
    }

    @Override
    void end(Outcome e) {
        Endpoint endpoint = workers.get(e.endpoint());
        if (endpoint != null) {
            outliers.recordResult(endpoint, e.result(), e.latency(), now);
            if (e.load() != null) {
                report(endpoint, e.load());
            }
        }
        ScheduledRequest request = jobs.get(e.id());
        if (request == null || e.attempt() < 0 || e.attempt() >= request.attempts.size()) {
            return;
        }
        Attempt a = request.attempts.get(e.attempt());
        if (!a.ended) {
            a.ended = true;
            a.neverRan = e.result().neverRan;
            a.endpoint.recordEnded(a);
            if (e.result() == AttemptResult.SERVED) {
                outliers.recordRunTime(a, pools.get(a.endpoint.kind + 1), now);
                if (a.startedAt != SchedulerClock.NEVER || a.sawFreeCapacity) {
                    runs.add(a.startedAt != SchedulerClock.NEVER ? now - a.startedAt : e.latency());
                }
                registry.recordServed(e.endpoint());
            }
        }
        if (e.result() == AttemptResult.SERVED && !request.answered) {
            served += request.cost;
            pools.get(a.endpoint.kind + 1).servedSlotSeconds += request.cost;
            if (a.sawFreeCapacity) {
                // Danger: latencies that hold waiting would make waiting look like long work.
                pace[request.classIndex].add(e.latency());
            }
            request.answered = true;
            recall(request, a.number);
        }
        if (e.settled() || request.answered) {
            close(request);
        } else if (e.result() == AttemptResult.TIMEOUT && now >= request.deadline
                || e.result() == AttemptResult.NOT_SENT) {
            if (request.inFlightAttempts() == 0) {
                finish(request);
            }
        } else {
            again(request);
        }
    }

    private void close(ScheduledRequest request) {
        request.answered = true;
        if (request.inFlightAttempts() == 0) {
            jobs.remove(request.arrival.id());
        }
    }

    /** Calls off what is still out beside the attempt that answered. */
    private void recall(ScheduledRequest request, int kept) {
        for (Attempt a : request.attempts) {
            if (!a.ended && a.number != kept && settings.limits().cancel()) {
                act(new Cancel(request.arrival.id(), a.number));
            }
        }
    }

    @Override
    void progress(Progress e) {
        Endpoint endpoint = workers.get(e.endpoint());
        if (endpoint != null) {
            outliers.recordSignOfLife(endpoint, now);
            ScheduledRequest request = jobs.get(e.id());
            if (request != null && e.attempt() >= 0 && e.attempt() < request.attempts.size()) {
                Attempt a = request.attempts.get(e.attempt());
                if (e.share() <= 0 && a.startedAt == SchedulerClock.NEVER && a.predictedWaitNanos > 0) {
                    pools.get(a.endpoint.kind + 1).waitCalibration.add(a.predictedWaitNanos, now - a.sentAt);
                }
                OutlierDetector.recordProgress(a, e.share() <= 0, now);
            }
        }
    }

    @Override
    void abandon(String id) {
        ScheduledRequest request = jobs.get(id);
        if (request != null) {
            close(request);
        }
    }

    @Override
    void streamBegan(StreamStarted e) {
        ScheduledRequest request = jobs.get(e.id());
        if (request != null) {
            request.streaming = true;
            recall(request, e.attempt());
        }
    }

    /** Danger: a hung worker takes work and keeps reporting room. Silence against expectation unmasks it. */
    private void watch() {
        for (Endpoint endpoint : workers.values()) {
            for (Attempt a : List.copyOf(endpoint.inFlight)) {
                if (OutlierDetector.isLost(a, now, settings.progress())) {
                    outliers.recordLost(a);
                    rescue(a);
                } else if (OutlierDetector.isStartOverdue(a, now)) {
                    hedge(a);
                }
            }
            if (now >= endpoint.ejectedUntil && OutlierDetector.isSilent(endpoint, now, pace, BEAT)) {
                outliers.eject(endpoint, now);
                List.copyOf(endpoint.inFlight).forEach(this::rescue);
            }
        }
    }

    /** A second copy on suspicion alone, where one that finds a free slot now can still be in time. */
    private void hedge(Attempt a) {
        if (now + work(a.request) <= a.request.arrivedAt + patience(a.request) && outliers.mayHedge()) {
            rescue(a);
            outliers.recordHedge(a.replaced);
        }
    }

    /** A job stuck at a silent worker goes out again once, where its class allows. */
    private void rescue(Attempt a) {
        if (a.replaced || a.request.answered || a.request.requestClass.idempotency() == Idempotency.NON_IDEMPOTENT) {
            return;
        }
        if (settings.limits().hedgedRequests()) {
            int before = a.request.attempts.size();
            again(a.request);
            a.replaced = a.request.attempts.size() > before;
        } else if (settings.limits().cancel() && a.request.requestClass.idempotency() == Idempotency.IDEMPOTENT) {
            act(new Cancel(a.request.arrival.id(), a.number));
        }
    }

    @Override
    void due(String timer) {
        if (timer.equals("hold")) {
            List<ScheduledRequest> ripe = held.stream()
                    .filter(request -> now - request.arrivedAt >= HOLD)
                    .toList();
            held.removeAll(ripe);
            ripe.stream().filter(request -> !request.answered).forEach(this::admit);
        } else {
            beat();
        }
    }

    private void beat() {
        act(new SetTimer("beat", BEAT));
        if (now >= subscribeAt) {
            subscribeAt = Long.MAX_VALUE;
            act(new Subscribe());
        }
        // Danger: a job that no outcome wakes before its client gives up.
        for (ScheduledRequest request : List.copyOf(owed)) {
            if (!request.answered
                    && !request.streaming
                    && request.inFlightAttempts() == 0
                    && now + 2 * BEAT >= request.deadline) {
                finish(request);
            }
        }
        owed.removeIf(request -> request.answered);
        beats++;
        loads.expire(now);
        workers.values().forEach(endpoint -> endpoint.recordTick(beats));
        watch();
        bind();
        if (now >= deltaAt) {
            deltaAt = Math.max(deltaAt + DELTA, now + DELTA / 2);
            measureCarry();
            share();
            fill();
        }
        probe();
        resend();
        if (tally != null) {
            tally.expire(now);
        }
        for (byte[] note : hasPeers() && tally == null ? loads.dueMessages(now) : List.<byte[]>of()) {
            for (int rank : neighbours) {
                act(new SendToPeer(rank, note));
            }
        }
    }
}
