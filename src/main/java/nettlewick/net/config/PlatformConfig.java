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
import java.util.Map;
import java.util.Objects;
import nettlewick.decision.SchedulerSettings;
import nettlewick.decision.SchedulerSettings.Idempotency;
import nettlewick.decision.SchedulerSettings.RequestClass;
import nettlewick.net.discovery.EndpointListSnapshot;
import nettlewick.net.format.JsonFields;
import nettlewick.net.format.SocketAddressParser;

/**
 * The configuration of a dispatcher: the file named by {@code $ROUTER_CONFIG}, overridden by other
 * environment variables.
 *
 * @param maxSockets how many descriptors the process may open
 * @param peerListen where peer messages are received; null for nowhere
 * @param knownEndpoints the endpoint list that the dispatcher starts with; null for none
 * @param connectTimeoutMillis time for a connection to an endpoint to be established
 * @param idleTimeoutMillis after how long endpoints close idle connections
 * @param maxInFlight how many requests may be in flight
 * @param adminListen where the admin frontend listens; null for nowhere
 */
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

    /**
     * Reads the configuration file that these environment variables name.
     *
     * @throws JsonFields.InvalidFieldException if the file cannot be read or a field is invalid
     */
    public static PlatformConfig load(Map<String, String> environment) {
        String file = environment.get("ROUTER_CONFIG");
        if (file == null) {
            throw new JsonFields.InvalidFieldException("ROUTER_CONFIG", null, "the path of the configuration file");
        }
        try {
            return parse(Files.readString(Path.of(file)), environment);
        } catch (IOException | InvalidPathException e) {
            throw new JsonFields.InvalidFieldException("ROUTER_CONFIG", file + " (" + e + ")", "a readable file");
        }
    }

    /**
     * Reloads the configuration after SIGHUP. The discovery address in the file takes precedence over
     * $ROUTER_DISCOVERY, which still has its value from the start of the process.
     */
    public static PlatformConfig reload(Map<String, String> environment) {
        Map<String, String> remaining = new HashMap<>(environment);
        remaining.remove("ROUTER_DISCOVERY");
        return load(remaining);
    }

    /**
     * Parses a configuration.
     *
     * @throws JsonFields.InvalidFieldException if a field is invalid
     */
    public static PlatformConfig parse(String text, Map<String, String> environment) {
        JsonFields fields = JsonFields.parse("the configuration", text);
        String seed = fields.text("seed");
        SchedulerSettings settings = SettingsParser.parse(fields.object("settings"));
        List<SocketAddress> peers = new ArrayList<>();
        for (String peer : fields.texts("peers")) {
            peers.add(SocketAddressParser.parse(fields.path("peers") + "[" + peers.size() + "]", peer));
        }
        if (fields.has("peers")
                && peers.size() != settings.fleetSize()
                && settings.limits().allowsPeers()) {
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

    /** The names of the fields in which that configuration differs and which only a restart can change. */
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

    /** This configuration, with the fields that may change at run time taken from that one. */
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

    /** This configuration with any free port to listen on, for a warm-up that no client sees. */
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

    /**
     * The random seed of a process. Both processes of a hot restart are configured with the same seed, but peers
     * identify an incarnation by a number drawn from it and would ignore messages of a second incarnation with the same
     * number.
     *
     * @param isSuccessor whether another process of this dispatcher was alive at the start
     */
    public long processSeed(boolean isSuccessor) {
        return isSuccessor ? seed ^ ProcessHandle.current().pid() * 0x9e3779b97f4a7c15L : seed;
    }

    /** Whether a request of this class may run more than once without harm. */
    public boolean isIdempotentClass(String name) {
        RequestClass requestClass = requestClass(name);
        return requestClass != null && requestClass.idempotency() == Idempotency.IDEMPOTENT;
    }

    /** Whether the settings define this request class. */
    public boolean hasClass(String name) {
        return requestClass(name) != null;
    }

    /** The request class of that name; null if the settings do not define it. */
    public RequestClass requestClass(String name) {
        return settings.classes().stream()
                .filter(c -> c.name().equals(name))
                .findFirst()
                .orElse(null);
    }
}
