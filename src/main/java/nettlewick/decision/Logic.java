package nettlewick.decision;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import nettlewick.decision.State.*;

/**
 * The life of a request: arrival, attempts, outcomes, final answer, and the beat that watches over all.
 * The mechanism is D2R2 from R. Stanojevic, "Fully Decentralized Emulation of Best-Effort and Processor
 * Sharing Queues" (sections 3 and 5), tenants for flows: docs/design.md tells what is kept and changed. Its
 * parts, each on the one before: {@link Pools}, {@link Exchange}, {@link Allowance}, {@link Choice}, this.
 */
final class Logic extends Choice {
    /** Probes for each arrival. */
    private static final double PROBES_PER_ARRIVAL = 3;
    /** Time given to the answers of a key's workers. */
    private static final long HOLD = BEAT / 8;

    private final Map<String, Job> jobs = new HashMap<>();
    private final List<Job> owed = new ArrayList<>();
    private final Map<String, Integer> classes = new HashMap<>();
    private final List<Job> held = new ArrayList<>();
    private final int[] neighbours;

    Logic(Settings settings, long seed) {
        super(settings, seed);
        neighbours = Neighbours.of(settings.rank(), settings.fleetSize(), settings.fleetSize());
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
        Integer index = classes.get(a.jobClass());
        if (index == null) {
            act(new Refuse(
                    a.id(), settings.limits().retryAfter() ? settings.limits().maxRetryAfter() : 0));
            return;
        }
        if (jobs.containsKey(a.id())) {
            return;
        }
        Job job =
                new Job(a, settings.classes().get(index), index, tenants.getOrDefault(a.tenant(), tenures.get(0)), now);
        meanCost.add(job.cost);
        meanDensity.add(job.density());
        most.add(a);
        arrivals++;
        probeTokens += PROBES_PER_ARRIVAL;
        jobs.put(a.id(), job);
        owed.add(job);
        if (!a.repeat()) {
            // Danger: refused jobs that come again would inflate the tenant's demand.
            job.tenure.offered += job.cost;
        }
        if (a.key() != null && a.remaining() > 4 * BEAT && askHomes(job)) {
            act(new SetTimer("hold", HOLD));
            held.add(job);
        } else {
            admit(job);
        }
    }

    /** Exception for keyed jobs: their workers are asked first where no fresh answer of theirs is at hand. */
    private boolean askHomes(Job job) {
        boolean waits = false;
        for (Worker w : homes(job, candidates(job, pools.get(job.kind.kind() + 1)))) {
            if (settings.limits().probes() && w.ready && !w.asked && now - w.answeredAt > DELTA / 2) {
                ask(w);
                waits = true;
            }
        }
        return waits;
    }

    private void admit(Job job) {
        credit();
        Worker w = choose(job);
        if (!roomy && (apart(job) || job.tenure.credit <= 0 || w != null && hopeless(job, w))) {
            refuse(job);
            return;
        }
        job.tenure.credit -= job.cost;
        accepted += job.cost;
        if (w != null) {
            send(job, w);
        } else {
            finish(job);
        }
    }

    /** Sends the job on, as its class allows, or ends it with the best answer that the rules leave. */
    private void again(Job job) {
        if (job.over || job.streaming) {
            return;
        }
        boolean late = job.kind.lateWorth() <= 0 && now > job.arrivedAt + patience(job);
        Worker w = late || !mayRepeat(job) ? null : choose(job);
        // Danger: attempts at full workers, and second copies above all, multiply under overload.
        w = !roomy && (apart(job) || job.out() > 0 || job.attempts.size() > 1 && !worthy(job)) ? null : w;
        if (w != null) {
            send(job, w);
        } else if (job.out() == 0) {
            finish(job);
        }
    }

    private void finish(Job job) {
        Attempt ran = job.firstThatMayHaveRun();
        boolean harmless = ran == null
                || job.kind.repeat() == Repeat.RETRYABLE
                || job.kind.repeat() == Repeat.DEDUP && job.kind.scope() == Scope.ALL;
        lost += job.attempts.isEmpty() ? 0 : job.cost;
        if (harmless) {
            refuse(job);
        } else {
            act(new Fail(job.arrival.id()));
            close(job);
        }
    }

    private void refuse(Job job) {
        act(new Refuse(job.arrival.id(), settings.limits().retryAfter() ? retryAfter(job) : 0));
        close(job);
    }

    private void send(Job job, Worker w) {
        Attempt a = new Attempt(job, w, job.attempts.size(), now);
        job.attempts.add(a);
        if (job.arrival.key() != null) {
            awayTokens = Math.min(awayTokens + (roomAtHome ? AWAY : -1), 2);
        }
        a.roomy = roomy || pace[job.index].value == 0;
        a.foretold = a.roomy ? 0 : ahead(job, w);
        if (w.out.isEmpty()) {
            w.signAt = now;
        }
        w.sent(a);
        // Danger: hints are rough, and many light jobs weigh on a cold worker more than their hints say.
        w.coldTokens -= Math.max(job.cost, meanCost.value / 2);
        act(new Dispatch(job.arrival.id(), w.id, 0));
    }

