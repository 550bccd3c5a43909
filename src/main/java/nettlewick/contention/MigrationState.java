package nettlewick.contention;

import com.google.gson.annotations.SerializedName;
import java.util.List;

/**
 * How far a tenant's migration to dedicated endpoints has progressed. Stored as JSON in the state of the tenant's
 * lease, so the JSON names are fixed.
 *
 * @param step          the current step
 * @param endpoints     names of the tenant's dedicated endpoints: reserved shared ones and added ones
 * @param recentReturns how often the tenant has recently returned to the shared endpoints; each one doubles its next
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
        /** Endpoints are reserved, and every dispatcher learns of them. */
        @SerializedName("RESERVE")
        RESERVING("RESERVE"),
        /** Other tenants stay away while their requests in flight on the reserved endpoints finish. */
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

        /** Whether other tenants must stay away from the tenant's endpoints. */
        public boolean excludesOtherTenants() {
            return this == DRAINING || this == DEDICATED || this == RETURNING;
        }
    }

    /** The state of a tenant that was never migrated. */
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
