package nettlewick.fleettest;

import com.google.gson.Gson;
import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import nettlewick.stubs.EndpointModel;

/** The configurations of a soak's dispatchers. */
final class SoakConfig {
    static final String ZONE = "a";
    static final double DRAIN_GRACE_MILLIS = 500;

    private static final int SLOTS = 8;
    private static final int QUEUE = 8;
    private static final double REPORT_AGE_MILLIS = 20;
    private static final double NEVER_FALLS = Double.MAX_VALUE;
    private static final double DEDUP_WINDOW_MILLIS = 1000;
    private static final int SOCKETS = 256;
    private static final int MEMORY_MEGABYTES = 192;

    /** What all endpoints are like: never cold. */
    static final EndpointModel.Config ENDPOINTS =
            new EndpointModel.Config(SLOTS, QUEUE, 0, 1, NEVER_FALLS, 1000, REPORT_AGE_MILLIS, true);

    private final SoakPlan plan;
    private final Scenario scenario;

    SoakConfig(SoakPlan plan) {
        this.plan = plan;
        scenario = scenario(plan);
    }

    private static Scenario scenario(SoakPlan plan) {
        List<Scenario.JobClass> classes = plan.classes().stream()
                .map(c -> new Scenario.JobClass(
                        c.name(), 1, c.meanWorkMillis(), c.deadlineMillis() / 2, c.deadlineMillis()))
                .toList();
        EndpointModel.Config told = new EndpointModel.Config(SLOTS, QUEUE, 0, 1, 1, 1, REPORT_AGE_MILLIS, true);
        Scenario.World world = new Scenario.World(
                plan.seed(),
                plan.dispatchers(),
                List.of(new Scenario.Kind(plan.runners(), 1)),
                List.of(ZONE),
                told,
                false,
                true,
                false,
                0,
                DRAIN_GRACE_MILLIS,
                0,
                Map.of());
        Scenario.Load load = new Scenario.Load(
                0, 0, 0, 1, 1, false, DEDUP_WINDOW_MILLIS, classes, List.of(new Scenario.Member("red", 1, 1)));
        return new Scenario(world, load, new Scenario.LinkSettings(0, 0, 0, 0, false), List.of(), null);
    }

    /**
     * The configuration of a dispatcher as it is now.
     *
     * @param known the list of endpoints that it had before; null for none
     */
    Map<String, Object> of(Fleet.DispatcherProcess member, InetSocketAddress discovery, Map<String, Object> known) {
        Map<String, Object> config = new LinkedHashMap<>();
        config.put("name", "n" + member.number);
        config.put("listen", ScenarioRun.text(member.listen));
        config.put("discovery", ScenarioRun.text(discovery));
        config.put("seed", String.format("%016x", plan.seed() * 1000 + member.number * 10L + member.lives));
        config.put("limits", Map.of("cores", 1.0, "memory_mb", MEMORY_MEGABYTES, "sockets", SOCKETS));
        if (known != null) {
            config.put("known", new Gson().fromJson(new Gson().toJson(known), Map.class));
        }
        config.put("settings", Fleet.settings(scenario, member.number));
        return config;
    }
}
