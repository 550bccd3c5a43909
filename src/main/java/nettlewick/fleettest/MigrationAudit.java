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
 * What the processes' logs tell of duties and pools, held against where members' jobs went: nobody at a pool
 * that it had been told of as another's, no member outside its own, no term of a duty held twice.
 */
final class MigrationAudit {
    /** What a process said at a time of the lab's clock. */
    record Line(double at, int dispatcher, int life, JsonObject said) {
        String event() {
            return said.get("event").getAsString();
        }

        String field(String name) {
            return said.has(name) ? said.get(name).getAsString() : "";
        }
    }

    /** A pool as a dispatcher follows it. */
    private record Pool(String member, boolean shut, boolean confined, Set<String> runners) {}

    private static final String FOLLOWED = "pools-followed";
    private final List<Line> lines;

    MigrationAudit(List<Line> lines) {
        this.lines = lines;
    }

    /** @param wall the Unix time of the lab clock's beginning */
    static MigrationAudit read(Path folder, double wall) throws IOException {
        return read(folder, wall, "");
    }

    /** Of lines with that word alone: all that hundreds of processes have said takes seconds to read. */
    static MigrationAudit read(Path folder, double wall, String word) throws IOException {
        List<Line> lines = new ArrayList<>();
        try (Stream<Path> logs = Files.list(folder)) {
            for (Path process : logs.filter(p -> p.getFileName().toString().matches("n\\d+-\\d+"))
                    .toList()) {
                String[] name = process.getFileName().toString().substring(1).split("-");
                for (String text : Files.readAllLines(process.resolve("log"))) {
                    JsonObject said = text.contains(word) ? parse(text) : null;
                    if (said != null) {
                        lines.add(new Line(
                                Instant.parse(said.get("time").getAsString()).toEpochMilli() - wall,
                                Integer.parseInt(name[0]),
                                Integer.parseInt(name[1]),
                                said));
                    }
                }
            }
        }
        lines.sort((a, b) -> Double.compare(a.at(), b.at()));
        return new MigrationAudit(lines);
    }

    /** Lines that are cut off by a kill are none. */
    private static JsonObject parse(String text) {
        try {
            JsonObject said =
                    text.startsWith("{") ? JsonParser.parseString(text).getAsJsonObject() : null;
            return said != null && said.has("event") && said.has("time") ? said : null;
        } catch (JsonParseException | IllegalStateException e) {
            return null;
        }
    }

    List<Line> lines(List<String> events) {
        return lines.stream().filter(l -> events.contains(l.event())).toList();
    }

    List<Line> all(String event) {
        return lines.stream().filter(l -> l.event().equals(event)).toList();
    }

    long count(String event) {
        return all(event).size();
    }

    /** Who holds a member's duty, by the latest term that was told; -1: nobody yet. */
    int holder(String member) {
        long term = -1;
        int holder = -1;
        for (Line l : all("duty-held")) {
            if (l.field("duty").equals("pool-" + member) && Long.parseLong(l.field("term")) > term) {
                term = Long.parseLong(l.field("term"));
                holder = l.dispatcher();
            }
        }
        return holder;
    }

    /** When a member's duty was held next after that time; NaN: never. */
    private double heldAfter(String duty, double at) {
        return all("duty-held").stream()
                .filter(l -> l.field("duty").equals(duty) && l.at() > at)
                .mapToDouble(Line::at)
                .findFirst()
                .orElse(Double.NaN);
    }

    /** The longest time, in milliseconds, from a planned end's word to the next holder's. */
    double plannedHandover() {
        return all("duty-handed-on").stream()
                .mapToDouble(l -> heldAfter(l.field("duty"), l.at()) - l.at())
                .filter(t -> !Double.isNaN(t))
                .max()
                .orElse(Double.NaN);
    }

    /** The same from such steps against a holder, by the times given. */
    double handover(String member, List<Double> steps) {
        return steps.stream()
                .mapToDouble(at -> heldAfter("pool-" + member, at) - at)
                .filter(t -> !Double.isNaN(t))
                .max()
                .orElse(Double.NaN);
    }

