package nettlewick.stubs;

import java.time.Instant;
import java.time.YearMonth;
import java.time.ZoneOffset;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Model of a provider of endpoints: the requested size, the instances, the fence and the version of each tenant's
 * pool. Records a violation if instances are added beyond the near-cap fraction of a tenant's cap. Does no I/O and
 * reads no clock: times are arguments, in Unix milliseconds.
 */
public final class ProviderModel {
    private static final double HOUR_MILLIS = 3_600_000;

    /** The monthly spending cap of a tenant, and the fraction of it beyond which nothing may be added. */
    public record MonthlyCap(long cents, double nearFraction) {}

    /** An instance; {@code endedAt} is 0 while it runs. */
    public record Instance(String name, String tenant, String kind, String zone, long startedAt, long endedAt) {}

    /** A resize that was applied. */
    public record AppliedResize(String tenant, long fence) {}

    /** The result of a resize. */
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

    /**
     * Creates a provider without instances.
     *
     * @param centsPerHour    the price of an instance
     * @param minBilledMillis the time that is billed at least for each instance
     */
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
     * Sets the number of instances that are to run. A key that was applied before, a stale fence or version, and a
     * request after {@code notAfter} change nothing.
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

    /** Records a violation if the cost of an addition and the amount owed exceed the near-cap fraction. */
    private void checkSpendingCap(String tenant, Pool pool, int size, long now) {
        MonthlyCap cap = caps.getOrDefault(tenant, new MonthlyCap(0, 0));
        double owedCents = pool.instances.stream()
                        .mapToDouble(instance -> costCents(instance, now))
                        .sum()
                + (size - runningInstances(tenant).size()) * minBilledMillis * centsPerHour / HOUR_MILLIS;
        maxOverrunCents = Math.max(maxOverrunCents, owedCents - cap.cents());
        if (owedCents > cap.cents() * cap.nearFraction()) {
            violations.add("resize of " + tenant + " to " + size + ": " + (long) owedCents + " cents owed of a cap of "
                    + cap.cents());
        }
    }

    /**
     * The number of further instances, each for the minimum time, that the near-cap fraction of the tenant's cap would
     * have paid for at a time in the past, given the instances started by then.
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

    /** The most by which an addition exceeded its tenant's cap; 0 if none did. */
    public synchronized double maxOverrunCents() {
        return maxOverrunCents;
    }

    public synchronized List<AppliedResize> appliedResizes() {
        return List.copyOf(appliedResizes);
    }

    /** The cost of an instance in the current month if it ends now, with the minimum time billed. */
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

    /** Starts an instance; null if the requested number runs already. */
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

    /** The cost of a tenant's instances in the current month so far, with the minimum time billed for each. */
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
     * The numbers of instances added, resizes applied, resizes rejected for their fence and for their version, and
     * resizes repeated with the same key.
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
