package nettlewick.fleettest;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import nettlewick.stubs.EndpointModel;

/**
 * Checks the invariants on every request of a run. A violation names the rule, the request and the time, with the
 * request's history. Performs no I/O; safe for any thread; times in milliseconds of the test's clock.
 */
final class InvariantChecker {
    /** How long after its deadline an answer may arrive, because the test machine may be slow to deliver it. */
    static final double ANSWER_TOLERANCE_MILLIS = 1000;
    /** Longest time between a send and its arrival, on a busy machine and a delayed link. */
    static final double TRANSIT_TOLERANCE_MILLIS = 250;
    /** Process events within this time of a violation are reported with it. */
    private static final double EVENT_WINDOW_MILLIS = 5000;

    /** A request as a client sent it: one of the client's sends, with its request id. */
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

    /** Time and zone of the first accepted attempt of an idempotency key. */
    private record FirstAttempt(double at, String zone) {}

    private record ViolationSpan(int dispatcher, double from, double to) {}

    private record ProcessEvent(int dispatcher, double at, String what) {}

    private record Exemption(int dispatcher, double from, double to, boolean drainsOnly) {}

    private final Scenario scenario;
    private final int maxAttempts;
    private final Map<String, SentRequest> requests = new HashMap<>();
    private final Map<String, FirstAttempt> firstAttempts = new HashMap<>();
    private final Map<String, Integer> runsOfKey = new HashMap<>();
    private final Map<String, Double> drainSentAt = new HashMap<>();
    private final List<Exemption> exemptions = new ArrayList<>();
    /** When SIGKILL was sent to dispatchers whose exit has not been observed yet. */
    private final Map<Integer, Double> killedAt = new HashMap<>();

    private final List<String> violations = new ArrayList<>();
    /** The dispatcher and time span of the request of each violation, in the order of {@link #violations}. */
    private final List<ViolationSpan> violationSpans = new ArrayList<>();

    private final List<ProcessEvent> processEvents = new ArrayList<>();
    private final Map<String, Integer> counts = new TreeMap<>();

    private double measureFrom;
    /** All attempts, if the scenario has tenant pools. */
    private final List<Arrival> arrivals = new ArrayList<>();

    /** An attempt of a tenant's request at an endpoint. */
    record Arrival(double at, int dispatcher, String tenant, String endpoint, String requestId) {}

    InvariantChecker(Scenario scenario, int maxAttempts) {
        this.scenario = scenario;
        this.maxAttempts = maxAttempts;
    }

    /** Sets the time before which violations are reported but not counted in the figures. */
    synchronized void measureFrom(double at) {
        measureFrom = at;
    }

    /** A client sends a request; {@code key} is the same for all its sends. */
    synchronized void requestSent(
            String id, String key, Scenario.RequestClass requestClass, int dispatcher, double now, String tenant) {
        SentRequest request = new SentRequest(key, requestClass, dispatcher, now, tenant);
        request.history.add(timeText(now) + " sent to n" + dispatcher + " " + requestClass.name());
        requests.put(id, request);
    }

