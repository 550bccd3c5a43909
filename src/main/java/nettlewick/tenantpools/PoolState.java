package nettlewick.tenantpools;

import com.google.gson.Gson;
import com.google.gson.JsonParseException;
import com.google.gson.annotations.SerializedName;
import java.nio.charset.StandardCharsets;
import java.util.List;
import nettlewick.contention.MigrationState;

/**
 * The replicated state of a tenant's lease: one JSON object of a few hundred bytes. Other builds read it, so the JSON
 * names are fixed.
 *
 * @param term           how many times the lease has been acquired
 * @param migration      how far the tenant has been migrated
 * @param addedEndpoints names of the endpoints that the provider runs for the tenant, as last reported
 * @param budget         what was requested from the provider and in which month
 */
record PoolState(
        long term,
        @SerializedName("move") MigrationState migration,
        @SerializedName("added") List<String> addedEndpoints,
        @SerializedName("money") Budget budget) {
    private static final Gson GSON = new Gson();
    static final PoolState INITIAL = new PoolState(0, MigrationState.NOT_MIGRATED, List.of(), Budget.NONE);

    /**
     * What must outlive a lease holder so that the monthly cap holds.
     *
     * @param month         the latest month that has begun, for example 2026-12; empty before the first
     * @param pendingResize the resize being requested; null if none
     * @param nearCapMonth  the month in which the near mark was reached; empty if none
     */
    record Budget(
            String month,
            @SerializedName("intent") ResizeRequest pendingResize,
            @SerializedName("near") String nearCapMonth) {
        static final Budget NONE = new Budget("", null, "");

        Budget withMonth(String newMonth) {
            return new Budget(newMonth, pendingResize, nearCapMonth);
        }

        Budget withPendingResize(ResizeRequest newPendingResize) {
            return new Budget(month, newPendingResize, nearCapMonth);
        }

        Budget withNearCapMonth(String newNearCapMonth) {
            return new Budget(month, pendingResize, newNearCapMonth);
        }
    }

    /**
     * A request that the provider run a number of endpoints. Stored before the provider is asked.
     *
     * @param idempotencyKey the provider applies requests with the same key once
     * @param size           the desired number of endpoints
     * @param minCostCents   the least that the additional endpoints cost
     */
    record ResizeRequest(
            @SerializedName("key") String idempotencyKey,
            int size,
            @SerializedName("cents") long minCostCents) {}

    byte[] encode() {
        return GSON.toJson(this).getBytes(StandardCharsets.UTF_8);
    }

    /** Decodes stored state; empty or unreadable state yields {@link #INITIAL}. */
    static PoolState decode(byte[] data) {
        try {
            PoolState state = GSON.fromJson(new String(data, StandardCharsets.UTF_8), PoolState.class);
            return state == null || !state.isComplete() ? INITIAL : state;
        } catch (JsonParseException e) {
            return INITIAL;
        }
    }

    private boolean isComplete() {
        return migration != null && migration.step() != null && budget != null && addedEndpoints != null;
    }

    PoolState withMigration(MigrationState newMigration) {
        return new PoolState(term, newMigration, addedEndpoints, budget);
    }

    PoolState withBudget(Budget newBudget) {
        return new PoolState(term, migration, addedEndpoints, newBudget);
    }

    PoolState withAddedEndpoints(List<String> names) {
        return new PoolState(term, migration, names, budget);
    }

    PoolState withNextTerm() {
        return new PoolState(term + 1, migration, addedEndpoints, budget);
    }
}
