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
    private static final double HOUR_MILLIS = 3_600_000;

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
        final List<Instance> instances = new ArrayList<>();
        final Map<String, Integer> sizeByKey = new LinkedHashMap<>();
    }

    private final long centsPerHour;
    private final long minBilledMillis;
    private final List<String> zones;
    private final Map<String, Pool> pools = new LinkedHashMap<>();
    private final Map<String, MonthlyCap> caps;
    private final List<String> violations = new ArrayList<>();
    private final List<AppliedResize> appliedResizes = new ArrayList<>();
    private double maxOverrunCents;
    private int startedCount;
    private int addedCount;
    private int staleFenceCount;
    private int versionConflictCount;
    private int repeatedKeyCount;

    /** @param cents an hour's price; @param least time that is billed at least */
    public ProviderModel(long centsPerHour, long minBilledMillis, List<String> zones, Map<String, MonthlyCap> caps) {
        this.centsPerHour = centsPerHour;
        this.minBilledMillis = minBilledMillis;
        this.zones = List.copyOf(zones);
        this.caps = Map.copyOf(caps);
    }

    private Pool pool(String tenant) {
        return pools.computeIfAbsent(tenant, key -> new Pool());
    }

    /**
     * So many are to run from now on; a key that has come before changes nothing, one that comes too late
     * neither.
     */
    public synchronized ResizeResult resize(
            String tenant, int size, String key, int version, long fence, long notAfter, long now) {
        Pool pool = pool(tenant);
        if (fence < pool.fence) {
            staleFenceCount++;
            return ResizeResult.FENCED;
        }
        pool.fence = fence;
        if (pool.sizeByKey.containsKey(key)) {
            repeatedKeyCount++;
            return ResizeResult.APPLIED;
        }
        if (version != pool.version || now > notAfter) {
            versionConflictCount++;
            return ResizeResult.VERSION_CONFLICT;
        }
        appliedResizes.add(new AppliedResize(tenant, fence));
        pool.sizeByKey.put(key, size);
        pool.version++;
        if (size > pool.size) {
            addedCount += size - pool.size;
            checkSpendingCap(tenant, pool, size, now);
        }
        pool.size = size;
        for (int i = pool.instances.size() - 1;
                i >= 0 && runningInstances(tenant).size() > size;
                i--) {
            Instance instance = pool.instances.get(i);
            if (instance.endedAt() == 0) {
                pool.instances.set(
                        i,
                        new Instance(
                                instance.name(), tenant, instance.kind(), instance.zone(), instance.startedAt(), now));
            }
        }
        return ResizeResult.APPLIED;
    }

    /** The rule that it keeps an eye on: an addition's cost, with what is owed, stays under the mark. */
    private void checkSpendingCap(String tenant, Pool pool, int size, long now) {
        MonthlyCap cap = caps.getOrDefault(tenant, new MonthlyCap(0, 0));
        double owedCents = pool.instances.stream()
                        .mapToDouble(instance -> costCents(instance, now))
                        .sum()
                + (size - runningInstances(tenant).size()) * minBilledMillis * centsPerHour / HOUR_MILLIS;
        maxOverrunCents = Math.max(maxOverrunCents, owedCents - cap.cents());
        if (owedCents > cap.cents() * cap.nearFraction()) {
            violations.add(
                    "added for " + tenant + " up to " + size + " with " + (long) owedCents + " owed of " + cap.cents());
        }
    }

    /**
     * How many more runners of the least time the member's mark would have paid for at that moment, by what
     * had been started by then.
     */
    public synchronized int affordableInstances(String tenant, long at) {
        MonthlyCap cap = caps.getOrDefault(tenant, new MonthlyCap(0, 0));
        double remainingCents = cap.cents() * cap.nearFraction();
        for (Instance instance : pool(tenant).instances) {
            long endedAt = instance.endedAt() == 0 ? at : Math.min(at, instance.endedAt());
            Instance instanceThen = new Instance(
                    instance.name(), tenant, instance.kind(), instance.zone(), instance.startedAt(), endedAt);
            remainingCents -= instance.startedAt() > at ? 0 : costCents(instanceThen, at);
        }
        return (int) Math.max(0, remainingCents * HOUR_MILLIS / (minBilledMillis * centsPerHour));
    }

    /** Hundredths by which an addition went beyond its member's cap; 0: none did. */
    public synchronized double maxOverrunCents() {
        return maxOverrunCents;
    }

    public synchronized List<AppliedResize> appliedResizes() {
        return List.copyOf(appliedResizes);
    }

    /** What a runner costs of this month, at its least time, if it ends now. */
    private double costCents(Instance instance, long now) {
        long monthStart = YearMonth.from(Instant.ofEpochMilli(now).atOffset(ZoneOffset.UTC))
                .atDay(1)
                .atStartOfDay(ZoneOffset.UTC)
                .toInstant()
                .toEpochMilli();
        long billedUntil =
                Math.max(instance.endedAt() == 0 ? now : instance.endedAt(), instance.startedAt() + minBilledMillis);
        return Math.max(0, billedUntil - Math.max(instance.startedAt(), monthStart)) * centsPerHour / HOUR_MILLIS;
    }

    /** Starts one runner that is wanted and does not run yet; null where none is. */
    public synchronized Instance start(String tenant, String kind, long now) {
        Pool pool = pool(tenant);
        if (runningInstances(tenant).size() >= pool.size) {
            return null;
        }
        Instance instance =
                new Instance("x" + startedCount, tenant, kind, zones.get(startedCount % zones.size()), now, 0);
        startedCount++;
        pool.instances.add(instance);
        return instance;
    }

    public synchronized List<Instance> runningInstances(String tenant) {
        return pool(tenant).instances.stream()
                .filter(instance -> instance.endedAt() == 0)
                .toList();
    }

    public synchronized List<Instance> allInstances(String tenant) {
        return List.copyOf(pool(tenant).instances);
    }

    public synchronized int size(String tenant) {
        return pool(tenant).size;
    }

    public synchronized int version(String tenant) {
        return pool(tenant).version;
    }

    public synchronized long fence(String tenant) {
        return pool(tenant).fence;
    }

    /** Hundredths by now, each at its least. */
    public synchronized double spentCents(String tenant, long now) {
        return pool(tenant).instances.stream()
                .mapToDouble(instance -> costCents(instance, now))
                .sum();
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
                addedCount,
                "acts",
                appliedResizes.size(),
                "stale_acts_tried",
                staleFenceCount,
                "stale_versions",
                versionConflictCount,
                "provider_repeated",
                repeatedKeyCount);
    }
}
