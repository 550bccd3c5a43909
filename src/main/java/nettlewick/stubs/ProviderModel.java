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
    public record MonthlyCap(long cents, double nearFraction) {}

    /** A runner; {@code until} 0: it runs. */
    public record Instance(String name, String tenant, String kind, String zone, long startedAt, long endedAt) {}

    /** A wish that was done, in the order in which they were. */
    public record AppliedResize(String tenant, long fence) {}

    /** What becomes of a wish. */
    public enum ResizeResult {
        APPLIED,
        VERSION_CONFLICT,
        FENCED
    }

    private static final class Pool {
        int size;
        int version = 1;
        long fence;
        final List<Instance> runners = new ArrayList<>();
        final Map<String, Integer> keys = new LinkedHashMap<>();
    }

    private final long centsPerHour;
    private final long minBilledMillis;
    private final List<String> zones;
    private final Map<String, Pool> pools = new LinkedHashMap<>();
    private final Map<String, MonthlyCap> caps;
    private final List<String> violations = new ArrayList<>();
    private final List<AppliedResize> appliedResizes = new ArrayList<>();
    private double maxOverrunCents;
    private int started;
    private int added;
    private int staleFences;
    private int staleVersions;
    private int repeated;

    /** @param cents an hour's price; @param least time that is billed at least */
    public ProviderModel(long cents, long least, List<String> zones, Map<String, MonthlyCap> caps) {
        this.centsPerHour = cents;
        this.minBilledMillis = least;
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
    public synchronized ResizeResult resize(
            String member, int size, String key, int version, long fence, long notAfter, long now) {
        Pool pool = pool(member);
        if (fence < pool.fence) {
            staleFences++;
            return ResizeResult.FENCED;
        }
        pool.fence = fence;
        if (pool.keys.containsKey(key)) {
            repeated++;
            return ResizeResult.APPLIED;
        }
        if (version != pool.version || now > notAfter) {
            staleVersions++;
            return ResizeResult.VERSION_CONFLICT;
        }
        appliedResizes.add(new AppliedResize(member, fence));
        pool.keys.put(key, size);
        pool.version++;
        if (size > pool.size) {
            added += size - pool.size;
            check(member, pool, size, now);
        }
        pool.size = size;
        for (int i = pool.runners.size() - 1; i >= 0 && runningInstances(member).size() > size; i--) {
            Instance r = pool.runners.get(i);
            if (r.endedAt() == 0) {
                pool.runners.set(i, new Instance(r.name(), member, r.kind(), r.zone(), r.startedAt(), now));
            }
        }
        return ResizeResult.APPLIED;
    }

    /** The rule that it keeps an eye on: an addition's cost, with what is owed, stays under the mark. */
    private void check(String member, Pool pool, int size, long now) {
        MonthlyCap cap = caps.getOrDefault(member, new MonthlyCap(0, 0));
        double owed = pool.runners.stream().mapToDouble(r -> cost(r, now)).sum()
                + (size - runningInstances(member).size()) * minBilledMillis * centsPerHour / HOUR;
        maxOverrunCents = Math.max(maxOverrunCents, owed - cap.cents());
        if (owed > cap.cents() * cap.nearFraction()) {
            violations.add(
                    "added for " + member + " up to " + size + " with " + (long) owed + " owed of " + cap.cents());
        }
    }

    /**
     * How many more runners of the least time the member's mark would have paid for at that moment, by what
     * had been started by then.
     */
    public synchronized int affordableInstances(String member, long at) {
        MonthlyCap cap = caps.getOrDefault(member, new MonthlyCap(0, 0));
        double left = cap.cents() * cap.nearFraction();
        for (Instance r : pool(member).runners) {
            long until = r.endedAt() == 0 ? at : Math.min(at, r.endedAt());
            Instance then = new Instance(r.name(), member, r.kind(), r.zone(), r.startedAt(), until);
            left -= r.startedAt() > at ? 0 : cost(then, at);
        }
        return (int) Math.max(0, left * HOUR / (minBilledMillis * centsPerHour));
    }

    /** Hundredths by which an addition went beyond its member's cap; 0: none did. */
    public synchronized double maxOverrunCents() {
        return maxOverrunCents;
    }

    public synchronized List<AppliedResize> appliedResizes() {
        return List.copyOf(appliedResizes);
    }

    /** What a runner costs of this month, at its least time, if it ends now. */
    private double cost(Instance r, long now) {
        long month = YearMonth.from(Instant.ofEpochMilli(now).atOffset(ZoneOffset.UTC))
                .atDay(1)
                .atStartOfDay(ZoneOffset.UTC)
                .toInstant()
                .toEpochMilli();
        long until = Math.max(r.endedAt() == 0 ? now : r.endedAt(), r.startedAt() + minBilledMillis);
        return Math.max(0, until - Math.max(r.startedAt(), month)) * centsPerHour / HOUR;
    }

    /** Starts one runner that is wanted and does not run yet; null where none is. */
    public synchronized Instance start(String member, String kind, long now) {
        Pool pool = pool(member);
        if (runningInstances(member).size() >= pool.size) {
            return null;
        }
        Instance r = new Instance("x" + started, member, kind, zones.get(started % zones.size()), now, 0);
        started++;
        pool.runners.add(r);
        return r;
    }

    public synchronized List<Instance> runningInstances(String member) {
        return pool(member).runners.stream().filter(r -> r.endedAt() == 0).toList();
    }

    public synchronized List<Instance> allInstances(String member) {
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
    public synchronized double spentCents(String member, long now) {
        return pool(member).runners.stream().mapToDouble(r -> cost(r, now)).sum();
    }

    public long centsPerHour() {
        return centsPerHour;
    }

    public long minBilledMillis() {
        return minBilledMillis;
    }

    public synchronized List<String> violations() {
        return List.copyOf(violations);
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
                appliedResizes.size(),
                "stale_acts_tried",
                staleFences,
                "stale_versions",
                staleVersions,
                "provider_repeated",
                repeated);
    }
}
