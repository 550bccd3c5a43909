package nettlewick.fleettest;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import nettlewick.stubs.EndpointServer;

/** Schedules and executes the steps of a run, and resolves their targets. */
final class StepExecutor {
    /** An action to run at its scheduled time. */
    interface Action {
        void run() throws Exception;
    }

    private record ScheduledAction(double at, int order, Action action) {}

    private final ScenarioRun run;
    private final Scenario.FleetSettings fleetSettings;
    private final PriorityQueue<ScheduledAction> scheduled = new PriorityQueue<>(
            (a, b) -> a.at() != b.at() ? Double.compare(a.at(), b.at()) : Integer.compare(a.order(), b.order()));
    private final Random random;
    private int scheduledCount;
    private int holderLookups;
    /** The holder of each tenant's lease task at the latest lookup. */
    private final Map<String, Integer> leaseHolders = new ConcurrentHashMap<>();

    private final Queue<Action> posted = new ConcurrentLinkedQueue<>();

    StepExecutor(ScenarioRun run, Scenario.FleetSettings fleetSettings) {
        this.run = run;
        this.fleetSettings = fleetSettings;
        random = new Random(fleetSettings.seed());
    }

    void schedule(double at, Action action) {
        scheduled.add(new ScheduledAction(at, scheduledCount++, action));
    }

    /**
     * Schedules a step. Lease holders are looked up in the logs on another thread, because reading them here would
     * delay the load generator.
     */
    void schedule(double at, Scenario.Step step) {
        List<ScenarioTarget> holderTargets = Stream.of(step.target(), step.otherTarget())
                .filter(p -> p != null && p.holderTenant() != null)
                .toList();
        schedule(
                at,
                holderTargets.isEmpty()
                        ? () -> execute(step)
                        : () -> {
                            holderLookups++;
                            // A failed lookup ends the run with its cause; otherwise the run would wait forever.
                            CompletableFuture.runAsync(() -> findHolders(holderTargets))
                                    .whenComplete((v, failed) -> post(() -> {
                                        holderLookups--;
                                        if (failed != null) {
                                            throw new IOException(failed);
                                        }
                                        execute(step);
                                    }));
                        });
    }

