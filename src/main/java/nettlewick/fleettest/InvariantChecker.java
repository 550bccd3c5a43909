package nettlewick.fleettest;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import nettlewick.stubs.EndpointModel;

/**
 * The rules, checked on every job as it runs. A break names the rule, the job and the time, with all that
 * happened to the job. Pure; called from several threads; times in milliseconds of the lab's clock.
 */
final class InvariantChecker {
    /** Past the deadline, for an answer that this machine is slow to bring. */
    static final double SPARE = 1000;
    /** Between a send and its arrival, on a busy machine and a delayed link. */
    static final double WAY = 250;
    /** How far from a broken request a process's start or end is still told beside it. */
    private static final double EVENT_WINDOW = 5000;

    /** A job as a client asks for it: one of its tries, with the id that goes with it. */
    private static final class Job {
        final String key;
        final Scenario.JobClass jobClass;
        final int dispatcher;
        final double askedAt;
        final String member;
        final List<String> history = new ArrayList<>(6);
        int sends;
        int runs;
        boolean answered;

        Job(String key, Scenario.JobClass jobClass, int dispatcher, double askedAt, String member) {
            this.member = member;
            this.key = key;
            this.jobClass = jobClass;
            this.dispatcher = dispatcher;
            this.askedAt = askedAt;
        }
    }

    /** All runs of one key: where and when the first send arrived. */
    private record First(double at, String zone) {}

    private record BreakSpan(int dispatcher, double from, double to) {}

    private record ProcessEvent(int dispatcher, double at, String what) {}

    private record Excuse(int dispatcher, double from, double to, boolean drainsOnly) {}

    private final Scenario scenario;
    private final int attemptsMost;
    private final Map<String, Job> jobs = new HashMap<>();
    private final Map<String, First> firsts = new HashMap<>();
    private final Map<String, Integer> runsOfKey = new HashMap<>();
    private final Map<String, Double> drainTold = new HashMap<>();
    private final List<Excuse> excuses = new ArrayList<>();
    /** Dispatchers that were sent SIGKILL and have not been seen to end, and when. */
    private final Map<Integer, Double> killedAt = new HashMap<>();

    private final List<String> breaks = new ArrayList<>();
    /** Whose request each break is, and from when to when it was under way; in the order of the breaks. */
    private final List<BreakSpan> spans = new ArrayList<>();

    private final List<ProcessEvent> processEvents = new ArrayList<>();
    private final Map<String, Integer> counts = new TreeMap<>();

    private double countFrom;
    /** Where members' jobs went, where there are pools. */
    private final List<Arrival> arrivals = new ArrayList<>();

    /** An attempt of a member's at a runner. */
    record Arrival(double at, int dispatcher, String member, String runner, String id) {}

    InvariantChecker(Scenario scenario, int attemptsMost) {
        this.scenario = scenario;
        this.attemptsMost = attemptsMost;
    }

    /** What happens earlier breaks rules as well, but is no figure. */
    synchronized void countFrom(double at) {
        countFrom = at;
    }

    /** A client sends a request; {@code key} is the same for all tries of one job. */
    synchronized void asked(
            String id, String key, Scenario.JobClass jobClass, int dispatcher, double now, String member) {
        Job job = new Job(key, jobClass, dispatcher, now, member);
        job.history.add(at(now) + " asked n" + dispatcher + " " + jobClass.name());
        jobs.put(id, job);
    }

    /** An attempt has come whole to a runner. */
    synchronized void arrived(String id, EndpointModel runner, EndpointModel.Admission taken, double now) {
        add("attempts", now);
        Job job = jobs.get(id);
        if (job == null) {
            broken("invented", id, now, List.of("no client sent this id"));
            return;
        }
        job.history.add(at(now) + " at " + runner.name + " " + taken);
        if (scenario.duty() != null) {
            arrivals.add(new Arrival(now, job.dispatcher, job.member, runner.name, id));
        }
        if (++job.sends > attemptsMost) {
            broken("attempts", id, now, job.history);
        }
        Double told = drainTold.get(job.dispatcher + " " + runner.name);
        if (told != null
                && now
                        > told
                                + scenario.world().grace()
                                + WAY
                                + scenario.links().delay()
                && !excused(job.dispatcher, told, now, true)) {
            broken("drain", id, now, job.history);
        }
        if (taken == EndpointModel.Admission.FULL) {
            add("sent_to_full", now);
        }
        // What was turned away never ran: it binds no later send.
        if (job.jobClass.keyed() && (taken == EndpointModel.Admission.RUNS || taken == EndpointModel.Admission.WAITS)) {
            First first = firsts.putIfAbsent(job.key, new First(now, runner.zone));
            if (first != null
                    && (now - first.at() > scenario.load().window() + WAY
                            || !first.zone().equals(runner.zone))) {
                broken("repeat", id, now, job.history);
            }
        }
    }

    /** A job begins to run. */
    synchronized void ran(String id, EndpointModel runner, double now) {
        Job job = jobs.get(id);
        if (job == null) {
            return;
        }
        job.history.add(at(now) + " runs at " + runner.name);
        job.runs++;
        int runs = runsOfKey.merge(job.key, 1, Integer::sum);
        if (job.jobClass.unsafe() && runs > 1) {
            broken("twice", id, now, job.history);
        }
        if (runs > 1) {
            add("run_again", now);
        }
    }

