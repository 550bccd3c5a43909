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
        Map<String, Member> members,
        Map<String, Double> shares,
        URI url,
        double window,
        double part,
        double settle,
        double come,
        double clear,
        double stay,
        double forget,
        double timeout) {
    private static final String PREFIX = "pool-";

    /**
     * @param growth null: nothing is added for it
     * @param kind   of runners that are added
     * @param most   so many of them at once
     */
    record Member(PoolMigration.Will will, ScaleOutPolicy.Terms growth, String kind, int most) {}

    static String duty(String tenant) {
        return PREFIX + tenant;
    }

    /** @throws nettlewick.settings.BadSettings where the lines do not fit one another, or the tenants */
    static PoolSettings of(Block block, List<Tenant> tenants) {
        Map<String, Double> shares = new LinkedHashMap<>();
        tenants.forEach(t -> shares.put(t.name(), t.fraction()));
        Map<String, PoolMigration.Will> wills = new LinkedHashMap<>();
        for (Block.Value v : block.all("keep")) {
            wills.put(v.part(0), v.part(1).equals("pool") ? PoolMigration.Will.POOL : PoolMigration.Will.COMMON);
        }
        Map<String, Member> members = new LinkedHashMap<>();
        for (Block.Value v : block.all("member")) {
            String name = v.part(0);
            if (!shares.containsKey(name)) {
                throw block.bad("member", "a tenant of the platform's configuration");
            }
            PoolMigration.Will will = wills.getOrDefault(name, PoolMigration.Will.NONE);
            members.put(
                    name,
                    v.words().size() == 1
                            ? new Member(will, null, "", 0)
                            : new Member(
                                    will,
                                    growth(block, v.part(2)),
                                    block.one("price").get().part(0),
                                    v.<Long>part(4).intValue()));
        }
        for (String name : wills.keySet()) {
            if (!members.containsKey(name)) {
                throw block.bad("keep", "followed by the name of a `member` line");
            }
        }
        return new PoolSettings(
                members,
                shares,
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

    private static ScaleOutPolicy.Terms growth(Block block, long cap) {
        if (!block.has("provider") || !block.has("price")) {
            throw block.bad(block.has("provider") ? "price" : "provider", "set where a member has a cap");
        }
        Block.Value price = block.one("price").get();
        SpendingCap.Cap means = new SpendingCap.Cap(cap, block.get("near"), block.<ZoneId>get("zone"));
        return new ScaleOutPolicy.Terms(
                means,
                price.part(1),
                price.<Double>part(3).longValue(),
                (long) block.span("reach"),
                block.text("at-cap").equals("return"));
    }

    PoolMigration.Terms moves(String tenant) {
        return new PoolMigration.Terms(shares.get(tenant), part, settle, come, clear, stay);
    }
}
