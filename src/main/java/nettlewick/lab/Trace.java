package nettlewick.lab;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * The jobs of a run in the order in which clients mean to ask, drawn from the scenario's seed: a Poisson
 * stream whose rate the steps change. Pure.
 */
final class Trace {
    /**
     * @param at     when it is meant to be asked, in milliseconds after the load began; below 0 to warm up
     * @param work   slot milliseconds at the speed of 1
     * @param choice in [0, 1): draws the dispatcher among those of its zone
     */
    record Arrival(int number, double at, Scenario.JobClass jobClass, double work, int zone, double choice) {
    }

    private Trace() {
    }

    static List<Arrival> of(Scenario scenario) {
        SplittableRandom random = new SplittableRandom(scenario.world().seed());
        Scenario.Load load = scenario.load();
        double parts = load.classes().stream().mapToDouble(Scenario.JobClass::part).sum();
        List<Arrival> all = new ArrayList<>();
        double at = -load.warm();
        while (true) {
            // Thinned from the highest rate, so that steps change it without a seam.
            double most = load.rate() * scenario.steps().stream().filter(s -> s.verb().equals("rate"))
                    .mapToDouble(Scenario.Step::figure).reduce(1, Math::max) / 1000;
            at -= Math.log(1 - random.nextDouble()) / most;
            if (at >= load.length()) {
                return all;
            }
            double draw = random.nextDouble();
            Scenario.JobClass jobClass = pick(load.classes(), random.nextDouble() * parts);
            double work = Math.max(1, -Math.log(1 - random.nextDouble()) * jobClass.mean() * 0.5
                    + jobClass.mean() * 0.5);
            int zone = random.nextInt(scenario.world().zones().size());
            double choice = random.nextDouble();
            if (draw * most * 1000 < rate(scenario, at)) {
                all.add(new Arrival(all.size(), at, jobClass, work, zone, choice));
            }
        }
    }

    private static double rate(Scenario scenario, double at) {
        double rate = scenario.load().rate();
        if (at < 0) {
            // It grows: the first requests of a process cost many times what the later ones do.
            return rate * (1 + at / scenario.load().warm());
        }
        for (Scenario.Step s : scenario.steps()) {
            if (s.verb().equals("rate") && at >= s.at() && at < s.at() + s.span()) {
                rate *= s.figure();
            }
        }
        return rate;
    }

    private static Scenario.JobClass pick(List<Scenario.JobClass> classes, double draw) {
        double left = draw;
        for (Scenario.JobClass c : classes) {
            left -= c.part();
            if (left < 0) {
                return c;
            }
        }
        return classes.get(classes.size() - 1);
    }
}
