package nettlewick.fleettest;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import nettlewick.stubs.EndpointModel;
import nettlewick.stubs.EndpointServer;

/**
 * Builds the block {@code settings} of a dispatcher's configuration from a scenario, in the keywords of the platform.
 * It does not contain the dispatcher's addresses.
 */
final class PlatformSettings {
    private static final double MAX_RETRY_AFTER_MILLIS = 2000;
    private static final double CONNECT_TIMEOUT_MILLIS = 200;
    private static final double IDLE_CONNECTION_MILLIS = 5000;
    private static final double ANSWER_SLACK_MILLIS = 20;
    private static final double POLL_WITHIN_MILLIS = 10_000;
    private static final double NANOS_PER_MILLI = 1e6;

    private PlatformSettings() {}

    /** Returns the settings of the dispatcher with this number. */
    static Map<String, Object> of(Scenario scenario, int number) {
        Scenario.FleetSettings fleet = scenario.fleet();
        Scenario.LoadSettings load = scenario.load();
        Map<String, Object> settings = new LinkedHashMap<>();
        settings.put("rank", number);
        settings.put("fleet_size", fleet.dispatchers());
        settings.put("zone", fleet.zone(number));
        settings.put("zones", fleet.zones());
        settings.put("models", List.of("std"));
        settings.put("membership_mode", fleet.polls() ? "on_request" : "pushed");
        settings.put(
                "classes",
                load.classes().stream()
                        .map(requestClass -> requestClass(requestClass, load.dedupWindowMillis()))
                        .toList());
        settings.put(
                "tenants",
                load.tenants().stream()
                        .map(tenant -> Map.of("name", tenant.name(), "fraction", tenant.quota()))
                        .toList());
        settings.put("report", Map.of("source", "on_probe", "names", List.of("depth", "concurrent", "x0", "x1")));
        settings.put(
                "family_info", Map.of("progress", nanos(EndpointServer.PROGRESS_INTERVAL_MILLIS), "tells_start", true));
        settings.put("ceilings", limits(fleet));
        settings.put("rules", rules(fleet));
        return settings;
    }

    private static Map<String, Object> requestClass(Scenario.RequestClass requestClass, double dedupWindowMillis) {
        Map<String, Object> settings = new LinkedHashMap<>();
        settings.put("name", requestClass.name());
        settings.put("repeat", requestClass.idempotency());
        settings.put("aim", nanos(requestClass.latencyObjectiveMillis()));
        settings.put("deadline", nanos(requestClass.deadlineMillis()));
        settings.put("worth", 1);
        settings.put("window", nanos(dedupWindowMillis));
        settings.put("dedup_scope", "zone");
        return settings;
    }

    private static Map<String, Object> limits(Scenario.FleetSettings fleet) {
        Map<String, Object> settings = new LinkedHashMap<>();
        settings.put("attempts_cap", ScenarioRun.MAX_ATTEMPTS);
        settings.put("cancel", fleet.endpoint().cancelsOnDisconnect());
        settings.put("peers", fleet.gossips());
        settings.put("probes", true);
        settings.put("retry_after", true);
        settings.put("second_copies", false);
        settings.put("max_retry_after", nanos(MAX_RETRY_AFTER_MILLIS));
        settings.put("connect_timeout", nanos(CONNECT_TIMEOUT_MILLIS));
        settings.put("conn_idle", nanos(IDLE_CONNECTION_MILLIS));
        return settings;
    }

    private static Map<String, Object> rules(Scenario.FleetSettings fleet) {
        EndpointModel.Config endpoint = fleet.endpoint();
        Map<String, Object> settings = new LinkedHashMap<>();
        settings.put("cold", nanos(endpoint.slowStartMillis()));
        settings.put("cold_share", endpoint.initialSpeedFraction());
        settings.put("overload_factor", endpoint.overloadFactor());
        settings.put("drain_grace", nanos(fleet.drainGraceMillis()));
        settings.put("fall", nanos(endpoint.overloadMillis()));
        settings.put("answer_slack", nanos(ANSWER_SLACK_MILLIS));
        settings.put("ask_within", nanos(POLL_WITHIN_MILLIS));
        return settings;
    }

    private static long nanos(double millis) {
        return (long) (millis * NANOS_PER_MILLI);
    }
}
