package nettlewick.fleettest;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * The planned requests of a run in order of time, drawn from the scenario's seed: a Poisson process whose rate the
 * steps change. Performs no I/O.
 */
final class RequestTrace {
    /**
     * @param at planned time in milliseconds after the load began; below 0 during warm-up
     * @param workMillis slot milliseconds at the speed of 1
     * @param choice in [0, 1); selects the dispatcher in the zone
     * @param tenant the tenant that sends the request
     */
    record PlannedRequest(
            int number,
            double at,
            Scenario.RequestClass requestClass,
            double workMillis,
            int zone,
            double choice,
            String tenant) {}

    private RequestTrace() {}

    static List<PlannedRequest> draw(Scenario scenario) {
        SplittableRandom random = new SplittableRandom(scenario.fleet().seed());
        Scenario.LoadSettings load = scenario.load();
        double fractionSum = load.classes().stream()
                .mapToDouble(Scenario.RequestClass::fraction)
                .sum();
        List<PlannedRequest> requests = new ArrayList<>();
        double at = -load.warmUpMillis();
        double tenantFractionSum = load.tenants().stream()
                .mapToDouble(Scenario.Tenant::requestFraction)
                .sum();
        double floodFactor = load.tenants().stream()
                        .mapToDouble(m -> m.requestFraction()
                                * scenario.steps().stream()
                                        .filter(s -> isFloodOf(s, m))
                                        .mapToDouble(Scenario.Step::value)
                                        .reduce(1, Math::max))
                        .sum()
                / tenantFractionSum;
        while (true) {
            // Thins a Poisson process of the highest rate, so that steps change the rate without discontinuities.
            double maxRate = load.rate()
                    * scenario.steps().stream()
                            .filter(s -> s.verb().equals("rate"))
                            .mapToDouble(Scenario.Step::value)
                            .reduce(1, Math::max)
                    / 1000
                    * floodFactor;
            at -= Math.log(1 - random.nextDouble()) / maxRate;
            if (at >= load.lengthMillis()) {
                return requests;
            }
            double draw = random.nextDouble();
            Scenario.RequestClass requestClass = pick(load.classes(), random.nextDouble() * fractionSum);
            double workMillis = Math.max(
                    1,
                    -Math.log(1 - random.nextDouble()) * requestClass.meanWorkMillis() * 0.5
                            + requestClass.meanWorkMillis() * 0.5);
            int zone = random.nextInt(scenario.fleet().zones().size());
            double choice = random.nextDouble();
            double[] weights = new double[load.tenants().size()];
            double weightSum = 0;
            for (int m = 0; m < weights.length; m++) {
                weights[m] = tenantWeight(scenario, load.tenants().get(m), at) / tenantFractionSum;
                weightSum += weights[m];
            }
            if (draw * maxRate * 1000 < rateAt(scenario, at) * weightSum) {
                // A single tenant takes no random draw, so that scenarios without tenants keep their requests.
                double remaining = weights.length == 1 ? 0 : random.nextDouble() * weightSum;
                int tenantIndex = 0;
                for (; tenantIndex < weights.length - 1 && remaining >= weights[tenantIndex]; tenantIndex++) {
                    remaining -= weights[tenantIndex];
                }
                requests.add(new PlannedRequest(
                        requests.size(),
                        at,
                        requestClass,
                        workMillis,
                        zone,
                        choice,
                        load.tenants().get(tenantIndex).name()));
            }
        }
    }

    private static boolean isFloodOf(Scenario.Step step, Scenario.Tenant tenant) {
        return step.verb().equals("flood") && step.target().name().equals(tenant.name());
    }

    /** Returns a tenant's request rate at a time, relative to the total rate without floods. */
    private static double tenantWeight(Scenario scenario, Scenario.Tenant tenant, double at) {
        double weight = tenant.requestFraction();
        for (Scenario.Step step : scenario.steps()) {
            weight *= isFloodOf(step, tenant) && at >= step.at() && at < step.at() + step.durationMillis()
                    ? step.value()
                    : 1;
        }
        return weight;
    }

    private static double rateAt(Scenario scenario, double at) {
        double rate = scenario.load().rate();
        if (at < 0) {
            // The rate grows linearly during warm-up, because the first requests of a process cost many times what
            // later ones do.
            return rate * (1 + at / scenario.load().warmUpMillis());
        }
        for (Scenario.Step step : scenario.steps()) {
            if (step.verb().equals("rate") && at >= step.at() && at < step.at() + step.durationMillis()) {
                rate *= step.value();
            }
        }
        return rate;
    }

    private static Scenario.RequestClass pick(List<Scenario.RequestClass> classes, double draw) {
        double remaining = draw;
        for (Scenario.RequestClass requestClass : classes) {
            remaining -= requestClass.fraction();
            if (remaining < 0) {
                return requestClass;
            }
        }
        return classes.get(classes.size() - 1);
    }
}
