package nettlewick.stubs;

import java.time.Instant;
import java.time.YearMonth;
import java.time.ZoneOffset;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A provider of sim runners: for each member how many are to run, what runs and ran, under which fence and
 * which
 * version. Checks by itself that nothing is added past a member's mark. Pure: time is handed in, in
 * milliseconds of Unix time.
 */
public final class ProviderModel {
    private static final double HOUR = 3_600_000;

    /** What a member may spend in a month, in hundredths, and the part of it past which nothing is added. */
    public record Cap(long cents, double near) {}

    /** A runner; {@code until} 0: it runs. */
    public record Runner(String name, String member, String kind, String zone, long since, long until) {}

    /** A wish that was done, in the order in which they were. */
    public record Act(String member, long fence) {}

    /** What becomes of a wish. */
    public enum Way {
        DONE,
        STALE,
        FENCED
    }

    private static final class Pool {
        int size;
        int version = 1;
        long fence;
        final List<Runner> runners = new ArrayList<>();
        final Map<String, Integer> keys = new LinkedHashMap<>();
    }

    private final long cents;
    private final long least;
    private final List<String> zones;
    private final Map<String, Pool> pools = new LinkedHashMap<>();
    private final Map<String, Cap> caps;
    private final List<String> breaks = new ArrayList<>();
    private final List<Act> acts = new ArrayList<>();
    private double overrun;
    private int started;
    private int added;
    private int staleFences;
    private int staleVersions;
    private int repeated;

    /** @param cents an hour's price; @param least time that is billed at least */
    public ProviderModel(long cents, long least, List<String> zones, Map<String, Cap> caps) {
        this.cents = cents;
        this.least = least;
        this.zones = List.copyOf(zones);
        this.caps = Map.copyOf(caps);
    }

    private Pool pool(String member) {
        return pools.computeIfAbsent(member, m -> new Pool());
    }

    /**
     * So many are to run from now on; a key that has come before changes nothing, one that comes too late
     * neither.
     */
    public synchronized Way want(
            String member, int size, String key, int version, long fence, long notAfter, long now) {
        Pool pool = pool(member);
        if (fence < pool.fence) {
            staleFences++;
            return Way.FENCED;
        }
        pool.fence = fence;
        if (pool.keys.containsKey(key)) {
            repeated++;
            return Way.DONE;
        }
        if (version != pool.version || now > notAfter) {
            staleVersions++;
            return Way.STALE;
        }
        acts.add(new Act(member, fence));
        pool.keys.put(key, size);
        pool.version++;
        if (size > pool.size) {
            added += size - pool.size;
            check(member, pool, size, now);
        }
        pool.size = size;
        for (int i = pool.runners.size() - 1; i >= 0 && running(member).size() > size; i--) {
            Runner r = pool.runners.get(i);
            if (r.until() == 0) {
                pool.runners.set(i, new Runner(r.name(), member, r.kind(), r.zone(), r.since(), now));
            }
        }
        return Way.DONE;
    }

    /** The rule that it keeps an eye on: an addition's cost, with what is owed, stays under the mark. */
    private void check(String member, Pool pool, int size, long now) {
        Cap cap = caps.getOrDefault(member, new Cap(0, 0));
        double owed = pool.runners.stream().mapToDouble(r -> cost(r, now)).sum()
                + (size - running(member).size()) * least * cents / HOUR;
        overrun = Math.max(overrun, owed - cap.cents());
        if (owed > cap.cents() * cap.near()) {
            breaks.add("added for " + member + " up to " + size + " with " + (long) owed + " owed of " + cap.cents());
        }
    }

    /**
     * How many more runners of the least time the member's mark would have paid for at that moment, by what
     * had been started by then.
     */
    public synchronized int unspent(String member, long at) {
        Cap cap = caps.getOrDefault(member, new Cap(0, 0));
        double left = cap.cents() * cap.near();
        for (Runner r : pool(member).runners) {
            long until = r.until() == 0 ? at : Math.min(at, r.until());
            Runner then = new Runner(r.name(), member, r.kind(), r.zone(), r.since(), until);
            left -= r.since() > at ? 0 : cost(then, at);
        }
        return (int) Math.max(0, left * HOUR / (least * cents));
    }

    /** Hundredths by which an addition went beyond its member's cap; 0: none did. */
    public synchronized double overrun() {
        return overrun;
    }

    public synchronized List<Act> acts() {
        return List.copyOf(acts);
    }

    /** What a runner costs of this month, at its least time, if it ends now. */
    private double cost(Runner r, long now) {
        long month = YearMonth.from(Instant.ofEpochMilli(now).atOffset(ZoneOffset.UTC))
                .atDay(1)
                .atStartOfDay(ZoneOffset.UTC)
                .toInstant()
                .toEpochMilli();
        long until = Math.max(r.until() == 0 ? now : r.until(), r.since() + least);
        return Math.max(0, until - Math.max(r.since(), month)) * cents / HOUR;
    }

    /** Starts one runner that is wanted and does not run yet; null where none is. */
    public synchronized Runner start(String member, String kind, long now) {
        Pool pool = pool(member);
        if (running(member).size() >= pool.size) {
            return null;
        }
        Runner r = new Runner("x" + started, member, kind, zones.get(started % zones.size()), now, 0);
        started++;
        pool.runners.add(r);
        return r;
    }

    public synchronized List<Runner> running(String member) {
        return pool(member).runners.stream().filter(r -> r.until() == 0).toList();
    }

    public synchronized List<Runner> all(String member) {
        return List.copyOf(pool(member).runners);
    }

    public synchronized int size(String member) {
        return pool(member).size;
    }

    public synchronized int version(String member) {
        return pool(member).version;
    }

    public synchronized long fence(String member) {
        return pool(member).fence;
    }

    /** Hundredths by now, each at its least. */
    public synchronized double spent(String member, long now) {
        return pool(member).runners.stream().mapToDouble(r -> cost(r, now)).sum();
    }

    public long cents() {
        return cents;
    }

    public long least() {
        return least;
    }

    public synchronized List<String> breaks() {
        return List.copyOf(breaks);
    }

    /**
     * Runners wished for in all, wishes done, acts refused for their fence and their version, and wishes
     * that came again.
     */
    public synchronized Map<String, Integer> counts() {
        return Map.of(
                "provider_added",
                added,
                "acts",
                acts.size(),
                "stale_acts_tried",
                staleFences,
                "stale_versions",
                staleVersions,
                "provider_repeated",
                repeated);
    }
}
