package nettlewick.fleettest;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * The jobs of a run in the order in which clients mean to ask, drawn from the scenario's seed: a Poisson
 * stream whose rate the steps change. Pure.
 */
final class RequestTrace {
    /**
     * @param at     when it is meant to be asked, in milliseconds after the load began; below 0 to warm up
     * @param work   slot milliseconds at the speed of 1
     * @param choice in [0, 1): draws the dispatcher among those of its zone
     * @param member whose it is
     */
    record Arrival(
            int number, double at, Scenario.JobClass jobClass, double work, int zone, double choice, String member) {}

    private RequestTrace() {}

    static List<Arrival> of(Scenario scenario) {
        SplittableRandom random = new SplittableRandom(scenario.world().seed());
        Scenario.Load load = scenario.load();
        double parts =
                load.classes().stream().mapToDouble(Scenario.JobClass::part).sum();
        List<Arrival> all = new ArrayList<>();
        double at = -load.warm();
        double asks = load.members().stream().mapToDouble(Scenario.Member::asks).sum();
        double floods = load.members().stream()
                        .mapToDouble(m -> m.asks()
                                * scenario.steps().stream()
                                        .filter(s -> floods(s, m))
                                        .mapToDouble(Scenario.Step::figure)
                                        .reduce(1, Math::max))
                        .sum()
                / asks;
        while (true) {
            // Thinned from the highest rate, so that steps change it without a seam.
            double most = load.rate()
                    * scenario.steps().stream()
                            .filter(s -> s.verb().equals("rate"))
                            .mapToDouble(Scenario.Step::figure)
                            .reduce(1, Math::max)
                    / 1000
                    * floods;
            at -= Math.log(1 - random.nextDouble()) / most;
            if (at >= load.length()) {
                return all;
            }
            double draw = random.nextDouble();
            Scenario.JobClass jobClass = pick(load.classes(), random.nextDouble() * parts);
            double work =
                    Math.max(1, -Math.log(1 - random.nextDouble()) * jobClass.mean() * 0.5 + jobClass.mean() * 0.5);
            int zone = random.nextInt(scenario.world().zones().size());
            double choice = random.nextDouble();
            double[] weights = new double[load.members().size()];
            double whole = 0;
            for (int m = 0; m < weights.length; m++) {
                weights[m] = weight(scenario, load.members().get(m), at) / asks;
                whole += weights[m];
            }
            if (draw * most * 1000 < rate(scenario, at) * whole) {
                // One member needs no draw: earlier scenarios keep their jobs.
                double left = weights.length == 1 ? 0 : random.nextDouble() * whole;
                int member = 0;
                for (; member < weights.length - 1 && left >= weights[member]; member++) {
                    left -= weights[member];
                }
                all.add(new Arrival(
                        all.size(),
                        at,
                        jobClass,
                        work,
                        zone,
                        choice,
                        load.members().get(member).name()));
            }
        }
    }

    private static boolean floods(Scenario.Step s, Scenario.Member m) {
        return s.verb().equals("flood") && s.first().name().equals(m.name());
    }

    /** What a member asks for at a time, against all that all ask for in peace. */
    private static double weight(Scenario scenario, Scenario.Member m, double at) {
        double weight = m.asks();
        for (Scenario.Step s : scenario.steps()) {
            weight *= floods(s, m) && at >= s.at() && at < s.at() + s.span() ? s.figure() : 1;
        }
        return weight;
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
