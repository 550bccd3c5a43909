package nettlewick.fleettest;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import nettlewick.stubs.EndpointModel;

/**
 * Plays the same requests against the same endpoints in virtual time with other selection policies, as a reference
 * for the figures of a real fleet. There are no faults, messages cost nothing, and a request that finds its endpoint
 * full is sent to another one at once, up to the cap on attempts. Performs no I/O.
 */
final class Baselines {
    /** How an endpoint is selected. */
    enum Policy {
        /** Uniformly at random. */
        RANDOM,
        /** The one of two random endpoints with fewer requests in flight from the same dispatcher. */
        TWO,
        /** The least loaded endpoint by the true state of all. */
        BEST
    }

    private record ScheduledAction(double at, long number, Runnable action) {}

    private static final int ATTEMPTS = 6;

    private final Scenario scenario;
    private final Policy policy;
    private final List<EndpointModel> endpoints = new ArrayList<>();
    private final Map<String, int[]> inFlight = new LinkedHashMap<>();
    private final PriorityQueue<ScheduledAction> scheduled = new PriorityQueue<>(
            (a, b) -> a.at() != b.at() ? Double.compare(a.at(), b.at()) : Long.compare(a.number(), b.number()));
    private final SplittableRandom random;
    private final LoadBalanceStats loadStats;
    private final Map<String, Integer> dispatcherOf = new LinkedHashMap<>();
    private long scheduledCount;
    private double now;
    private int attempts;
    private int rejectedAttempts;
    private int rejectedRequests;

    private Baselines(Scenario scenario, Policy policy) {
        this.scenario = scenario;
        this.policy = policy;
        random = new SplittableRandom(scenario.fleet().seed() ^ policy.ordinal());
        for (int r = 0; r < scenario.fleet().endpoints(); r++) {
            endpoints.add(new EndpointModel(
                    "s" + r,
                    scenario.fleet().zone(r),
                    scenario.fleet().speed(r),
                    scenario.fleet().endpoint(),
                    Double.NEGATIVE_INFINITY));
        }
        loadStats = new LoadBalanceStats(endpoints, scenario.load().meanWorkMillis());
    }

    /** Plays the scenario's load; returns the figures by name, with {@code sent_to_full} as a fraction of attempts. */
    static Map<String, Double> play(Scenario scenario, Policy policy) {
        return new Baselines(scenario, policy).play();
    }

    private Map<String, Double> play() {
        for (RequestTrace.PlannedRequest a : RequestTrace.draw(scenario)) {
            schedule(a.at(), () -> send(a, 0));
        }
        for (double t = 0; t < scenario.load().lengthMillis(); t += LoadBalanceStats.SAMPLE_INTERVAL_MILLIS) {
            double sampled = t;
            schedule(t, () -> loadStats.sample(sampled));
        }
        while (!scheduled.isEmpty()) {
            ScheduledAction next = scheduled.poll();
            now = next.at();
            next.action().run();
        }
        Map<String, Double> figures = loadStats.figures();
        figures.put("sent_to_full", rejectedAttempts / Math.max(1.0, attempts));
        figures.put("refused", (double) rejectedRequests);
        return figures;
    }

    private void schedule(double when, Runnable what) {
        scheduled.add(new ScheduledAction(when, scheduledCount++, what));
    }

    private void send(RequestTrace.PlannedRequest request, int previousAttempts) {
        int dispatcher = (int) (request.choice() * scenario.fleet().dispatchers());
        int endpoint = pick(dispatcher);
        EndpointModel model = endpoints.get(endpoint);
        String id = request.number() + "." + previousAttempts;
        List<EndpointModel.StartedRequest> begun = new ArrayList<>();
        if (now >= 0) {
            attempts++;
            loadStats.arrived(model, now);
        }
        EndpointModel.Admission admission = model.offer(id, request.workMillis(), now, begun);
        if (admission == EndpointModel.Admission.FULL) {
            rejectedAttempts += now >= 0 ? 1 : 0;
            loadStats.rejected();
            if (previousAttempts + 1 < ATTEMPTS) {
                send(request, previousAttempts + 1);
            } else {
                rejectedRequests += now >= 0 ? 1 : 0;
            }
            return;
        }
        inFlight(endpoint)[dispatcher]++;
        dispatcherOf.put(id, dispatcher);
        begun.forEach(b -> scheduleEnd(endpoint, b));
    }

    private void scheduleEnd(int endpoint, EndpointModel.StartedRequest begun) {
        schedule(now + begun.millis(), () -> {
            inFlight(endpoint)[dispatcherOf.remove(begun.id())]--;
            List<EndpointModel.StartedRequest> more = new ArrayList<>();
            endpoints.get(endpoint).finish(begun.id(), now, more);
            more.forEach(m -> scheduleEnd(endpoint, m));
        });
    }

    private int[] inFlight(int endpoint) {
        return inFlight.computeIfAbsent(
                "s" + endpoint, s -> new int[scenario.fleet().dispatchers()]);
    }

    private int pick(int dispatcher) {
        int first = random.nextInt(endpoints.size());
        if (policy == Policy.RANDOM) {
            return first;
        }
        if (policy == Policy.TWO) {
            int second = random.nextInt(endpoints.size());
            return inFlight(second)[dispatcher] < inFlight(first)[dispatcher] ? second : first;
        }
        int best = first;
        for (int i = 0; i < endpoints.size(); i++) {
            int r = (first + i) % endpoints.size();
            if (relativeLoad(r) < relativeLoad(best)) {
                best = r;
            }
        }
        return best;
    }

    private double relativeLoad(int endpoint) {
        EndpointModel m = endpoints.get(endpoint);
        return (m.runningCount() + m.queuedCount() + 1) / (m.slots * m.speed);
    }
}
