package nettlewick.contention;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import nettlewick.contention.MigrationState.Step;

/**
 * The state machine of a tenant's migration to dedicated endpoints and back. A lease holder creates an instance when it
 * acquires the tenant's lease; it measures the time spent in a step from then on. Confined to one thread.
 */
public final class PoolMigration {
    /** The count of recent returns drops by one each time the tenant has stayed on the shared endpoints this long. */
    private static final double RETURN_DECAY_MILLIS = 600_000;

    private static final int MAX_STAY_DOUBLINGS = 5;

    /** The operator's setting for a tenant. */
    public enum OperatorPolicy {
        /** Migrate it when it causes contention. */
        AUTOMATIC,
        /** Always keep it on dedicated endpoints. */
        ALWAYS_DEDICATED,
        /** Never give it dedicated endpoints. */
        ALWAYS_SHARED
    }

    /**
     * The limits of a migration.
     *
     * @param quota                 the tenant's fraction of all endpoints
     * @param maxPoolFraction       the fraction of all endpoints that may be reserved by all tenants together
     * @param settleMillis          how long a reservation is published before other tenants are excluded from its
     *                              endpoints
     * @param scaleOutTimeoutMillis how long to wait for added endpoints to become ready
     * @param drainMillis           how much time requests in flight have to finish
     * @param minStayMillis         how long the tenant must have stayed within its quota before it returns
     */
    public record MigrationSettings(
            double quota,
            double maxPoolFraction,
            double settleMillis,
            double scaleOutTimeoutMillis,
            double drainMillis,
            double minStayMillis) {}

    /**
     * The state of the fleet as known to the lease holder.
     *
     * @param readyEndpoints   by name
     * @param reservedByOthers names of endpoints that are reserved for other tenants
     * @param scaleOutComplete whether all endpoints that were requested from the provider are ready
     */
    public record FleetView(
            Map<String, PoolReservation.ReadyEndpoint> readyEndpoints,
            Set<String> reservedByOthers,
            boolean scaleOutComplete) {}

    private final String tenant;
    /** Null until the first evaluation. */
    private Step step;

    private double stepStartedAt;
    private boolean causesContention;
    private double lastOverQuotaAt = Double.NEGATIVE_INFINITY;
    private double returnsDecayedAt;

    /** Creates an instance for a tenant. The stored state is passed in with each evaluation. */
    public PoolMigration(String tenant) {
        this.tenant = tenant;
    }

    /** Records the finding for the window that has just ended. */
    public void recordFinding(ContentionEvidence.Finding finding, double nowMillis) {
        causesContention = finding.causesContention();
        if (finding.overQuota()) {
            lastOverQuotaAt = nowMillis;
        }
    }

    /** The next state; equal to {@code current} if nothing changes. */
    public MigrationState nextState(
            MigrationState current,
            OperatorPolicy policy,
            MigrationSettings settings,
            FleetView fleet,
            double nowMillis) {
        if (step != current.step()) {
            step = current.step();
            stepStartedAt = nowMillis;
            returnsDecayedAt = nowMillis;
        }
        List<String> pool = PoolReservation.selectEndpoints(
                tenant,
                fleet.readyEndpoints(),
                current.endpoints(),
                fleet.reservedByOthers(),
                settings.quota(),
                settings.maxPoolFraction());
        double millisInStep = nowMillis - stepStartedAt;
        return switch (current.step()) {
            case SHARED ->
                shouldMigrate(policy) && !pool.isEmpty()
                        ? current.withEndpoints(pool).withStep(Step.RESERVING)
                        : decayReturns(current, nowMillis);
            case RESERVING -> {
                boolean scaleOutFinished = fleet.scaleOutComplete() || millisInStep >= settings.scaleOutTimeoutMillis();
                boolean settled = millisInStep >= settings.settleMillis();
                yield advance(current, pool, settled && scaleOutFinished ? Step.DRAINING : Step.RESERVING);
            }
            case DRAINING ->
                advance(current, pool, millisInStep >= settings.drainMillis() ? Step.DEDICATED : Step.DRAINING);
            case DEDICATED -> {
                boolean stays = shouldStay(policy, current, settings, nowMillis) && !pool.isEmpty();
                yield advance(current, pool, stays ? Step.DEDICATED : Step.RETURNING);
            }
            case RETURNING ->
                millisInStep >= settings.drainMillis()
                        ? new MigrationState(Step.SHARED, List.of(), current.recentReturns() + 1)
                        : current;
        };
    }

    private boolean shouldMigrate(OperatorPolicy policy) {
        return policy == OperatorPolicy.ALWAYS_DEDICATED || policy == OperatorPolicy.AUTOMATIC && causesContention;
    }

    private boolean shouldStay(
            OperatorPolicy policy, MigrationState current, MigrationSettings settings, double nowMillis) {
        if (policy != OperatorPolicy.AUTOMATIC) {
            return policy == OperatorPolicy.ALWAYS_DEDICATED;
        }
        int stayFactor = 1 << Math.min(MAX_STAY_DOUBLINGS, current.recentReturns());
        return nowMillis - Math.max(lastOverQuotaAt, stepStartedAt) < settings.minStayMillis() * stayFactor;
    }

    private MigrationState decayReturns(MigrationState current, double nowMillis) {
        if (current.recentReturns() <= 0 || nowMillis - returnsDecayedAt < RETURN_DECAY_MILLIS) {
            return current;
        }
        returnsDecayedAt = nowMillis;
        return new MigrationState(Step.SHARED, List.of(), current.recentReturns() - 1);
    }

    /**
     * Applies the next step and the selected endpoints. An empty selection is ignored, since a temporarily incomplete
     * endpoint list must not leave the tenant without endpoints.
     */
    private static MigrationState advance(MigrationState current, List<String> pool, Step nextStep) {
        Set<String> names = new HashSet<>(current.endpoints());
        boolean unchanged = pool.isEmpty() || names.equals(new HashSet<>(pool));
        MigrationState next = unchanged ? current : current.withEndpoints(pool);
        return next.step() == nextStep ? next : next.withStep(nextStep);
    }
}