    @Override
    void end(Outcome e) {
        Worker w = workers.get(e.worker());
        if (w != null) {
            outliers.judge(w, e.result(), e.latency(), now);
            if (e.load() != null) {
                report(w, e.load());
            }
        }
        Job job = jobs.get(e.id());
        if (job == null || e.attempt() < 0 || e.attempt() >= job.attempts.size()) {
            return;
        }
        Attempt a = job.attempts.get(e.attempt());
        if (!a.over) {
            a.over = true;
            a.neverRan = e.result().neverRan;
            a.worker.ended(a);
            if (e.result() == Result.SERVED) {
                outliers.ran(a, pools.get(a.worker.kind + 1), now);
                if (a.startedAt != State.NEVER || a.roomy) {
                    runs.add(a.startedAt != State.NEVER ? now - a.startedAt : e.latency());
                }
                roll.served(e.worker());
            }
        }
        if (e.result() == Result.SERVED && !job.over) {
            served += job.cost;
            pools.get(a.worker.kind + 1).served += job.cost;
            if (a.roomy) {
                // Danger: latencies that hold waiting would make waiting look like long work.
                pace[job.index].add(e.latency());
            }
            job.over = true;
            recall(job, a.number);
        }
        if (e.settled() || job.over) {
            close(job);
        } else if (e.result() == Result.TIMEOUT && now >= job.deadline || e.result() == Result.MOOT) {
            if (job.out() == 0) {
                finish(job);
            }
        } else {
            again(job);
        }
    }

    private void close(Job job) {
        job.over = true;
        if (job.out() == 0) {
            jobs.remove(job.arrival.id());
        }
    }

    /** Calls off what is still out beside the attempt that answered. */
    private void recall(Job job, int kept) {
        for (Attempt a : job.attempts) {
            if (!a.over && a.number != kept && settings.limits().cancel()) {
                act(new Cancel(job.arrival.id(), a.number));
            }
        }
    }

    @Override
    void progress(Progress e) {
        Worker w = workers.get(e.worker());
        if (w != null) {
            outliers.alive(w, now);
            Job job = jobs.get(e.id());
            if (job != null && e.attempt() >= 0 && e.attempt() < job.attempts.size()) {
                Attempt a = job.attempts.get(e.attempt());
                if (e.share() <= 0 && a.startedAt == State.NEVER && a.foretold > 0) {
                    pools.get(a.worker.kind + 1).waits.add(a.foretold, now - a.sentAt);
                }
                Outliers.sign(a, e.share() <= 0, now);
            }
        }
    }

    @Override
    void abandon(String id) {
        Job job = jobs.get(id);
        if (job != null) {
            close(job);
        }
    }

    @Override
    void streamBegan(StreamBegan e) {
        Job job = jobs.get(e.id());
        if (job != null) {
            job.streaming = true;
            recall(job, e.attempt());
        }
    }

    /** Danger: a hung worker takes work and keeps reporting room. Silence against expectation unmasks it. */
    private void watch() {
        for (Worker w : workers.values()) {
            for (Attempt a : List.copyOf(w.out)) {
                if (Outliers.lost(a, now, settings.progress())) {
                    outliers.lose(a);
                    rescue(a);
                } else if (Outliers.overdue(a, now)) {
                    hedge(a);
                }
            }
            if (now >= w.shunnedUntil && Outliers.silent(w, now, pace, BEAT)) {
                outliers.shun(w, now);
                List.copyOf(w.out).forEach(this::rescue);
            }
        }
    }

    /** A second copy on suspicion alone, where one that finds a free slot now can still be in time. */
    private void hedge(Attempt a) {
        if (now + work(a.job) <= a.job.arrivedAt + patience(a.job) && outliers.affordsCopy()) {
            rescue(a);
            outliers.copied(a.rescued);
        }
    }

    /** A job stuck at a silent worker goes out again once, where its class allows. */
    private void rescue(Attempt a) {
        if (a.rescued || a.job.over || a.job.kind.repeat() == Repeat.FRAGILE) {
            return;
        }
        if (settings.limits().secondCopies()) {
            int before = a.job.attempts.size();
            again(a.job);
            a.rescued = a.job.attempts.size() > before;
        } else if (settings.limits().cancel() && a.job.kind.repeat() == Repeat.RETRYABLE) {
            act(new Cancel(a.job.arrival.id(), a.number));
        }
    }

    @Override
    void due(String timer) {
        if (timer.equals("hold")) {
            List<Job> ripe =
                    held.stream().filter(job -> now - job.arrivedAt >= HOLD).toList();
            held.removeAll(ripe);
            ripe.stream().filter(job -> !job.over).forEach(this::admit);
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
        for (Job job : List.copyOf(owed)) {
            if (!job.over && !job.streaming && job.out() == 0 && now + 2 * BEAT >= job.deadline) {
                finish(job);
            }
        }
        owed.removeIf(job -> job.over);
        beats++;
        loads.expire(now);
        workers.values().forEach(w -> w.tick(beats));
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
        for (byte[] note : hasPeers() && tally == null ? loads.news(now) : List.<byte[]>of()) {
            for (int rank : neighbours) {
                act(new TellPeer(rank, note));
            }
        }
    }
}
