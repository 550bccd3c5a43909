package nettlewick.fleettest;

import com.google.gson.Gson;
import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import nettlewick.stubs.EndpointModel;

/** Builds the configurations of a soak's dispatchers. */
final class SoakConfig {
    static final String ZONE = "a";
    static final double DRAIN_GRACE_MILLIS = 500;

    private static final int SLOTS = 8;
    private static final int QUEUE = 8;
    private static final double REPORT_AGE_MILLIS = 20;
    private static final double NO_OVERLOAD_FACTOR = Double.MAX_VALUE;
    private static final double DEDUP_WINDOW_MILLIS = 1000;
    private static final int MAX_SOCKETS = 256;
    private static final int MEMORY_MEGABYTES = 192;

    /** The configuration of all endpoints, without slow start. */
    static final EndpointModel.Config ENDPOINT_CONFIG =
            new EndpointModel.Config(SLOTS, QUEUE, 0, 1, NO_OVERLOAD_FACTOR, 1000, REPORT_AGE_MILLIS, true);

    private final SoakPlan plan;
    private final Scenario scenario;

    SoakConfig(SoakPlan plan) {
        this.plan = plan;
        scenario = scenario(plan);
    }

    private static Scenario scenario(SoakPlan plan) {
        List<Scenario.RequestClass> classes = plan.classes().stream()
                .map(c -> new Scenario.RequestClass(
                        c.name(), 1, c.meanWorkMillis(), c.deadlineMillis() / 2, c.deadlineMillis()))
                .toList();
        EndpointModel.Config assumedEndpoint =
                new EndpointModel.Config(SLOTS, QUEUE, 0, 1, 1, 1, REPORT_AGE_MILLIS, true);
        Scenario.FleetSettings fleet = new Scenario.FleetSettings(
                plan.seed(),
                plan.dispatchers(),
                List.of(new Scenario.EndpointGroup(plan.endpoints(), 1)),
                List.of(ZONE),
                assumedEndpoint,
                false,
                true,
                false,
                0,
                DRAIN_GRACE_MILLIS,
                0,
                Map.of());
        Scenario.LoadSettings load = new Scenario.LoadSettings(
                0, 0, 0, 1, 1, false, DEDUP_WINDOW_MILLIS, classes, List.of(new Scenario.Tenant("red", 1, 1)));
        return new Scenario(fleet, load, new Scenario.LinkSettings(0, 0, 0, 0, false), List.of(), null);
    }

    /**
     * Returns the current configuration of a dispatcher.
     *
     * @param knownEndpoints the endpoint list that it had before; null for none
     */
    Map<String, Object> dispatcherConfig(
            Fleet.DispatcherProcess dispatcher, InetSocketAddress discovery, Map<String, Object> knownEndpoints) {
        Map<String, Object> config = new LinkedHashMap<>();
        config.put("name", "n" + dispatcher.number);
        config.put("listen", ScenarioRun.addressText(dispatcher.listenAddress));
        config.put("discovery", ScenarioRun.addressText(discovery));
        config.put(
                "seed",
                String.format("%016x", plan.seed() * 1000 + dispatcher.number * 10L + dispatcher.incarnationCount));
        config.put("limits", Map.of("cores", 1.0, "memory_mb", MEMORY_MEGABYTES, "sockets", MAX_SOCKETS));
        if (knownEndpoints != null) {
            config.put("known", new Gson().fromJson(new Gson().toJson(knownEndpoints), Map.class));
        }
        config.put("settings", PlatformSettings.of(scenario, dispatcher.number));
        return config;
    }
}
