package nettlewick.net;

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

/** What the platform tells a dispatcher: {@code $ROUTER_CONFIG}, with the other variables over it. */
public record PlatformConfig(
        String name,
        SocketAddress listen,
        SocketAddress discovery,
        long seed,
        int sockets,
        SocketAddress peerListen,
        List<SocketAddress> peers,
        EndpointListSnapshot known,
        SchedulerSettings settings,
        double connectTimeout,
        double connIdle,
        int maxOpen,
        List<String> reportNames,
        SocketAddress adminAddr) {
    private static final double MILLION = 1e6;
    private static final long LONG_TIME = Long.MAX_VALUE / 4;
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
        Map<String, String> rest = new HashMap<>(environment);
        rest.remove("ROUTER_DISCOVERY");
        return load(rest);
    }

    /** Reads a configuration from its text. */
    public static PlatformConfig of(String text, Map<String, String> environment) {
        JsonFields f = JsonFields.parse("the configuration", text);
        String seed = f.text("seed");
        SchedulerSettings settings = settings(f.part("settings"));
        List<SocketAddress> peers = new ArrayList<>();
        for (String peer : f.texts("peers")) {
            peers.add(Address.parse(f.path("peers") + "[" + peers.size() + "]", peer));
        }
        if (f.has("peers")
                && peers.size() != settings.fleetSize()
                && settings.limits().peers()) {
            throw new JsonFields.InvalidFieldException(
                    "peers", peers.size() + " addresses", "one for each of settings.fleet_size");
        }
        JsonFields limits = f.partOr("limits");
        JsonFields ceilings = f.part("settings").part("ceilings");
        return new PlatformConfig(
                environment.getOrDefault("ROUTER_NAME", f.textOr("name", "nettlewick")),
                address(f, "listen", environment.get("ROUTER_LISTEN")),
                address(f, "discovery", environment.get("ROUTER_DISCOVERY")),
                seed(seed),
                (int) limits.wholeOr("sockets", 1024, 32, 1 << 20),
                f.has("peer_listen") ? address(f, "peer_listen", null) : null,
                peers,
                f.has("known") ? known(f.part("known")) : null,
                settings,
                ceilings.numberOr("connect_timeout", 1e9, 1e6, 1e11) / MILLION,
                ceilings.numberOr("conn_idle", 5e9, 1e6, 1e13) / MILLION,
                (int) ceilings.wholeOr("max_open", 10_000, 1, Integer.MAX_VALUE),
                f.part("settings").partOr("report").texts("names"),
                f.has("admin_addr") || environment.get("ROUTER_ADMIN_ADDR") != null
                        ? address(f, "admin_addr", environment.get("ROUTER_ADMIN_ADDR"))
                        : null);
    }

    private static EndpointListSnapshot known(JsonFields f) {
        EndpointListSnapshot known = EndpointListSnapshot.of(f);
        if (!known.faults().isEmpty()) {
            throw known.faults().get(0);
        }
        return known;
    }

    private static long seed(String text) {
        try {
            return Long.parseUnsignedLong(text, 16);
        } catch (NumberFormatException e) {
            throw new JsonFields.InvalidFieldException("seed", '"' + text + '"', "up to 16 hexadecimal digits");
        }
    }

    private static SocketAddress address(JsonFields f, String name, String over) {
        return Address.parse(name, over != null ? over : f.text(name));
    }

    private static SchedulerSettings settings(JsonFields f) {
        JsonFields family = f.partOr("family_info");
        List<Double> kinds = family.numbers("class_kind");
        List<Double> stretches = family.numbers("class_stretch");
        List<Double> priorities = family.numbers("class_priority");
        List<RequestClass> classes = new ArrayList<>();
        for (JsonFields c : f.parts("classes")) {
            int at = classes.size();
            classes.add(new RequestClass(
                    c.text("name"),
                    choice(c, "repeat", IDEMPOTENCY_NAMES, null),
                    choice(c, "dedup_scope", SCOPE_NAMES, Scope.ALL),
                    c.wholeOr("window", 0, 0, LONG_TIME),
                    c.whole("aim", 1, LONG_TIME),
                    c.numberOr("aim_stretch", at(stretches, at, 0), 0, 1e9),
                    c.wholeOr("deadline", 0, 0, LONG_TIME),
                    c.numberOr("worth", 1, 0, 1e9),
                    c.numberOr("late_worth", 0, 0, 1e9),
                    c.flag("stream"),
                    (int) at(kinds, at, -1),
                    (int) at(priorities, at, 0)));
        }
        List<Tenant> tenants = new ArrayList<>();
        for (JsonFields t : f.parts("tenants")) {
            tenants.add(
                    new Tenant(t.text("name"), t.numberOr("fraction", 0, 0, 1), t.numberOr("quota_per_s", 0, 0, 1e9)));
        }
        JsonFields l = f.part("ceilings");
        JsonFields r = f.part("rules");
        String source = f.partOr("report").textOr("source", "off");
        String weights = f.textOr("weights", "off");
        try {
            return new SchedulerSettings(
                    (int) f.whole("rank", 0, 1 << 20),
                    (int) f.whole("fleet_size", 1, 1 << 20),
                    f.textOr("zone", null),
                    classes,
                    tenants,
                    f.texts("models"),
                    "on_request".equals(f.textOr("membership_mode", "pushed")),
                    "nominal".equals(weights) || "rough".equals(weights),
                    "inline".equals(source)
                            ? LoadReporting.INLINE
                            : "on_probe".equals(source) ? LoadReporting.ON_PROBE : LoadReporting.OFF,
                    family.wholeOr("progress", 0, 0, LONG_TIME),
                    new Limits(
                            (int) l.whole("attempts_cap", 1, 1000),
                            l.flag("cancel"),
                            l.flag("peers"),
                            l.flag("probes"),
                            l.flag("retry_after"),
                            l.flag("second_copies"),
                            l.wholeOr("max_retry_after", 0, 0, LONG_TIME)),
                    new Rules(
                            r.wholeOr("answer_slack", 0, 0, LONG_TIME),
                            r.wholeOr("ask_within", 1_000_000_000, 0, LONG_TIME),
                            r.wholeOr("cold", 0, 0, LONG_TIME),
                            r.numberOr("cold_share", 1, 0, 1),
                            r.wholeOr("drain_grace", 0, 0, LONG_TIME),
                            r.wholeOr("fall", 0, 0, LONG_TIME),
                            r.numberOr("overload_factor", 1, 0, 1e9)));
        } catch (IllegalArgumentException e) {
            throw new JsonFields.InvalidFieldException("settings", e.getMessage(), "settings that make sense");
        }
    }

    private static double at(List<Double> list, int index, double otherwise) {
        return index < list.size() ? list.get(index) : otherwise;
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

    private static <E> E choice(JsonFields fields, String name, Map<String, E> values, E otherwise) {
        if (otherwise != null && !fields.has(name)) {
            return otherwise;
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
    List<String> needRestart(PlatformConfig next) {
        Map<String, Boolean> same = new LinkedHashMap<>();
        same.put("name", name.equals(next.name));
        same.put("listen", listen.equals(next.listen));
        same.put("limits.sockets", sockets == next.sockets);
        same.put("peer_listen", Objects.equals(peerListen, next.peerListen));
        same.put("admin_addr", Objects.equals(adminAddr, next.adminAddr));
        same.put("settings", settings.equals(next.settings));
        same.put("settings.ceilings.connect_timeout", connectTimeout == next.connectTimeout);
        return same.entrySet().stream()
                .filter(e -> !e.getValue())
                .map(Map.Entry::getKey)
                .toList();
    }

    /** This one, with what may change while the dispatcher runs as in that one. */
    PlatformConfig changed(PlatformConfig next) {
        return new PlatformConfig(
                name,
                listen,
                next.discovery,
                seed,
                sockets,
                peerListen,
                next.peers,
                known,
                settings,
                connectTimeout,
                next.connIdle,
                next.maxOpen,
                reportNames,
                adminAddr);
    }

    /** The same, but for clients at any free port: for a warm-up that nobody else sees. */
    PlatformConfig atFreePort() {
        return new PlatformConfig(
                name,
                SocketAddress.inetSocketAddress(0, listen.hostAddress()),
                discovery,
                seed,
                sockets,
                peerListen,
                peers,
                known,
                settings,
                connectTimeout,
                connIdle,
                maxOpen,
                reportNames,
                adminAddr);
    }

    /** Whether a job of this class may run more than once without harm. */
    boolean mayRepeat(String requestClass) {
        return settings.classes().stream()
                .anyMatch(c -> c.name().equals(requestClass) && c.idempotency() == Idempotency.IDEMPOTENT);
    }

    /** True if this is a class of the settings. */
    boolean hasClass(String name) {
        return settings.classes().stream().anyMatch(c -> c.name().equals(name));
    }
}