    /** What the client got: a status, or 0 where its connection broke or its patience ended, and why. */
    synchronized void answered(String id, int status, String why, double now) {
        Job job = jobs.get(id);
        job.answered = true;
        job.history.add(at(now) + " answer " + status + " " + why);
        double late = now - job.askedAt - job.jobClass.deadline();
        if ((status == 0 || late > SPARE) && !excused(job.dispatcher, job.askedAt, now, false)) {
            broken("one answer", id, now, job.history);
        }
        if (status == 0) {
            add("broken_off", now);
        }
    }

    /** A runner fell over while cold. */
    synchronized void fell(String runner, double now) {
        broken(
                "cold",
                runner,
                now,
                List.of("offered more than " + scenario.world().runner().overloadFactor() + " times what it could"));
    }

    /** Something happened to a dispatcher's process. */
    synchronized void processEvent(int dispatcher, double now, String what) {
        processEvents.add(new ProcessEvent(dispatcher, now, what));
    }

    /** Adds to each break what happened to its dispatcher's process, and what the machine held up, at that time. */
    synchronized void explainBreaks(HoldUps holdUps) {
        for (int i = 0; i < breaks.size(); i++) {
            BreakSpan span = spans.get(i);
            if (span.dispatcher() >= 0) {
                List<String> beside = new ArrayList<>(eventsNear(span));
                beside.addAll(holdUps.between(span.from(), span.to(), span.dispatcher()));
                breaks.set(i, breaks.get(i) + beside);
            }
        }
    }

    private List<String> eventsNear(BreakSpan span) {
        return processEvents.stream()
                .filter(e -> e.dispatcher() == span.dispatcher()
                        && e.at() >= span.from() - EVENT_WINDOW
                        && e.at() <= span.to() + EVENT_WINDOW)
                .map(e -> at(e.at()) + " n" + e.dispatcher() + " " + e.what())
                .toList();
    }

    /** Discovery has written to a dispatcher that a runner drains. */
    synchronized void toldDrain(int dispatcher, String runner, double now) {
        drainTold.putIfAbsent(dispatcher + " " + runner, now);
    }

    synchronized void startedAnew(String runner) {
        drainTold.keySet().removeIf(k -> k.endsWith(" " + runner));
    }

    /**
     * From then to then this dispatcher could not do as the rules want: dead or paused, or, where
     * {@code drainsOnly}, cut off from discovery.
     */
    synchronized void excuse(int dispatcher, double from, double to, boolean drainsOnly) {
        excuses.add(new Excuse(dispatcher, from, to, drainsOnly));
    }

    /** A dispatcher was sent SIGKILL: it is excused from now until its death is observed, whenever that is. */
    synchronized void killed(int dispatcher, double now) {
        killedAt.putIfAbsent(dispatcher, now);
    }

    /** A dispatcher's process has ended; one that was killed stays excused for {@code notice} milliseconds. */
    synchronized void ended(int dispatcher, double now, double notice) {
        Double from = killedAt.remove(dispatcher);
        if (from != null) {
            excuse(dispatcher, from, now + notice, false);
        }
    }

    private boolean isBeingKilled(int dispatcher, double to) {
        Double from = killedAt.get(dispatcher);
        return from != null && from <= to + WAY;
    }

    private boolean excused(int dispatcher, double from, double to, boolean drain) {
        return isBeingKilled(dispatcher, to)
                || excuses.stream()
                        .anyMatch(e -> e.dispatcher() == dispatcher
                                && (drain || !e.drainsOnly())
                                && e.from() <= to + WAY
                                && e.to() >= from - WAY);
    }

    /** After the end: what was asked long enough ago and has no answer. */
    synchronized void close(double now) {
        jobs.forEach((id, job) -> {
            if (!job.answered
                    && now - job.askedAt > job.jobClass.deadline() + SPARE
                    && !excused(job.dispatcher, job.askedAt, now, false)) {
                broken("one answer", id, now, job.history);
            }
        });
    }

    synchronized List<Arrival> arrivals() {
        return List.copyOf(arrivals);
    }

    /** A rule that others look after was broken. */
    synchronized void broken(String rule, String job, double now, String what) {
        broken(rule, job, now, List.of(what));
    }

    private void broken(String rule, String job, double now, List<String> history) {
        breaks.add(at(now) + " " + job + ": " + rule + " (" + String.join("; ", history) + ")");
        Job broken = jobs.get(job);
        spans.add(broken == null ? new BreakSpan(-1, now, now) : new BreakSpan(broken.dispatcher, broken.askedAt, now));
        add(rule, now);
        if (jobs.containsKey(job)) {
            add(rule + " " + jobs.get(job).member, now);
        }
    }

    private static String at(double now) {
        return (long) now + " ms";
    }

    private void add(String what, double now) {
        if (now >= countFrom) {
            counts.merge(what, 1, Integer::sum);
        }
    }

    synchronized int count(String what) {
        return counts.getOrDefault(what, 0);
    }

    synchronized List<String> breaks() {
        return List.copyOf(breaks);
    }
}
