package nettlewick.contention;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import nettlewick.contention.MigrationState.Step;

/**
 * Takes a member to runners of its own and back, a step at a time (docs/pools.md). One for each holding of
 * its
 * duty: the times of a step begin anew with a new holder. Time is handed in, in milliseconds. Pure.
 */
public final class PoolMigration {
    /** Returns are forgotten one by one after this long. */
    private static final double RETURN_DECAY_MILLIS = 600_000;
    /** A stay is doubled so often at most. */
    private static final int MAX_STAY_DOUBLINGS = 5;

    /** What the operators' settings say of one member. */
    public enum OperatorPolicy {
        /** As it goes. */
        AUTOMATIC,
        /** In a pool, whatever it does. */
        ALWAYS_DEDICATED,
        /** Never in one. */
        ALWAYS_SHARED
    }

    /**
     * @param share  the member's share of all runners
     * @param part   the part of all runners that pools may hold
     * @param settle how long a reserved pool is told before others leave it
     * @param come   how long runners that are added are waited for
     * @param clear  how long work in hand has to end
     * @param stay   how long it has kept to its share before it comes back
     */
    public record MigrationSettings(
            double quota,
            double maxPoolFraction,
            double settleMillis,
            double scaleOutTimeoutMillis,
            double drainMillis,
            double minStayMillis) {}

    /**
     * What a holder knows at this moment.
     *
     * @param ready by name
     * @param taken held by other members' pools
     * @param whole whether all runners that were asked for are there
     */
    public record FleetView(
            Map<String, PoolReservation.ReadyEndpoint> readyEndpoints,
            Set<String> reservedByOthers,
            boolean scaleOutComplete) {}

    private final String tenant;
    private Step step;
    private double stepStartedAt;
    private boolean causesContention;
    private double lastOverQuotaAt = Double.NEGATIVE_INFINITY;
    private double returnsDecayedAt;

    public PoolMigration(String tenant) {
        this.tenant = tenant;
    }

    /** What a window came to. */
    public void recordFinding(ContentionEvidence.Finding finding, double nowMillis) {
        causesContention = finding.causesContention();
        if (finding.overQuota()) {
            lastOverQuotaAt = nowMillis;
        }
    }

    /** Where things go from here; the same as it was while nothing changes. */
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
        boolean wanted =
                policy == OperatorPolicy.ALWAYS_DEDICATED || policy == OperatorPolicy.AUTOMATIC && causesContention;
        boolean kept = policy == OperatorPolicy.ALWAYS_DEDICATED
                || policy == OperatorPolicy.AUTOMATIC
                        && nowMillis - Math.max(lastOverQuotaAt, stepStartedAt)
                                < settings.minStayMillis()
                                        * (1 << Math.min(MAX_STAY_DOUBLINGS, current.recentReturns()));
        switch (current.step()) {
            case SHARED -> {
                if (wanted && !pool.isEmpty()) {
                    return current.withEndpoints(pool).withStep(Step.RESERVING);
                }
                if (current.recentReturns() > 0 && nowMillis - returnsDecayedAt >= RETURN_DECAY_MILLIS) {
                    returnsDecayedAt = nowMillis;
                    return new MigrationState(Step.SHARED, List.of(), current.recentReturns() - 1);
                }
                return current;
            }
            case RESERVING -> {
                boolean come =
                        fleet.scaleOutComplete() || nowMillis - stepStartedAt >= settings.scaleOutTimeoutMillis();
                return advance(
                        current,
                        pool,
                        nowMillis - stepStartedAt >= settings.settleMillis() && come ? Step.DRAINING : current.step());
            }
            case DRAINING -> {
                return advance(
                        current,
                        pool,
                        nowMillis - stepStartedAt >= settings.drainMillis() ? Step.DEDICATED : current.step());
            }
            case DEDICATED -> {
                return advance(current, pool, kept && !pool.isEmpty() ? current.step() : Step.RETURNING);
            }
            default -> {
                return nowMillis - stepStartedAt >= settings.drainMillis()
                        ? new MigrationState(Step.SHARED, List.of(), current.recentReturns() + 1)
                        : current;
            }
        }
    }

    /**
     * Danger: a list that says less for a moment would empty the pool; what is left stays until others
     * come.
     */
    private static MigrationState advance(MigrationState current, List<String> pool, Step to) {
        Set<String> nowMillis = new HashSet<>(current.endpoints());
        MigrationState next =
                pool.isEmpty() || nowMillis.equals(new HashSet<>(pool)) ? current : current.withEndpoints(pool);
        return next.step() == to ? next : next.withStep(to);
    }
}
