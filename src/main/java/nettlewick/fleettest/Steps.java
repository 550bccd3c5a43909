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

/** The steps of a run: what is due when, whom a party names, and what each verb does to the world. */
final class Steps {
    /** What is done when its time has come. */
    interface Task {
        void act() throws Exception;
    }

    private record Due(double at, int order, Task what) {}

    private final ScenarioRun play;
    private final Scenario.World world;
    private final PriorityQueue<Due> due = new PriorityQueue<>(
            (a, b) -> a.at() != b.at() ? Double.compare(a.at(), b.at()) : Integer.compare(a.order(), b.order()));
    private final Random random;
    private int orders;
    private int looking;
    /** Who held which member's duty when that was looked for last. */
    private final Map<String, Integer> holders = new ConcurrentHashMap<>();

    private final Queue<Task> posted = new ConcurrentLinkedQueue<>();

    Steps(ScenarioRun play, Scenario.World world) {
        this.play = play;
        this.world = world;
        random = new Random(world.seed());
    }

    void plan(double at, Task what) {
        due.add(new Due(at, orders++, what));
    }

    /** Danger: a look through the logs for a holder, done here, would keep the clients waiting. */
    void plan(double at, Scenario.Step step) {
        List<ScenarioTarget> held = Stream.of(step.first(), step.second())
                .filter(p -> p != null && p.holder() != null)
                .toList();
        plan(
                at,
                held.isEmpty()
                        ? () -> act(step)
                        : () -> {
                            looking++;
                            // Danger: a look that fails must end the run with its reason, not keep it waiting.
                            CompletableFuture.runAsync(() -> look(held))
                                    .whenComplete((v, failed) -> post(() -> {
                                        looking--;
                                        if (failed != null) {
                                            throw new IOException(failed);
                                        }
                                        act(step);
                                    }));
                        });
    }