    private void findHolders(List<ScenarioTarget> holderTargets) {
        try {
            for (ScenarioTarget target : holderTargets) {
                leaseHolders.put(target.holderTenant(), run.leaseHolder(target.holderTenant()));
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Runs an action in the next {@link #runDue}; callable from any thread. */
    void post(Action action) {
        posted.add(action);
    }

    boolean isDone() {
        return scheduled.isEmpty() && holderLookups == 0;
    }

    /** Runs all actions that are due, in order. */
    void runDue() throws Exception {
        for (Action task = posted.poll(); task != null; task = posted.poll()) {
            task.run();
        }
        while (!scheduled.isEmpty() && scheduled.peek().at() <= run.now()) {
            scheduled.poll().action().run();
        }
    }

    private List<Integer> dispatchers(ScenarioTarget target) throws IOException {
        if (target.holderTenant() != null) {
            int holder = leaseHolders.getOrDefault(target.holderTenant(), -1);
            return holder < 0 ? List.of() : List.of(holder);
        }
        return selectFraction(
                target,
                IntStream.range(0, fleetSettings.dispatchers())
                        .filter(d -> target.number('n') == d
                                || target.name().equals("dispatchers")
                                || target.name().equals("all")
                                || fleetSettings.zone(d).equals(target.name())));
    }

    private List<Integer> endpoints(ScenarioTarget target) {
        return selectFraction(
                target,
                IntStream.range(0, run.endpoints.models().size())
                        .filter(r -> target.number('s') == r
                                || target.name().equals("runners")
                                || target.name().equals("all")
                                || fleetSettings.zone(r).equals(target.name())));
    }

    private List<Integer> selectFraction(ScenarioTarget target, IntStream candidates) {
        List<Integer> all = new ArrayList<>(candidates.boxed().toList());
        if (target.fraction() < 1) {
            Collections.shuffle(all, random);
            return all.subList(0, (int) Math.round(target.fraction() * all.size()));
        }
        return all;
    }

    /** Returns a target's parties by their numbers in {@link LinkFaults}. */
    private BitSet parties(ScenarioTarget target) throws IOException {
        BitSet set = new BitSet();
        dispatchers(target).forEach(set::set);
        endpoints(target).forEach(r -> set.set(run.endpoints.party(r)));
        if (target.name().equals("discovery")) {
            set.set(run.discoveryParty());
        }
        if (target.name().equals("provider")) {
            set.set(run.providerParty());
        }
        return set;
    }

    private void execute(Scenario.Step step) throws Exception {
        double until = run.now() + step.durationMillis();
        switch (step.verb()) {
            case "kill" -> kill(step.target());
            case "end" -> {
                for (int dispatcher : dispatchers(step.target())) {
                    run.fleet.terminate(dispatcher);
                    schedule(run.now() + fleetSettings.deathNoticeMillis(), () -> run.fleet.markDown(dispatcher));
                }
            }
            case "start" -> start(step);
            case "pause" -> pause(step, until);
            case "drain" -> {
                for (int endpoint : endpoints(step.target())) {
                    run.discovery.announceHealth(run.endpoints.server(endpoint), "Terminating");
                    run.endpoints.server(endpoint).model.drain();
                }
            }
            case "add" -> {
                List<EndpointServer> addedEndpoints = new ArrayList<>();
                for (int i = 0; i < step.value(); i++) {
                    addedEndpoints.add(run.endpoints.add(run.now()));
                }
                addedEndpoints.forEach(endpoint -> run.discovery.announceHealth(endpoint, "Ready"));
            }
            case "hang" ->
                endpoints(step.target()).forEach(endpoint -> run.endpoints.server(endpoint).hungUntil = until);
            case "empty" ->
                endpoints(step.target()).forEach(endpoint -> run.endpoints.server(endpoint).reportsIdleUntil = until);
            case "slow" -> {
                for (int endpoint : endpoints(step.target())) {
                    run.endpoints.model(endpoint).setSlowdown(step.value());
                    schedule(until, () -> run.endpoints.model(endpoint).setSlowdown(1));
                }
            }
            case "cut", "mute" -> {
                BitSet from = parties(step.target());
                BitSet to = parties(step.otherTarget());
                run.linkFaults.cut(from, to, step.verb().equals("cut"), until);
                dispatchers(step.target())
                        .forEach(dispatcher -> run.checker.exempt(dispatcher, run.now(), until, true));
                dispatchers(step.otherTarget())
                        .forEach(dispatcher -> run.checker.exempt(dispatcher, run.now(), until, true));
            }
            case "refuse", "stall", "reset", "trickle" ->
                run.linkFaults.addServerFault(
                        parties(step.target()),
                        switch (step.verb()) {
                            case "refuse" -> LinkFaults.ConnectionState.REFUSED;
                            case "stall" -> LinkFaults.ConnectionState.STALLED;
                            case "reset" -> LinkFaults.ConnectionState.RESET;
                            default -> LinkFaults.ConnectionState.TRICKLING;
                        },
                        until);
            case "provider" -> run.tenantPools.setProviderBehavior(step.target().name(), until);
            case "silent" -> run.discovery.muteUntil(until);
            case "lists" ->
                IntStream.range(0, fleetSettings.dispatchers())
                        .forEach(dispatcher -> run.discovery.setDelay(dispatcher, random.nextDouble() * step.value()));
            case "loss" -> run.linkFaults.setLoss(step.value(), until);
            case "garble" -> sendMalformed(step.target(), until);
            default -> {}
        }
    }

    private void kill(ScenarioTarget target) throws IOException {
        for (int dispatcher : dispatchers(target)) {
            run.fleet.kill(dispatcher);
            schedule(run.now() + fleetSettings.deathNoticeMillis(), () -> run.fleet.markDown(dispatcher));
        }
        endpoints(target).forEach(r -> run.endpoints.server(r).kill());
    }

    private void start(Scenario.Step step) throws IOException {
        double spreadMillis = Double.isNaN(step.value()) ? 0 : step.value();
        for (int dispatcher : dispatchers(step.target())) {
            schedule(run.now() + random.nextDouble() * spreadMillis, () -> run.fleet.start(dispatcher));
        }
        for (int endpoint : endpoints(step.target())) {
            schedule(run.now() + random.nextDouble() * spreadMillis, () -> {
                run.checker.endpointRestarted(run.endpoints.model(endpoint).name);
                run.endpoints.server(endpoint).start();
                run.discovery.announceHealth(run.endpoints.server(endpoint), "Ready");
            });
        }
    }

    private void pause(Scenario.Step step, double until) throws Exception {
        for (int dispatcher : dispatchers(step.target())) {
            run.checker.exempt(dispatcher, run.now(), until + 2 * InvariantChecker.ANSWER_TOLERANCE_MILLIS, false);
            run.fleet.pause(dispatcher, true);
            schedule(until, () -> {
                run.fleet.pause(dispatcher, false);
                // On a busy machine the process resumes later than scheduled.
                run.checker.exempt(dispatcher, until, run.now() + 2 * InvariantChecker.ANSWER_TOLERANCE_MILLIS, false);
            });
        }
    }

    private void sendMalformed(ScenarioTarget target, double until) throws IOException {
        SplittableRandom bytes = new SplittableRandom(random.nextLong());
        for (int dispatcher : dispatchers(target)) {
            for (int i = 0; i < 20; i++) {
                run.datagramRelay.sendMalformed(dispatcher, bytes);
            }
        }
        if (run.now() + LoadBalanceStats.SAMPLE_INTERVAL_MILLIS < until) {
            schedule(run.now() + LoadBalanceStats.SAMPLE_INTERVAL_MILLIS, () -> sendMalformed(target, until));
        }
    }
}