    /** From that time until a member's move began; NaN: it did not. */
    double found(String member, double at) {
        return all("pool-reserve").stream()
                .filter(l -> l.field("member").equals(member) && l.at() > at)
                .mapToDouble(l -> l.at() - at)
                .findFirst()
                .orElse(Double.NaN);
    }

    /**
     * All that was broken, to the audit.
     *
     * @param losses when all dispatchers lost their memory at once
     * @param margin between a dispatcher's choice and the attempt's arrival at the runner
     * @param serves whether a runner serves at the end
     */
    void check(InvariantChecker audit, List<Double> losses, double margin, Predicate<String> serves) {
        terms(audit, losses);
        Map<Integer, List<Line>> followed = new HashMap<>();
        lines.stream()
                .filter(l -> l.event().equals(FOLLOWED) || l.event().equals("listens"))
                .forEach(l -> followed.computeIfAbsent(l.dispatcher(), d -> new ArrayList<>())
                        .add(l));
        for (InvariantChecker.Arrival a : audit.arrivals()) {
            for (Pool pool : inForce(followed.getOrDefault(a.dispatcher(), List.of()), a, margin)) {
                boolean own = pool.member().equals(a.member());
                if (!own && pool.shut() && pool.runners().contains(a.runner())) {
                    audit.broken(
                            "foreign pool",
                            a.id(),
                            a.at(),
                            a.member() + " from n" + a.dispatcher() + " at " + a.runner() + " of " + pool);
                } else if (own
                        && pool.confined()
                        && !pool.runners().contains(a.runner())
                        && pool.runners().stream().anyMatch(serves)) {
                    audit.broken(
                            "own pool",
                            a.id(),
                            a.at(),
                            a.member() + " from n" + a.dispatcher() + " at " + a.runner() + " outside " + pool);
                }
            }
        }
    }

    /**
     * What a dispatcher went by all the time in which it can have sent this; one that has just started goes
     * by
     * nothing until it has heard.
     */
    private static List<Pool> inForce(List<Line> followed, InvariantChecker.Arrival a, double margin) {
        Line before = null;
        for (Line l : followed) {
            if (l.at() > a.at()) {
                break;
            }
            if (l.at() > a.at() - margin) {
                return List.of();
            }
            before = l;
        }
        return before == null || !before.event().equals(FOLLOWED) ? List.of() : pools(before.field("follows"));
    }

    /** {@code red:1:0:s1,s2;blue:1:1:s3}: member, whether it is shut and confined, runners. */
    private static List<Pool> pools(String text) {
        List<Pool> pools = new ArrayList<>();
        for (String one : text.isEmpty() ? new String[0] : text.split(";")) {
            String[] part = one.split(":", -1);
            pools.add(new Pool(
                    part[0], part[1].equals("1"), part[2].equals("1"), new HashSet<>(List.of(part[3].split(",")))));
        }
        return pools;
    }

    /** Danger: a tier that has lost all memory at once counts anew; what it did before is another matter. */
    private void terms(InvariantChecker audit, List<Double> losses) {
        double from = Double.NEGATIVE_INFINITY;
        for (double loss : losses) {
            terms(audit, from, loss);
            from = loss;
        }
        terms(audit, from, Double.POSITIVE_INFINITY);
    }

    private void terms(InvariantChecker audit, double from, double to) {
        Map<String, TreeMap<Long, Long>> fences = new HashMap<>();
        for (Line l : all("duty-held").stream()
                .filter(l -> l.at() >= from && l.at() < to)
                .toList()) {
            Long term = Long.parseLong(l.field("term"));
            Long fence = Long.parseLong(l.field("fence"));
            Long other = fences.computeIfAbsent(l.field("duty"), d -> new TreeMap<>())
                    .put(term, fence);
            if (other != null && !other.equals(fence)) {
                audit.broken(
                        "two holders", l.field("duty"), l.at(), "term " + term + " under " + other + " and " + fence);
            }
        }
        fences.forEach((duty, terms) -> {
            long last = -1;
            for (Map.Entry<Long, Long> e : terms.entrySet()) {
                if (e.getValue() <= last) {
                    audit.broken("fences", duty, 0, "term " + e.getKey() + " under " + e.getValue() + " after " + last);
                }
                last = e.getValue();
            }
        });
    }
}