    private void look(List<ScenarioTarget> held) {
        try {
            for (ScenarioTarget p : held) {
                holders.put(p.holder(), play.holder(p.holder()));
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Does this at the next turn; any thread. */
    void post(Task task) {
        posted.add(task);
    }

    boolean done() {
        return due.isEmpty() && looking == 0;
    }

    /** All that is due by now, in order. */
    void doDue() throws Exception {
        for (Task task = posted.poll(); task != null; task = posted.poll()) {
            task.act();
        }
        while (!due.isEmpty() && due.peek().at() <= play.now()) {
            due.poll().what().act();
        }
    }

    private List<Integer> dispatchers(ScenarioTarget p) throws IOException {
        if (p.holder() != null) {
            int holder = holders.getOrDefault(p.holder(), -1);
            return holder < 0 ? List.of() : List.of(holder);
        }
        return some(
                p,
                IntStream.range(0, world.dispatchers())
                        .filter(d -> p.single('n') == d
                                || p.name().equals("dispatchers")
                                || p.name().equals("all")
                                || world.zone(d).equals(p.name())));
    }

    private List<Integer> runners(ScenarioTarget p) {
        return some(
                p,
                IntStream.range(0, play.runners.size())
                        .filter(r -> p.single('s') == r
                                || p.name().equals("runners")
                                || p.name().equals("all")
                                || world.zone(r).equals(p.name())));
    }

    private List<Integer> some(ScenarioTarget p, IntStream which) {
        List<Integer> all = new ArrayList<>(which.boxed().toList());
        if (p.part() < 1) {
            Collections.shuffle(all, random);
            return all.subList(0, (int) Math.round(p.part() * all.size()));
        }
        return all;
    }

    /** All parties by their numbers at the links. */
    private BitSet all(ScenarioTarget p) throws IOException {
        BitSet set = new BitSet();
        dispatchers(p).forEach(set::set);
        runners(p).forEach(r -> set.set(play.number(r)));
        if (p.name().equals("discovery")) {
            set.set(play.discoveryNumber());
        }
        if (p.name().equals("provider")) {
            set.set(play.providerNumber());
        }
        return set;
    }

    private void act(Scenario.Step s) throws Exception {
        double until = play.now() + s.span();
        switch (s.verb()) {
            case "kill" -> kill(s.first());
            case "end" -> {
                for (int d : dispatchers(s.first())) {
                    play.fleet.end(d);
                    plan(play.now() + world.notice(), () -> play.fleet.noticed(d));
                }
            }
            case "start" -> start(s);
            case "pause" -> pause(s, until);
            case "drain" -> {
                for (int r : runners(s.first())) {
                    play.discovery.announceHealth(play.runners.get(r), "Terminating");
                    play.runners.get(r).model.drain();
                }
            }
            case "add" -> {
                List<EndpointServer> added = new ArrayList<>();
                for (int i = 0; i < s.figure(); i++) {
                    added.add(play.add(play.now()));
                }
                added.forEach(r -> play.discovery.announceHealth(r, "Ready"));
            }
            case "hang" -> runners(s.first()).forEach(r -> play.runners.get(r).hungUntil = until);
            case "empty" -> runners(s.first()).forEach(r -> play.runners.get(r).reportsIdleUntil = until);
            case "slow" -> {
                for (int r : runners(s.first())) {
                    play.models.get(r).setSlowdown(s.figure());
                    plan(until, () -> play.models.get(r).setSlowdown(1));
                }
            }
            case "cut", "mute" -> {
                BitSet from = all(s.first());
                BitSet to = all(s.second());
                play.links.cut(from, to, s.verb().equals("cut"), until);
                dispatchers(s.first()).forEach(d -> play.audit.excuse(d, play.now(), until, true));
                dispatchers(s.second()).forEach(d -> play.audit.excuse(d, play.now(), until, true));
            }
            case "refuse", "stall", "reset", "trickle" ->
                play.links.treat(
                        all(s.first()),
                        switch (s.verb()) {
                            case "refuse" -> LinkFaults.Way.REFUSED;
                            case "stall" -> LinkFaults.Way.STALLED;
                            case "reset" -> LinkFaults.Way.RESET;
                            default -> LinkFaults.Way.TRICKLES;
                        },
                        until);
            case "provider" -> play.duties.fate(s.first().name(), until);
            case "silent" -> play.discovery.muteUntil(until);
            case "lists" ->
                IntStream.range(0, world.dispatchers())
                        .forEach(d -> play.discovery.setDelay(d, random.nextDouble() * s.figure()));
            case "loss" -> play.links.lose(s.figure(), until);
            case "garble" -> garble(s.first(), until);
            default -> {}
        }
    }

    private void kill(ScenarioTarget p) throws IOException {
        for (int d : dispatchers(p)) {
            play.fleet.kill(d);
            plan(play.now() + world.notice(), () -> play.fleet.noticed(d));
        }
        runners(p).forEach(r -> play.runners.get(r).kill());
    }

    private void start(Scenario.Step s) throws IOException {
        double over = Double.isNaN(s.figure()) ? 0 : s.figure();
        for (int d : dispatchers(s.first())) {
            plan(play.now() + random.nextDouble() * over, () -> play.fleet.start(d));
        }
        for (int r : runners(s.first())) {
            plan(play.now() + random.nextDouble() * over, () -> {
                play.audit.startedAnew(play.models.get(r).name);
                play.runners.get(r).start();
                play.discovery.announceHealth(play.runners.get(r), "Ready");
            });
        }
    }

    private void pause(Scenario.Step s, double until) throws Exception {
        for (int d : dispatchers(s.first())) {
            play.audit.excuse(d, play.now(), until + 2 * InvariantChecker.SPARE, false);
            play.fleet.pause(d, true);
            plan(until, () -> {
                play.fleet.pause(d, false);
                // On a busy machine it goes on later than it was meant to.
                play.audit.excuse(d, until, play.now() + 2 * InvariantChecker.SPARE, false);
            });
        }
    }

    private void garble(ScenarioTarget p, double until) throws IOException {
        SplittableRandom bytes = new SplittableRandom(random.nextLong());
        for (int d : dispatchers(p)) {
            for (int i = 0; i < 20; i++) {
                play.datagrams.garble(d, bytes);
            }
        }
        if (play.now() + LoadBalanceStats.EACH < until) {
            plan(play.now() + LoadBalanceStats.EACH, () -> garble(p, until));
        }
    }
}
