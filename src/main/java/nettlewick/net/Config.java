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
import java.util.Map;
import java.util.Objects;
import nettlewick.decision.Dispatcher.*;

/** What the platform tells a dispatcher: {@code $ROUTER_CONFIG}, with the other variables over it. */
public record Config(
        String name,
        SocketAddress listen,
        SocketAddress discovery,
        long seed,
        int sockets,
        SocketAddress peerListen,
        List<SocketAddress> peers,
        ResolverResult known,
        Settings settings,
        double connectTimeout,
        double connIdle,
        int maxOpen,
        List<String> reportNames,
        SocketAddress adminAddr) {
    private static final double MILLION = 1e6;
    private static final long LONG_TIME = Long.MAX_VALUE / 4;

    /** Reads the configuration that these environment variables name. */
    public static Config load(Map<String, String> environment) {
        String file = environment.get("ROUTER_CONFIG");
        if (file == null) {
            throw new Fields.Bad("ROUTER_CONFIG", null, "the path of the configuration");
        }
        try {
            return of(Files.readString(Path.of(file)), environment);
        } catch (IOException | InvalidPathException e) {
            throw new Fields.Bad("ROUTER_CONFIG", file + " (" + e + ")", "a readable file");
        }
    }

    /**
     * Reads it once more, after SIGHUP. Danger: $ROUTER_DISCOVERY is as old as the process; the address that
     * the file names now counts over it.
     */
    public static Config reload(Map<String, String> environment) {
        Map<String, String> rest = new HashMap<>(environment);
        rest.remove("ROUTER_DISCOVERY");
        return load(rest);
    }

    /** Reads a configuration from its text. */
    public static Config of(String text, Map<String, String> environment) {
        Fields f = Fields.parse("the configuration", text);
        String seed = f.text("seed");
        Settings settings = settings(f.part("settings"));
        List<SocketAddress> peers = new ArrayList<>();
        for (String peer : f.texts("peers")) {
            peers.add(Address.parse(f.path("peers") + "[" + peers.size() + "]", peer));
        }
        if (f.has("peers")
                && peers.size() != settings.fleetSize()
                && settings.limits().peers()) {
            throw new Fields.Bad("peers", peers.size() + " addresses", "one for each of settings.fleet_size");
        }
        Fields limits = f.partOr("limits");
        Fields ceilings = f.part("settings").part("ceilings");
        return new Config(
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

    private static ResolverResult known(Fields f) {
        ResolverResult known = ResolverResult.of(f);
        if (!known.faults().isEmpty()) {
            throw known.faults().get(0);
        }
        return known;
    }

    private static long seed(String text) {
        try {
            return Long.parseUnsignedLong(text, 16);
        } catch (NumberFormatException e) {
            throw new Fields.Bad("seed", '"' + text + '"', "up to 16 hexadecimal digits");
        }
    }

    private static SocketAddress address(Fields f, String name, String over) {
        return Address.parse(name, over != null ? over : f.text(name));
    }

    private static Settings settings(Fields f) {
        Fields family = f.partOr("family_info");
        List<Double> kinds = family.numbers("class_kind");
        List<Double> stretches = family.numbers("class_stretch");
        List<Double> priorities = family.numbers("class_priority");
        List<JobClass> classes = new ArrayList<>();
        for (Fields c : f.parts("classes")) {
            int at = classes.size();
            classes.add(new JobClass(
                    c.text("name"),
                    choice(c, "repeat", Repeat.values(), null),
                    choice(c, "dedup_scope", Scope.values(), Scope.ALL),
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
        for (Fields t : f.parts("tenants")) {
            tenants.add(
                    new Tenant(t.text("name"), t.numberOr("fraction", 0, 0, 1), t.numberOr("quota_per_s", 0, 0, 1e9)));
        }
        Fields l = f.part("ceilings");
        Fields r = f.part("rules");
        String source = f.partOr("report").textOr("source", "off");
        String weights = f.textOr("weights", "off");
        try {
            return new Settings(
                    (int) f.whole("rank", 0, 1 << 20),
                    (int) f.whole("fleet_size", 1, 1 << 20),
                    f.textOr("zone", null),
                    classes,
                    tenants,
                    f.texts("models"),
                    "on_request".equals(f.textOr("membership_mode", "pushed")),
                    "nominal".equals(weights) || "rough".equals(weights),
                    "inline".equals(source)
                            ? Reports.INLINE
                            : "on_probe".equals(source) ? Reports.ON_PROBE : Reports.OFF,
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
            throw new Fields.Bad("settings", e.getMessage(), "settings that make sense");
        }
    }

    private static double at(List<Double> list, int index, double otherwise) {
        return index < list.size() ? list.get(index) : otherwise;
    }

    private static <E extends Enum<E>> E choice(Fields f, String name, E[] values, E otherwise) {
        if (otherwise != null && !f.has(name)) {
            return otherwise;
        }
        for (E value : values) {
            if (value.name().toLowerCase(java.util.Locale.ROOT).equals(f.text(name))) {
                return value;
            }
        }
        throw new Fields.Bad(f.path(name), f.text(name), "one of " + List.of(values));
    }

    /** The fields in which that one differs and which cannot change while the dispatcher runs. */
    List<String> needRestart(Config next) {
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
    Config changed(Config next) {
        return new Config(
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
    Config atFreePort() {
        return new Config(
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
    boolean mayRepeat(String jobClass) {
        return settings.classes().stream().anyMatch(c -> c.name().equals(jobClass) && c.repeat() == Repeat.RETRYABLE);
    }

    /** True if this is a class of the settings. */
    boolean hasClass(String name) {
        return settings.classes().stream().anyMatch(c -> c.name().equals(name));
    }
}
