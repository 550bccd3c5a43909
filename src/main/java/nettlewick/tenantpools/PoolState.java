package nettlewick.tenantpools;

import com.google.gson.Gson;
import com.google.gson.JsonParseException;
import com.google.gson.annotations.SerializedName;
import java.nio.charset.StandardCharsets;
import java.util.List;
import nettlewick.contention.MigrationState;

/**
 * The replicated state of a tenant's lease: one JSON object of a few hundred bytes. Dispatchers of other builds read
 * it, so the JSON names must not change.
 *
 * @param term           the number of times that the lease has been acquired
 * @param migration      the progress of the tenant's migration
 * @param addedEndpoints names of the endpoints that the provider runs for the tenant, as last reported
 * @param budget         the resize requested from the provider, and the month whose budget it counts against
 */
record PoolState(
        long term,
        @SerializedName("move") MigrationState migration,
        @SerializedName("added") List<String> addedEndpoints,
        @SerializedName("money") Budget budget) {
    private static final Gson GSON = new Gson();
    static final PoolState INITIAL = new PoolState(0, MigrationState.NOT_MIGRATED, List.of(), Budget.NONE);

    /**
     * The data that must survive a change of the lease holder so that the monthly cap is not exceeded.
     *
     * @param month         the latest month that has begun, for example 2026-12; empty before the first
     * @param pendingResize the resize that is being requested; null if none
     * @param nearCapMonth  the latest month in which the near-cap threshold was reached; empty if none
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
     * A request to the provider to run a number of endpoints. Stored before it is sent.
     *
     * @param idempotencyKey the provider applies requests with the same key only once
     * @param size           the desired number of endpoints
     * @param minCostCents   the minimum cost of the additional endpoints
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
