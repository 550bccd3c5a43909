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
    static final double ANSWER_TOLERANCE_MILLIS = 1000;
    /** Between a send and its arrival, on a busy machine and a delayed link. */
    static final double TRANSIT_TOLERANCE_MILLIS = 250;
    /** How far from a broken request a process's start or end is still told beside it. */
    private static final double EVENT_WINDOW_MILLIS = 5000;

    /** A job as a client asks for it: one of its tries, with the id that goes with it. */
    private static final class SentRequest {
        final String key;
        final Scenario.RequestClass requestClass;
        final int dispatcher;
        final double sentAt;
        final String tenant;
        final List<String> history = new ArrayList<>(6);
        int attempts;
        int runs;
        boolean answered;

        SentRequest(String key, Scenario.RequestClass requestClass, int dispatcher, double sentAt, String tenant) {
            this.tenant = tenant;
            this.key = key;
            this.requestClass = requestClass;
            this.dispatcher = dispatcher;
            this.sentAt = sentAt;
        }
    }

    /** All runs of one key: where and when the first send arrived. */
    private record FirstAttempt(double at, String zone) {}

    private record ViolationSpan(int dispatcher, double from, double to) {}

    private record ProcessEvent(int dispatcher, double at, String what) {}

    private record Exemption(int dispatcher, double from, double to, boolean drainsOnly) {}

    private final Scenario scenario;
    private final int maxAttempts;
    private final Map<String, SentRequest> requests = new HashMap<>();
    private final Map<String, FirstAttempt> firstAttempts = new HashMap<>();
    private final Map<String, Integer> runsOfKey = new HashMap<>();
    private final Map<String, Double> drainToldAt = new HashMap<>();
    private final List<Exemption> exemptions = new ArrayList<>();
    /** Dispatchers that were sent SIGKILL and have not been seen to end, and when. */
    private final Map<Integer, Double> killedAt = new HashMap<>();

    private final List<String> violations = new ArrayList<>();
    /** Whose request each break is, and from when to when it was under way; in the order of the breaks. */
    private final List<ViolationSpan> violationSpans = new ArrayList<>();

    private final List<ProcessEvent> processEvents = new ArrayList<>();
    private final Map<String, Integer> counts = new TreeMap<>();

    private double measureFrom;
    /** Where members' jobs went, where there are pools. */
    private final List<Arrival> arrivals = new ArrayList<>();

    /** An attempt of a member's at a runner. */
    record Arrival(double at, int dispatcher, String tenant, String endpoint, String requestId) {}

    InvariantChecker(Scenario scenario, int maxAttempts) {
        this.scenario = scenario;
        this.maxAttempts = maxAttempts;
    }

    /** What happens earlier breaks rules as well, but is no figure. */
    synchronized void measureFrom(double at) {
        measureFrom = at;
    }

    /** A client sends a request; {@code key} is the same for all tries of one job. */
    synchronized void requestSent(
            String id, String key, Scenario.RequestClass requestClass, int dispatcher, double now, String tenant) {
        SentRequest request = new SentRequest(key, requestClass, dispatcher, now, tenant);
        request.history.add(timeText(now) + " asked n" + dispatcher + " " + requestClass.name());
        requests.put(id, request);
    }

    /** An attempt has come whole to a runner. */
    synchronized void arrived(String id, EndpointModel endpoint, EndpointModel.Admission taken, double now) {
        increment("attempts", now);
        SentRequest request = requests.get(id);
        if (request == null) {
            addViolation("invented", id, now, List.of("no client sent this id"));
            return;
        }
        request.history.add(timeText(now) + " at " + endpoint.name + " " + taken);
        if (scenario.tenantPools() != null) {
            arrivals.add(new Arrival(now, request.dispatcher, request.tenant, endpoint.name, id));
        }
        if (++request.attempts > maxAttempts) {
            addViolation("attempts", id, now, request.history);
        }
        Double toldAt = drainToldAt.get(request.dispatcher + " " + endpoint.name);
        if (toldAt != null
                && now
                        > toldAt
                                + scenario.fleet().drainGraceMillis()
                                + TRANSIT_TOLERANCE_MILLIS
                                + scenario.links().delayMillis()
                && !isExempt(request.dispatcher, toldAt, now, true)) {
            addViolation("drain", id, now, request.history);
        }
        if (taken == EndpointModel.Admission.FULL) {
            increment("sent_to_full", now);
        }
        // What was turned away never ran: it binds no later send.
        if (request.requestClass.isKeyed()
                && (taken == EndpointModel.Admission.RUNS || taken == EndpointModel.Admission.WAITS)) {
            FirstAttempt firstAttempt = firstAttempts.putIfAbsent(request.key, new FirstAttempt(now, endpoint.zone));
            if (firstAttempt != null
                    && (now - firstAttempt.at() > scenario.load().dedupWindowMillis() + TRANSIT_TOLERANCE_MILLIS
                            || !firstAttempt.zone().equals(endpoint.zone))) {
                addViolation("repeat", id, now, request.history);
            }
        }
    }

    /** A job begins to run. */
    synchronized void started(String id, EndpointModel endpoint, double now) {
        SentRequest request = requests.get(id);
        if (request == null) {
            return;
        }
        request.history.add(timeText(now) + " runs at " + endpoint.name);
        request.runs++;
        int runCount = runsOfKey.merge(request.key, 1, Integer::sum);
        if (request.requestClass.isNonIdempotent() && runCount > 1) {
            addViolation("twice", id, now, request.history);
        }
        if (runCount > 1) {
            increment("run_again", now);
        }
    }

    /** What the client got: a status, or 0 where its connection broke or its patience ended, and why. */
    synchronized void answered(String id, int status, String why, double now) {
        SentRequest request = requests.get(id);
        request.answered = true;
        request.history.add(timeText(now) + " answer " + status + " " + why);
        double latenessMillis = now - request.sentAt - request.requestClass.deadline();
        if ((status == 0 || latenessMillis > ANSWER_TOLERANCE_MILLIS)
                && !isExempt(request.dispatcher, request.sentAt, now, false)) {
            addViolation("one answer", id, now, request.history);
        }
        if (status == 0) {
            increment("broken_off", now);
        }
    }

    /** A runner fell over while cold. */
    synchronized void endpointCollapsed(String endpoint, double now) {
        addViolation(
                "cold",
                endpoint,
                now,
                List.of("offered more than " + scenario.fleet().endpoint().overloadFactor() + " times what it could"));
    }

    /** Something happened to a dispatcher's process. */
    synchronized void processEvent(int dispatcher, double now, String what) {
        processEvents.add(new ProcessEvent(dispatcher, now, what));
    }

    /** Adds to each break what happened to its dispatcher's process, and what the machine held up, at that time. */
    synchronized void explainViolations(StallMonitor stallMonitor) {
        for (int i = 0; i < violations.size(); i++) {
            ViolationSpan span = violationSpans.get(i);
            if (span.dispatcher() >= 0) {
                List<String> context = new ArrayList<>(eventsNear(span));
                context.addAll(stallMonitor.overlapping(span.from(), span.to(), span.dispatcher()));
                violations.set(i, violations.get(i) + context);
            }
        }
    }

    private List<String> eventsNear(ViolationSpan span) {
        return processEvents.stream()
                .filter(e -> e.dispatcher() == span.dispatcher()
                        && e.at() >= span.from() - EVENT_WINDOW_MILLIS
                        && e.at() <= span.to() + EVENT_WINDOW_MILLIS)
                .map(e -> timeText(e.at()) + " n" + e.dispatcher() + " " + e.what())
                .toList();
    }

    /** Discovery has written to a dispatcher that a runner drains. */
    synchronized void drainTold(int dispatcher, String endpoint, double now) {
        drainToldAt.putIfAbsent(dispatcher + " " + endpoint, now);
    }

    synchronized void endpointRestarted(String endpoint) {
        drainToldAt.keySet().removeIf(k -> k.endsWith(" " + endpoint));
    }

    /**
     * From then to then this dispatcher could not do as the rules want: dead or paused, or, where
     * {@code drainsOnly}, cut off from discovery.
     */
    synchronized void exempt(int dispatcher, double from, double to, boolean drainsOnly) {
        exemptions.add(new Exemption(dispatcher, from, to, drainsOnly));
    }

    /** A dispatcher was sent SIGKILL: it is excused from now until its death is observed, whenever that is. */
    synchronized void killed(int dispatcher, double now) {
        killedAt.putIfAbsent(dispatcher, now);
    }

    /** A dispatcher's process has ended; one that was killed stays excused for {@code notice} milliseconds. */
    synchronized void ended(int dispatcher, double now, double notice) {
        Double from = killedAt.remove(dispatcher);
        if (from != null) {
            exempt(dispatcher, from, now + notice, false);
        }
    }

    private boolean isBeingKilled(int dispatcher, double to) {
        Double from = killedAt.get(dispatcher);
        return from != null && from <= to + TRANSIT_TOLERANCE_MILLIS;
    }

    private boolean isExempt(int dispatcher, double from, double to, boolean isDrain) {
        return isBeingKilled(dispatcher, to)
                || exemptions.stream()
                        .anyMatch(e -> e.dispatcher() == dispatcher
                                && (isDrain || !e.drainsOnly())
                                && e.from() <= to + TRANSIT_TOLERANCE_MILLIS
                                && e.to() >= from - TRANSIT_TOLERANCE_MILLIS);
    }

    /** After the end: what was asked long enough ago and has no answer. */
    synchronized void checkUnanswered(double now) {
        requests.forEach((id, request) -> {
            if (!request.answered
                    && now - request.sentAt > request.requestClass.deadline() + ANSWER_TOLERANCE_MILLIS
                    && !isExempt(request.dispatcher, request.sentAt, now, false)) {
                addViolation("one answer", id, now, request.history);
            }
        });
    }

    synchronized List<Arrival> arrivals() {
        return List.copyOf(arrivals);
    }

    /** A rule that others look after was broken. */
    synchronized void addViolation(String rule, String subject, double now, String what) {
        addViolation(rule, subject, now, List.of(what));
    }

    private void addViolation(String rule, String subject, double now, List<String> history) {
        violations.add(timeText(now) + " " + subject + ": " + rule + " (" + String.join("; ", history) + ")");
        SentRequest request = requests.get(subject);
        violationSpans.add(
                request == null
                        ? new ViolationSpan(-1, now, now)
                        : new ViolationSpan(request.dispatcher, request.sentAt, now));
        increment(rule, now);
        if (requests.containsKey(subject)) {
            increment(rule + " " + requests.get(subject).tenant, now);
        }
    }

    private static String timeText(double now) {
        return (long) now + " ms";
    }

    private void increment(String name, double now) {
        if (now >= measureFrom) {
            counts.merge(name, 1, Integer::sum);
        }
    }

    synchronized int count(String name) {
        return counts.getOrDefault(name, 0);
    }

    synchronized List<String> violations() {
        return List.copyOf(violations);
    }
}
