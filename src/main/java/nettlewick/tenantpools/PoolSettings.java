package nettlewick.tenantpools;

import java.net.URI;
import java.time.ZoneId;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import nettlewick.contention.PoolMigration;
import nettlewick.decision.SchedulerSettings.Tenant;
import nettlewick.settings.Block;

/**
 * The block {@code pools}, checked; times in milliseconds.
 *
 * @param members those that are looked after, by name
 * @param shares  of all members of the platform's configuration
 * @param url     where the provider is asked; null: no runner is ever added
 * @param window  of evidence
 */
record PoolSettings(
        Map<String, TenantSettings> tenants,
        Map<String, Double> quotas,
        URI providerUrl,
        double windowMillis,
        double maxPoolFraction,
        double settleMillis,
        double scaleOutTimeoutMillis,
        double drainMillis,
        double minStayMillis,
        double staleAfterMillis,
        double providerTimeoutMillis) {
    private static final String LEASE_PREFIX = "pool-";

    /**
     * @param growth null: nothing is added for it
     * @param kind   of runners that are added
     * @param most   so many of them at once
     */
    record TenantSettings(
            PoolMigration.OperatorPolicy policy,
            ScaleOutPolicy.ScaleOutSettings scaleOut,
            String endpointKind,
            int maxAddedEndpoints) {}

    static String leaseName(String tenant) {
        return LEASE_PREFIX + tenant;
    }

    /** @throws nettlewick.settings.BadSettings where the lines do not fit one another, or the tenants */
    static PoolSettings of(Block block, List<Tenant> tenants) {
        Map<String, Double> quotas = new LinkedHashMap<>();
        tenants.forEach(t -> quotas.put(t.name(), t.fraction()));
        Map<String, PoolMigration.OperatorPolicy> policies = new LinkedHashMap<>();
        for (Block.Value line : block.all("keep")) {
            policies.put(
                    line.part(0),
                    line.part(1).equals("pool")
                            ? PoolMigration.OperatorPolicy.ALWAYS_DEDICATED
                            : PoolMigration.OperatorPolicy.ALWAYS_SHARED);
        }
        Map<String, TenantSettings> settingsByTenant = new LinkedHashMap<>();
        for (Block.Value line : block.all("member")) {
            String name = line.part(0);
            if (!quotas.containsKey(name)) {
                throw block.bad("member", "a tenant of the platform's configuration");
            }
            PoolMigration.OperatorPolicy policy = policies.getOrDefault(name, PoolMigration.OperatorPolicy.AUTOMATIC);
            settingsByTenant.put(
                    name,
                    line.words().size() == 1
                            ? new TenantSettings(policy, null, "", 0)
                            : new TenantSettings(
                                    policy,
                                    scaleOutSettings(block, line.part(2)),
                                    block.one("price").get().part(0),
                                    line.<Long>part(4).intValue()));
        }
        for (String name : policies.keySet()) {
            if (!settingsByTenant.containsKey(name)) {
                throw block.bad("keep", "followed by the name of a `member` line");
            }
        }
        return new PoolSettings(
                settingsByTenant,
                quotas,
                block.has("provider") ? block.get("provider") : null,
                block.span("window"),
                block.get("reserve"),
                block.span("settle"),
                block.span("come"),
                block.span("clear"),
                block.span("stay"),
                block.span("forget"),
                block.span("timeout"));
    }

    private static ScaleOutPolicy.ScaleOutSettings scaleOutSettings(Block block, long capCents) {
        if (!block.has("provider") || !block.has("price")) {
            throw block.bad(block.has("provider") ? "price" : "provider", "set where a member has a cap");
        }
        Block.Value price = block.one("price").get();
        SpendingCap.MonthlyCap cap = new SpendingCap.MonthlyCap(capCents, block.get("near"), block.<ZoneId>get("zone"));
        return new ScaleOutPolicy.ScaleOutSettings(
                cap,
                price.part(1),
                price.<Double>part(3).longValue(),
                (long) block.span("reach"),
                block.text("at-cap").equals("return"));
    }

    PoolMigration.MigrationSettings migrationSettings(String tenant) {
        return new PoolMigration.MigrationSettings(
                quotas.get(tenant), maxPoolFraction, settleMillis, scaleOutTimeoutMillis, drainMillis, minStayMillis);
    }
}
