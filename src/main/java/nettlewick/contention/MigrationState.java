package nettlewick.contention;

import com.google.gson.annotations.SerializedName;
import java.util.List;

/**
 * The progress of a tenant's migration to dedicated endpoints. Stored as JSON in the state of the tenant's lease, so
 * the JSON names must not change.
 *
 * @param step          the current step
 * @param endpoints     names of the tenant's dedicated endpoints: reserved shared ones and added ones
 * @param recentReturns how often the tenant has recently returned to the shared endpoints; each return doubles its next
 *                      minimum stay
 */
public record MigrationState(
        Step step,
        @SerializedName("runners") List<String> endpoints,
        @SerializedName("returns") int recentReturns) {
    /** The steps of a migration, in order. Stored and logged by their wire names. */
    public enum Step {
        /** The tenant uses the shared endpoints. */
        @SerializedName("NONE")
        SHARED("NONE"),
        /** Endpoints are reserved, and the reservation is published to all dispatchers. */
        @SerializedName("RESERVE")
        RESERVING("RESERVE"),
        /** Other tenants no longer use the reserved endpoints; their requests in flight there finish. */
        @SerializedName("CLEAR")
        DRAINING("CLEAR"),
        /** The tenant is confined to its dedicated endpoints. */
        @SerializedName("OPEN")
        DEDICATED("OPEN"),
        /** The tenant may use shared endpoints again; its endpoints are released once its requests there finish. */
        @SerializedName("CLOSE")
        RETURNING("CLOSE");

        private final String wireName;

        Step(String wireName) {
            this.wireName = wireName;
        }

        /** The name in stored state and in log lines. */
        public String wireName() {
            return wireName;
        }

        /** Whether other tenants must not use the tenant's endpoints. */
        public boolean excludesOtherTenants() {
            return this == DRAINING || this == DEDICATED || this == RETURNING;
        }
    }

    /** The state of a tenant that has never been migrated. */
    public static final MigrationState NOT_MIGRATED = new MigrationState(Step.SHARED, List.of(), 0);

    /** Copies the list. */
    public MigrationState {
        endpoints = List.copyOf(endpoints);
    }

    MigrationState withStep(Step next) {
        return new MigrationState(next, endpoints, recentReturns);
    }

    MigrationState withEndpoints(List<String> replacement) {
        return new MigrationState(step, replacement, recentReturns);
    }
}