    /** An endpoint has received an attempt completely. */
    synchronized void attemptArrived(String id, EndpointModel endpoint, EndpointModel.Admission admission, double now) {
        increment("attempts", now);
        SentRequest request = requests.get(id);
        if (request == null) {
            addViolation("invented", id, now, List.of("no client sent a request with this id"));
            return;
        }
        request.history.add(timeText(now) + " at " + endpoint.name + " " + admission);
        if (scenario.tenantPools() != null) {
            arrivals.add(new Arrival(now, request.dispatcher, request.tenant, endpoint.name, id));
        }
        if (++request.attempts > maxAttempts) {
            addViolation("attempts", id, now, request.history);
        }
        Double toldAt = drainSentAt.get(request.dispatcher + " " + endpoint.name);
        if (toldAt != null
                && now
                        > toldAt
                                + scenario.fleet().drainGraceMillis()
                                + TRANSIT_TOLERANCE_MILLIS
                                + scenario.links().delayMillis()
                && !isExempt(request.dispatcher, toldAt, now, true)) {
            addViolation("drain", id, now, request.history);
        }
        if (admission == EndpointModel.Admission.FULL) {
            increment("sent_to_full", now);
        }
        // A rejected attempt did not run and does not restrict later ones.
        if (request.requestClass.isKeyed()
                && (admission == EndpointModel.Admission.RUNS || admission == EndpointModel.Admission.WAITS)) {
            FirstAttempt firstAttempt = firstAttempts.putIfAbsent(request.key, new FirstAttempt(now, endpoint.zone));
            if (firstAttempt != null
                    && (now - firstAttempt.at() > scenario.load().dedupWindowMillis() + TRANSIT_TOLERANCE_MILLIS
                            || !firstAttempt.zone().equals(endpoint.zone))) {
                addViolation("repeat", id, now, request.history);
            }
        }
    }

    /** An endpoint begins to run a request. */
    synchronized void executionStarted(String id, EndpointModel endpoint, double now) {
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

    /** The client received a status, or 0 with the reason if the connection broke or the client timed out. */
    synchronized void answered(String id, int status, String why, double now) {
        SentRequest request = requests.get(id);
        request.answered = true;
        request.history.add(timeText(now) + " answer " + status + " " + why);
        double latenessMillis = now - request.sentAt - request.requestClass.deadlineMillis();
        if ((status == 0 || latenessMillis > ANSWER_TOLERANCE_MILLIS)
                && !isExempt(request.dispatcher, request.sentAt, now, false)) {
            addViolation("one answer", id, now, request.history);
        }
        if (status == 0) {
            increment("broken_off", now);
        }
    }

    /** An endpoint collapsed under overload during slow start. */
    synchronized void endpointOverloaded(String endpoint, double now) {
        addViolation(
                "cold",
                endpoint,
                now,
                List.of("offered more than " + scenario.fleet().endpoint().overloadFactor() + " times its capacity"));
    }

    /** A dispatcher's process changed its state. */
    synchronized void processEvent(int dispatcher, double now, String what) {
        processEvents.add(new ProcessEvent(dispatcher, now, what));
    }

    /** Adds to each violation the process events of its dispatcher and the stalls of the machine around that time. */
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

    /** Discovery has sent a dispatcher the draining state of an endpoint. */
    synchronized void drainSent(int dispatcher, String endpoint, double now) {
        drainSentAt.putIfAbsent(dispatcher + " " + endpoint, now);
    }

    synchronized void endpointRestarted(String endpoint) {
        drainSentAt.keySet().removeIf(k -> k.endsWith(" " + endpoint));
    }

    /**
     * Exempts a dispatcher that is down or paused between two times, or, if {@code drainsOnly}, only from the rule on
     * draining because it is cut off from discovery.
     */
    synchronized void exempt(int dispatcher, double from, double to, boolean drainsOnly) {
        exemptions.add(new Exemption(dispatcher, from, to, drainsOnly));
    }

    /** A dispatcher was sent SIGKILL; it is exempt from now until its exit is observed, whenever that is. */
    synchronized void killed(int dispatcher, double now) {
        killedAt.putIfAbsent(dispatcher, now);
    }

    /** A dispatcher's process has ended; if it was killed it stays exempt for {@code notice} milliseconds. */
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

    /** Reports requests that are past their deadline and have no answer. */
    synchronized void checkUnanswered(double now) {
        requests.forEach((id, request) -> {
            if (!request.answered
                    && now - request.sentAt > request.requestClass.deadlineMillis() + ANSWER_TOLERANCE_MILLIS
                    && !isExempt(request.dispatcher, request.sentAt, now, false)) {
                addViolation("one answer", id, now, request.history);
            }
        });
    }

    synchronized List<Arrival> arrivals() {
        return List.copyOf(arrivals);
    }

    /** Records a violation of a rule that is checked elsewhere. */
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
