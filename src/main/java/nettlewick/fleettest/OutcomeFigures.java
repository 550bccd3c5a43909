package nettlewick.fleettest;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Collects the figures of a run that tell what became of its requests, once all have their outcomes. */
final class OutcomeFigures {
    private static final List<String> OUTCOMES =
            List.of("in_time", "late", "unserved", "failed", "broken_off", "unanswered");

    private final ScenarioRun run;
    private final Scenario.LoadSettings load;
    private final Map<String, Integer> outcomes;
    private final Map<String, Double> figures = new LinkedHashMap<>();

    OutcomeFigures(ScenarioRun run, Scenario.LoadSettings load) {
        this.run = run;
        this.load = load;
        outcomes = run.loadGenerator.outcomes();
    }

    /** Returns the figures by name, in the order in which they are written. */
    Map<String, Double> collect(long requestCount) {
        figures.put("jobs", (double) requestCount);
        OUTCOMES.forEach(outcome -> figures.put(outcome, count(outcome)));
        if (load.tenants().size() > 1) {
            load.tenants().forEach(tenant -> addTenant(tenant.name()));
        }
        addAttempts();
        figures.putAll(run.loadStats().figures());
        figures.put("latency_p50", (double) run.latency().getValueAtPercentile(50));
        figures.put("latency_p99", (double) run.latency().getValueAtPercentile(99));
        figures.put("discovery_calls", (double) run.discovery.callCount.get());
        figures.put("too_long", (double) run.datagramRelay.oversized());
        figures.put("crashed", (double) run.fleet.dispatchers.stream()
                .filter(Fleet.DispatcherProcess::crashed)
                .count());
        figures.put("rules_broken", (double) run.checker().violations().size());
        return figures;
    }

    private double count(String outcome) {
        return outcomes.getOrDefault(outcome, 0);
    }

    private void addTenant(String tenant) {
        double requests = outcomes.entrySet().stream()
                .filter(entry -> entry.getKey().endsWith(" " + tenant))
                .mapToDouble(Map.Entry::getValue)
                .sum();
        figures.put("asked_" + tenant, requests);
        figures.put("in_time_" + tenant, count("in_time " + tenant));
    }

    private void addAttempts() {
        double attempts = run.checker().count("attempts");
        figures.put("refusals", (double) run.loadGenerator.rejections.get());
        figures.put("attempts", attempts);
        figures.put("sent_to_full", run.checker().count("sent_to_full") / Math.max(1.0, attempts));
        figures.put("run_again", (double) run.checker().count("run_again"));
    }
}
