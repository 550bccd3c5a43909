package nettlewick.net.config;

import io.vertx.core.net.SocketAddress;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import nettlewick.decision.SchedulerSettings;
import nettlewick.decision.SchedulerSettings.Idempotency;
import nettlewick.decision.SchedulerSettings.Limits;
import nettlewick.decision.SchedulerSettings.LoadReporting;
import nettlewick.decision.SchedulerSettings.RequestClass;
import nettlewick.decision.SchedulerSettings.Rules;
import nettlewick.decision.SchedulerSettings.Scope;
import nettlewick.decision.SchedulerSettings.Tenant;
import nettlewick.net.discovery.EndpointListSnapshot;
import nettlewick.net.format.JsonFields;
import nettlewick.net.format.SocketAddressParser;

/** What the platform tells a dispatcher: {@code $ROUTER_CONFIG}, with the other variables over it. */
public record PlatformConfig(
        String name,
        SocketAddress listen,
        SocketAddress discovery,
        long seed,
        int maxSockets,
        SocketAddress peerListen,
        List<SocketAddress> peers,
        EndpointListSnapshot knownEndpoints,
        SchedulerSettings settings,
        double connectTimeoutMillis,
        double idleTimeoutMillis,
        int maxInFlight,
        List<String> loadReportNames,
        SocketAddress adminListen) {
    private static final double NANOS_PER_MILLI = 1e6;
    private static final long MAX_DURATION_NANOS = Long.MAX_VALUE / 4;
    private static final Map<String, Idempotency> IDEMPOTENCY_NAMES = idempotencyNames();
    private static final Map<String, Scope> SCOPE_NAMES = scopeNames();

    /** Reads the configuration that these environment variables name. */
    public static PlatformConfig load(Map<String, String> environment) {
        String file = environment.get("ROUTER_CONFIG");
        if (file == null) {
            throw new JsonFields.InvalidFieldException("ROUTER_CONFIG", null, "the path of the configuration");
        }
        try {
            return of(Files.readString(Path.of(file)), environment);
        } catch (IOException | InvalidPathException e) {
            throw new JsonFields.InvalidFieldException("ROUTER_CONFIG", file + " (" + e + ")", "a readable file");
        }
    }

    /**
     * Reads it once more, after SIGHUP. Danger: $ROUTER_DISCOVERY is as old as the process; the address that
     * the file names now counts over it.
     */
    public static PlatformConfig reload(Map<String, String> environment) {
        Map<String, String> remaining = new HashMap<>(environment);
        remaining.remove("ROUTER_DISCOVERY");
        return load(remaining);
    }

    /** Reads a configuration from its text. */
    public static PlatformConfig of(String text, Map<String, String> environment) {
        JsonFields fields = JsonFields.parse("the configuration", text);
        String seed = fields.text("seed");
        SchedulerSettings settings = parseSettings(fields.object("settings"));
        List<SocketAddress> peers = new ArrayList<>();
        for (String peer : fields.texts("peers")) {
            peers.add(SocketAddressParser.parse(fields.path("peers") + "[" + peers.size() + "]", peer));
        }
        if (fields.has("peers")
                && peers.size() != settings.fleetSize()
                && settings.limits().peers()) {
            throw new JsonFields.InvalidFieldException(
                    "peers", peers.size() + " addresses", "one for each of settings.fleet_size");
        }
        JsonFields limits = fields.objectOrEmpty("limits");
        JsonFields ceilings = fields.object("settings").object("ceilings");
        return new PlatformConfig(
                environment.getOrDefault("ROUTER_NAME", fields.textOr("name", "nettlewick")),
                parseAddress(fields, "listen", environment.get("ROUTER_LISTEN")),
                parseAddress(fields, "discovery", environment.get("ROUTER_DISCOVERY")),
                parseSeed(seed),
                (int) limits.integerOr("sockets", 1024, 32, 1 << 20),
                fields.has("peer_listen") ? parseAddress(fields, "peer_listen", null) : null,
                peers,
                fields.has("known") ? parseKnownEndpoints(fields.object("known")) : null,
                settings,
                ceilings.numberOr("connect_timeout", 1e9, 1e6, 1e11) / NANOS_PER_MILLI,
                ceilings.numberOr("conn_idle", 5e9, 1e6, 1e13) / NANOS_PER_MILLI,
                (int) ceilings.integerOr("max_open", 10_000, 1, Integer.MAX_VALUE),
                fields.object("settings").objectOrEmpty("report").texts("names"),
                fields.has("admin_addr") || environment.get("ROUTER_ADMIN_ADDR") != null
                        ? parseAddress(fields, "admin_addr", environment.get("ROUTER_ADMIN_ADDR"))
                        : null);
    }

    private static EndpointListSnapshot parseKnownEndpoints(JsonFields fields) {
        EndpointListSnapshot known = EndpointListSnapshot.parse(fields);
        if (!known.faults().isEmpty()) {
            throw known.faults().get(0);
        }
        return known;
    }

    private static long parseSeed(String text) {
        try {
            return Long.parseUnsignedLong(text, 16);
        } catch (NumberFormatException e) {
            throw new JsonFields.InvalidFieldException("seed", '"' + text + '"', "up to 16 hexadecimal digits");
        }
    }

    private static SocketAddress parseAddress(JsonFields fields, String name, String override) {
        return SocketAddressParser.parse(name, override != null ? override : fields.text(name));
    }

    private static SchedulerSettings parseSettings(JsonFields fields) {
        JsonFields family = fields.objectOrEmpty("family_info");
        List<Double> kinds = family.numbers("class_kind");
        List<Double> stretches = family.numbers("class_stretch");
        List<Double> priorities = family.numbers("class_priority");
        List<RequestClass> classes = new ArrayList<>();
        for (JsonFields c : fields.objects("classes")) {
            int at = classes.size();
            classes.add(new RequestClass(
                    c.text("name"),
                    choice(c, "repeat", IDEMPOTENCY_NAMES, null),
                    choice(c, "dedup_scope", SCOPE_NAMES, Scope.ALL),
                    c.integerOr("window", 0, 0, MAX_DURATION_NANOS),
                    c.integer("aim", 1, MAX_DURATION_NANOS),
                    c.numberOr("aim_stretch", elementOr(stretches, at, 0), 0, 1e9),
                    c.integerOr("deadline", 0, 0, MAX_DURATION_NANOS),
                    c.numberOr("worth", 1, 0, 1e9),
                    c.numberOr("late_worth", 0, 0, 1e9),
                    c.flag("stream"),
                    (int) elementOr(kinds, at, -1),
                    (int) elementOr(priorities, at, 0)));
        }
        List<Tenant> tenants = new ArrayList<>();
        for (JsonFields t : fields.objects("tenants")) {
            tenants.add(
                    new Tenant(t.text("name"), t.numberOr("fraction", 0, 0, 1), t.numberOr("quota_per_s", 0, 0, 1e9)));
        }
        JsonFields ceilings = fields.object("ceilings");
        JsonFields rules = fields.object("rules");
        String source = fields.objectOrEmpty("report").textOr("source", "off");
        String weights = fields.textOr("weights", "off");
        try {
            return new SchedulerSettings(
                    (int) fields.integer("rank", 0, 1 << 20),
                    (int) fields.integer("fleet_size", 1, 1 << 20),
                    fields.textOr("zone", null),
                    classes,
                    tenants,
                    fields.texts("models"),
                    "on_request".equals(fields.textOr("membership_mode", "pushed")),
                    "nominal".equals(weights) || "rough".equals(weights),
                    "inline".equals(source)
                            ? LoadReporting.INLINE
                            : "on_probe".equals(source) ? LoadReporting.ON_PROBE : LoadReporting.OFF,
                    family.integerOr("progress", 0, 0, MAX_DURATION_NANOS),
                    new Limits(
                            (int) ceilings.integer("attempts_cap", 1, 1000),
                            ceilings.flag("cancel"),
                            ceilings.flag("peers"),
                            ceilings.flag("probes"),
                            ceilings.flag("retry_after"),
                            ceilings.flag("second_copies"),
                            ceilings.integerOr("max_retry_after", 0, 0, MAX_DURATION_NANOS)),
                    new Rules(
                            rules.integerOr("answer_slack", 0, 0, MAX_DURATION_NANOS),
                            rules.integerOr("ask_within", 1_000_000_000, 0, MAX_DURATION_NANOS),
                            rules.integerOr("cold", 0, 0, MAX_DURATION_NANOS),
                            rules.numberOr("cold_share", 1, 0, 1),
                            rules.integerOr("drain_grace", 0, 0, MAX_DURATION_NANOS),
                            rules.integerOr("fall", 0, 0, MAX_DURATION_NANOS),
                            rules.numberOr("overload_factor", 1, 0, 1e9)));
        } catch (IllegalArgumentException e) {
            throw new JsonFields.InvalidFieldException("settings", e.getMessage(), "settings that make sense");
        }
    }

    private static double elementOr(List<Double> list, int index, double defaultValue) {
        return index < list.size() ? list.get(index) : defaultValue;
    }

    /** The words of the settings for what a repeated request may do, in the order in which an error lists them. */
    private static Map<String, Idempotency> idempotencyNames() {
        Map<String, Idempotency> names = new LinkedHashMap<>();
        names.put("retryable", Idempotency.IDEMPOTENT);
        names.put("dedup", Idempotency.KEYED);
        names.put("fragile", Idempotency.NON_IDEMPOTENT);
        return names;
    }

    private static Map<String, Scope> scopeNames() {
        Map<String, Scope> names = new LinkedHashMap<>();
        for (Scope scope : Scope.values()) {
            names.put(scope.name().toLowerCase(Locale.ROOT), scope);
        }
        return names;
    }

    private static <E> E choice(JsonFields fields, String name, Map<String, E> values, E defaultValue) {
        if (defaultValue != null && !fields.has(name)) {
            return defaultValue;
        }
        E value = values.get(fields.text(name));
        if (value == null) {
            throw new JsonFields.InvalidFieldException(
                    fields.path(name), fields.text(name), "one of " + names(values.keySet()));
        }
        return value;
    }

    private static List<String> names(Set<String> values) {
        return values.stream().map(value -> value.toUpperCase(Locale.ROOT)).toList();
    }

    /** The fields in which that one differs and which cannot change while the dispatcher runs. */
    public List<String> restartOnlyChanges(PlatformConfig next) {
        Map<String, Boolean> same = new LinkedHashMap<>();
        same.put("name", name.equals(next.name));
        same.put("listen", listen.equals(next.listen));
        same.put("limits.sockets", maxSockets == next.maxSockets);
        same.put("peer_listen", Objects.equals(peerListen, next.peerListen));
        same.put("admin_addr", Objects.equals(adminListen, next.adminListen));
        same.put("settings", settings.equals(next.settings));
        same.put("settings.ceilings.connect_timeout", connectTimeoutMillis == next.connectTimeoutMillis);
        return same.entrySet().stream()
                .filter(e -> !e.getValue())
                .map(Map.Entry::getKey)
                .toList();
    }

    /** This one, with what may change while the dispatcher runs as in that one. */
    public PlatformConfig withReloaded(PlatformConfig next) {
        return new PlatformConfig(
                name,
                listen,
                next.discovery,
                seed,
                maxSockets,
                peerListen,
                next.peers,
                knownEndpoints,
                settings,
                connectTimeoutMillis,
                next.idleTimeoutMillis,
                next.maxInFlight,
                loadReportNames,
                adminListen);
    }

    /** The same, but for clients at any free port: for a warm-up that nobody else sees. */
    public PlatformConfig withFreeListenPort() {
        return new PlatformConfig(
                name,
                SocketAddress.inetSocketAddress(0, listen.hostAddress()),
                discovery,
                seed,
                maxSockets,
                peerListen,
                peers,
                knownEndpoints,
                settings,
                connectTimeoutMillis,
                idleTimeoutMillis,
                maxInFlight,
                loadReportNames,
                adminListen);
    }

    /** Whether a job of this class may run more than once without harm. */
    public boolean isIdempotentClass(String requestClass) {
        return settings.classes().stream()
                .anyMatch(c -> c.name().equals(requestClass) && c.idempotency() == Idempotency.IDEMPOTENT);
    }

    /** True if this is a class of the settings. */
    public boolean hasClass(String name) {
        return settings.classes().stream().anyMatch(c -> c.name().equals(name));
    }
}
