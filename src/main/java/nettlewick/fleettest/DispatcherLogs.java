package nettlewick.fleettest;

import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.stream.Stream;

/**
 * The dispatchers' logs, checked against the endpoints that received tenants' attempts. An attempt must not reach an
 * endpoint that its dispatcher knew to be dedicated to another tenant, a confined tenant must stay in its own pool,
 * and no term of a lease may have two holders.
 */
final class DispatcherLogs {
    /** A log line with its time in milliseconds of the test's clock. */
    record Line(double at, int dispatcher, int incarnation, JsonObject json) {
        String event() {
            return json.get("event").getAsString();
        }

        String field(String name) {
            return json.has(name) ? json.get(name).getAsString() : "";
        }
    }

    /** A tenant pool as a dispatcher applies it. */
    private record FollowedPool(String tenant, boolean isExclusive, boolean isConfined, Set<String> endpoints) {}

    private static final String POOLS_FOLLOWED = "pools-followed";
    private final List<Line> lines;

    DispatcherLogs(List<Line> lines) {
        this.lines = lines;
    }

    /** @param beganAtUnixMillis the Unix time at which the test's clock began */
    static DispatcherLogs read(Path folder, double beganAtUnixMillis) throws IOException {
        return read(folder, beganAtUnixMillis, "");
    }

    /** Reads only lines that contain a word, because parsing all logs of hundreds of processes takes seconds. */
    static DispatcherLogs read(Path folder, double beganAtUnixMillis, String word) throws IOException {
        List<Line> lines = new ArrayList<>();
        try (Stream<Path> logs = Files.list(folder)) {
            for (Path process : logs.filter(p -> p.getFileName().toString().matches("n\\d+-\\d+"))
                    .toList()) {
                String[] name = process.getFileName().toString().substring(1).split("-");
                for (String text : Files.readAllLines(process.resolve("log"))) {
                    JsonObject json = text.contains(word) ? parse(text) : null;
                    if (json != null) {
                        lines.add(new Line(
                                Instant.parse(json.get("time").getAsString()).toEpochMilli() - beganAtUnixMillis,
                                Integer.parseInt(name[0]),
                                Integer.parseInt(name[1]),
                                json));
                    }
                }
            }
        }
        lines.sort((a, b) -> Double.compare(a.at(), b.at()));
        return new DispatcherLogs(lines);
    }

    /** Returns null for a line that was cut off by a kill. */
    private static JsonObject parse(String text) {
        try {
            JsonObject json =
                    text.startsWith("{") ? JsonParser.parseString(text).getAsJsonObject() : null;
            return json != null && json.has("event") && json.has("time") ? json : null;
        } catch (JsonParseException | IllegalStateException e) {
            return null;
        }
    }

    List<Line> lines(List<String> events) {
        return lines.stream().filter(l -> events.contains(l.event())).toList();
    }

    List<Line> eventLines(String event) {
        return lines.stream().filter(l -> l.event().equals(event)).toList();
    }

    long count(String event) {
        return eventLines(event).size();
    }

    /** Returns the holder of a tenant's lease task by the highest logged term; -1 if there is none yet. */
    int leaseHolder(String tenant) {
        long term = -1;
        int holder = -1;
        for (Line l : eventLines("duty-held")) {
            if (l.field("duty").equals("pool-" + tenant) && Long.parseLong(l.field("term")) > term) {
                term = Long.parseLong(l.field("term"));
                holder = l.dispatcher();
            }
        }
        return holder;
    }

    /** Returns when a lease task was next held after a time; NaN if never. */
    private double nextHeldAt(String task, double at) {
        return eventLines("duty-held").stream()
                .filter(l -> l.field("duty").equals(task) && l.at() > at)
                .mapToDouble(Line::at)
                .findFirst()
                .orElse(Double.NaN);
    }

    /** Returns the longest time in milliseconds from a planned handover to the next holder. */
    double longestPlannedHandoverMillis() {
        return eventLines("duty-handed-on").stream()
                .mapToDouble(l -> nextHeldAt(l.field("duty"), l.at()) - l.at())
                .filter(t -> !Double.isNaN(t))
                .max()
                .orElse(Double.NaN);
    }

    /** Returns the longest time in milliseconds from steps against a holder to the next holder. */
    double longestHandoverMillis(String tenant, List<Double> stepTimes) {
        return stepTimes.stream()
                .mapToDouble(at -> nextHeldAt("pool-" + tenant, at) - at)
                .filter(t -> !Double.isNaN(t))
                .max()
                .orElse(Double.NaN);
    }

    /** Returns the milliseconds from a time until a tenant's migration began; NaN if it did not. */
    double millisToDetection(String tenant, double at) {
        return eventLines("pool-reserve").stream()
                .filter(l -> l.field("member").equals(tenant) && l.at() > at)
                .mapToDouble(l -> l.at() - at)
                .findFirst()
                .orElse(Double.NaN);
    }

