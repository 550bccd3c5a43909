package nettlewick.fleettest;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import nettlewick.stubs.EndpointModel;

/**
 * The same arrivals on the same runners in virtual time, with other choices: what the real fleet's figures
 * are held against. Nothing fails here, messages cost nothing, and a job that finds its runner full is sent
 * on at once, as often as a dispatcher may. Pure.
 */
final class Baselines {
    /** How a runner is chosen. */
    enum Choice {
        /** Each alike. */
        RANDOM,
        /** The better of two drawn, by what its dispatcher itself has there. */
        TWO,
        /** The one with the least in hand, by the true state of all. */
        BEST
    }

    private record Due(double at, long number, Runnable what) {}

    private static final int ATTEMPTS = 6;

    private final Scenario scenario;
    private final Choice choice;
    private final List<EndpointModel> runners = new ArrayList<>();
    private final Map<String, int[]> own = new LinkedHashMap<>();
    private final PriorityQueue<Due> due = new PriorityQueue<>(
            (a, b) -> a.at() != b.at() ? Double.compare(a.at(), b.at()) : Long.compare(a.number(), b.number()));
    private final SplittableRandom random;
    private final LoadBalanceStats spread;
    private final Map<String, Integer> at = new LinkedHashMap<>();
    private long numbers;
    private double now;
    private int attempts;
    private int full;
    private int refused;

    private Baselines(Scenario scenario, Choice choice) {
        this.scenario = scenario;
        this.choice = choice;
        random = new SplittableRandom(scenario.world().seed() ^ choice.ordinal());
        for (int r = 0; r < scenario.world().runners(); r++) {
            runners.add(new EndpointModel(
                    "s" + r,
                    scenario.world().zone(r),
                    scenario.world().speed(r),
                    scenario.world().runner(),
                    Double.NEGATIVE_INFINITY));
        }
        spread = new LoadBalanceStats(runners, scenario.load().meanWork());
    }

    /** Plays the scenario's load; the figures by name, with {@code sent_to_full} as a part of attempts. */
    static Map<String, Double> play(Scenario scenario, Choice choice) {
        return new Baselines(scenario, choice).play();
    }

    private Map<String, Double> play() {
        for (RequestTrace.Arrival a : RequestTrace.of(scenario)) {
            plan(a.at(), () -> send(a, 0));
        }
        for (double t = 0; t < scenario.load().length(); t += LoadBalanceStats.EACH) {
            double sampled = t;
            plan(t, () -> spread.sample(sampled));
        }
        while (!due.isEmpty()) {
            Due next = due.poll();
            now = next.at();
            next.what().run();
        }
        Map<String, Double> figures = spread.figures();
        figures.put("sent_to_full", full / Math.max(1.0, attempts));
        figures.put("refused", (double) refused);
        return figures;
    }

    private void plan(double when, Runnable what) {
        due.add(new Due(when, numbers++, what));
    }

    private void send(RequestTrace.Arrival a, int tried) {
        int dispatcher = (int) (a.choice() * scenario.world().dispatchers());
        int r = pick(dispatcher);
        EndpointModel runner = runners.get(r);
        String id = a.number() + "." + tried;
        List<EndpointModel.StartedRequest> begun = new ArrayList<>();
        if (now >= 0) {
            attempts++;
            spread.arrived(runner, now);
        }
        EndpointModel.Admission taken = runner.offer(id, a.work(), now, begun);
        if (taken == EndpointModel.Admission.FULL) {
            full += now >= 0 ? 1 : 0;
            spread.refused();
            if (tried + 1 < ATTEMPTS) {
                send(a, tried + 1);
            } else {
                refused += now >= 0 ? 1 : 0;
            }
            return;
        }
        own(r)[dispatcher]++;
        at.put(id, dispatcher);
        begun.forEach(b -> begins(r, b));
    }

    private void begins(int r, EndpointModel.StartedRequest b) {
        plan(now + b.millis(), () -> {
            own(r)[at.remove(b.id())]--;
            List<EndpointModel.StartedRequest> more = new ArrayList<>();
            runners.get(r).finish(b.id(), now, more);
            more.forEach(m -> begins(r, m));
        });
    }

    private int[] own(int runner) {
        return own.computeIfAbsent("s" + runner, s -> new int[scenario.world().dispatchers()]);
    }

    private int pick(int dispatcher) {
        int first = random.nextInt(runners.size());
        if (choice == Choice.RANDOM) {
            return first;
        }
        if (choice == Choice.TWO) {
            int second = random.nextInt(runners.size());
            return own(second)[dispatcher] < own(first)[dispatcher] ? second : first;
        }
        int best = first;
        for (int i = 0; i < runners.size(); i++) {
            int r = (first + i) % runners.size();
            if (weight(r) < weight(best)) {
                best = r;
            }
        }
        return best;
    }

    private double weight(int r) {
        EndpointModel m = runners.get(r);
        return (m.runningCount() + m.queuedCount() + 1) / (m.slots * m.speed);
    }
}
