package nettlewick.tenantpools;

import java.net.URI;
import java.time.ZoneId;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import nettlewick.contention.PoolMigration;
import nettlewick.contention.PoolMigration.OperatorPolicy;
import nettlewick.decision.SchedulerSettings.Tenant;
import nettlewick.settings.Block;

/**
 * The validated block {@code pools} of the settings file. Only this class knows the keywords of the block.
 *
 * @param tenants          settings of the tenants that have a lease, by tenant name
 * @param quotas           quotas of all tenants in the platform's configuration as fractions, by tenant name
 * @param providerUrl      null if no endpoints are ever added
 * @param windowMillis     the length of a window in which usage is evaluated
 * @param staleAfterMillis how long a pool excludes other tenants after its last update
 * @see PoolMigration.MigrationSettings for the limits of a migration
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
     * The settings of one tenant.
     *
     * @param scaleOut          null if no endpoints are ever added for it
     * @param endpointKind      the kind of the endpoints to add
     * @param maxAddedEndpoints the maximum number of added endpoints at any time
     */
    record TenantSettings(
            OperatorPolicy policy,
            ScaleOutPolicy.ScaleOutSettings scaleOut,
            String endpointKind,
            int maxAddedEndpoints) {}

    /** Returns the name of a tenant's lease. */
    static String leaseName(String tenant) {
        return LEASE_PREFIX + tenant;
    }

    /**
     * Converts and validates the block.
     *
     * @throws nettlewick.settings.InvalidSettingsException if its lines are inconsistent or name unknown tenants
     */
    static PoolSettings of(Block block, List<Tenant> tenants) {
        Map<String, Double> quotas = new LinkedHashMap<>();
        tenants.forEach(tenant -> quotas.put(tenant.name(), tenant.fraction()));
        return new PoolSettings(
                tenantSettings(block, quotas),
                quotas,
                block.has("provider") ? block.get("provider") : null,
                block.durationMillis("window"),
                block.get("reserve"),
                block.durationMillis("settle"),
                block.durationMillis("come"),
                block.durationMillis("clear"),
                block.durationMillis("stay"),
                block.durationMillis("forget"),
                block.durationMillis("timeout"));
    }

    private static Map<String, TenantSettings> tenantSettings(Block block, Map<String, Double> quotas) {
        Map<String, OperatorPolicy> policies = new LinkedHashMap<>();
        for (Block.Value line : block.all("keep")) {
            boolean dedicated = line.argument(1).equals("pool");
            policies.put(line.argument(0), dedicated ? OperatorPolicy.ALWAYS_DEDICATED : OperatorPolicy.ALWAYS_SHARED);
        }
        Map<String, TenantSettings> settings = new LinkedHashMap<>();
        for (Block.Value line : block.all("member")) {
            String name = line.argument(0);
            if (!quotas.containsKey(name)) {
                throw block.invalidValue("member", "a tenant of the platform's configuration");
            }
            OperatorPolicy policy = policies.getOrDefault(name, OperatorPolicy.AUTOMATIC);
            settings.put(name, tenantSettings(block, line, policy));
        }
        if (!settings.keySet().containsAll(policies.keySet())) {
            throw block.invalidValue("keep", "followed by the name of a `member` line");
        }
        return settings;
    }

    private static TenantSettings tenantSettings(Block block, Block.Value line, OperatorPolicy policy) {
        if (line.words().size() == 1) {
            return new TenantSettings(policy, null, "", 0);
        }
        return new TenantSettings(
                policy,
                scaleOutSettings(block, line.argument(2)),
                block.first("price").get().argument(0),
                line.<Long>argument(4).intValue());
    }

    private static ScaleOutPolicy.ScaleOutSettings scaleOutSettings(Block block, long capCents) {
        if (!block.has("provider") || !block.has("price")) {
            throw block.invalidValue(block.has("provider") ? "price" : "provider", "set where a member has a cap");
        }
        Block.Value price = block.first("price").get();
        return new ScaleOutPolicy.ScaleOutSettings(
                new SpendingCap.MonthlyCap(capCents, block.get("near"), block.<ZoneId>get("zone")),
                price.argument(1),
                price.<Double>argument(3).longValue(),
                (long) block.durationMillis("reach"),
                block.text("at-cap").equals("return"));
    }

    /** The limits of a tenant's migration. */
    PoolMigration.MigrationSettings migrationSettings(String tenant) {
        return new PoolMigration.MigrationSettings(
                quotas.get(tenant), maxPoolFraction, settleMillis, scaleOutTimeoutMillis, drainMillis, minStayMillis);
    }
}