    /**
     * Reports all violations to the checker.
     *
     * @param fleetKills when all dispatchers lost their state at once
     * @param choiceToArrivalMillis longest time between a dispatcher's choice and the attempt's arrival at the
     *     endpoint
     * @param isServing whether an endpoint serves at the end of the run
     */
    void check(
            InvariantChecker checker,
            List<Double> fleetKills,
            double choiceToArrivalMillis,
            Predicate<String> isServing) {
        checkTerms(checker, fleetKills);
        Map<Integer, List<Line>> linesByDispatcher = new HashMap<>();
        lines.stream()
                .filter(l -> l.event().equals(POOLS_FOLLOWED) || l.event().equals("listens"))
                .forEach(l -> linesByDispatcher
                        .computeIfAbsent(l.dispatcher(), d -> new ArrayList<>())
                        .add(l));
        for (InvariantChecker.Arrival arrival : checker.arrivals()) {
            for (FollowedPool pool : poolsInForce(
                    linesByDispatcher.getOrDefault(arrival.dispatcher(), List.of()), arrival, choiceToArrivalMillis)) {
                boolean isOwn = pool.tenant().equals(arrival.tenant());
                if (!isOwn && pool.isExclusive() && pool.endpoints().contains(arrival.endpoint())) {
                    checker.addViolation(
                            "foreign pool",
                            arrival.requestId(),
                            arrival.at(),
                            arrival.tenant() + " from n" + arrival.dispatcher() + " at " + arrival.endpoint() + " of "
                                    + pool);
                } else if (isOwn
                        && pool.isConfined()
                        && !pool.endpoints().contains(arrival.endpoint())
                        && pool.endpoints().stream().anyMatch(isServing)) {
                    checker.addViolation(
                            "own pool",
                            arrival.requestId(),
                            arrival.at(),
                            arrival.tenant() + " from n" + arrival.dispatcher() + " at " + arrival.endpoint()
                                    + " outside " + pool);
                }
            }
        }
    }

    /**
     * Returns the pools that a dispatcher applied during all the time in which it can have sent an attempt. A
     * dispatcher that has just started applies none until it has received them.
     */
    private static List<FollowedPool> poolsInForce(
            List<Line> lines, InvariantChecker.Arrival arrival, double choiceToArrivalMillis) {
        Line latest = null;
        for (Line l : lines) {
            if (l.at() > arrival.at()) {
                break;
            }
            if (l.at() > arrival.at() - choiceToArrivalMillis) {
                return List.of();
            }
            latest = l;
        }
        return latest == null || !latest.event().equals(POOLS_FOLLOWED)
                ? List.of()
                : parsePools(latest.field("follows"));
    }

    /**
     * Parses {@code red:1:0:s1,s2;blue:1:1:s3}: tenant, whether the pool is exclusive, whether the tenant is confined
     * to it, endpoints.
     */
    private static List<FollowedPool> parsePools(String text) {
        List<FollowedPool> pools = new ArrayList<>();
        for (String entry : text.isEmpty() ? new String[0] : text.split(";")) {
            String[] fields = entry.split(":", -1);
            pools.add(new FollowedPool(
                    fields[0],
                    fields[1].equals("1"),
                    fields[2].equals("1"),
                    new HashSet<>(List.of(fields[3].split(",")))));
        }
        return pools;
    }

    /**
     * Checks terms separately between kills of the whole fleet, because a fleet that has lost all state numbers terms
     * anew.
     */
    private void checkTerms(InvariantChecker checker, List<Double> fleetKills) {
        double from = Double.NEGATIVE_INFINITY;
        for (double fleetKill : fleetKills) {
            checkTerms(checker, from, fleetKill);
            from = fleetKill;
        }
        checkTerms(checker, from, Double.POSITIVE_INFINITY);
    }

    private void checkTerms(InvariantChecker checker, double from, double to) {
        Map<String, TreeMap<Long, Long>> fences = new HashMap<>();
        for (Line l : eventLines("duty-held").stream()
                .filter(l -> l.at() >= from && l.at() < to)
                .toList()) {
            Long term = Long.parseLong(l.field("term"));
            Long fence = Long.parseLong(l.field("fence"));
            Long other = fences.computeIfAbsent(l.field("duty"), d -> new TreeMap<>())
                    .put(term, fence);
            if (other != null && !other.equals(fence)) {
                checker.addViolation(
                        "two holders",
                        l.field("duty"),
                        l.at(),
                        "term " + term + " has fences " + other + " and " + fence);
            }
        }
        fences.forEach((task, terms) -> {
            long last = -1;
            for (Map.Entry<Long, Long> e : terms.entrySet()) {
                if (e.getValue() <= last) {
                    checker.addViolation(
                            "fences",
                            task,
                            0,
                            "term " + e.getKey() + " has fence " + e.getValue() + " after fence " + last);
                }
                last = e.getValue();
            }
        });
    }
}
