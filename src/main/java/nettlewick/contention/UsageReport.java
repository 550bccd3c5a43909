package nettlewick.contention;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.BinaryOperator;
import java.util.function.LongBinaryOperator;

/**
 * What one dispatcher has counted since its incarnation began, as seen from one tenant. Counts only grow, so reports
 * may be lost, duplicated or reordered: of two, the larger is the newer.
 *
 * @param totalWork    work requested by all tenants, in slot milliseconds by cost hint
 * @param workByTenant the same by the hash of the tenant's name; only the largest tenants
 * @param runMillis    how long attempts of all other tenants ran, where a cost hint came with them
 * @param hintedMillis what those cost hints said
 * @param endpoints    usage by the hash of the endpoint's name
 * @param baseline     how other tenants fared while the tenant kept to its quota; that of the newer report counts
 * @param unsolicited  whether the dispatcher reports without the lease holder having asked
 */
public record UsageReport(
        long totalWork,
        Map<Integer, Long> workByTenant,
        long runMillis,
        long hintedMillis,
        Map<Integer, EndpointUsage> endpoints,
        UncontendedBaseline baseline,
        boolean unsolicited) {
    /**
     * What was counted on one endpoint.
     *
     * @param tenantWork     slot milliseconds used by the tenant
     * @param totalWork      slot milliseconds used by all tenants
     * @param otherAttempts  attempts of all other tenants that ended there
     * @param harmedAttempts those of them that were rejected, timed out or started late
     */
    public record EndpointUsage(long tenantWork, long totalWork, long otherAttempts, long harmedAttempts) {
        /** All counts are zero. */
        static final EndpointUsage NONE = new EndpointUsage(0, 0, 0, 0);

        private EndpointUsage combine(EndpointUsage other, LongBinaryOperator operator) {
            return new EndpointUsage(
                    operator.applyAsLong(tenantWork, other.tenantWork),
                    operator.applyAsLong(totalWork, other.totalWork),
                    operator.applyAsLong(otherAttempts, other.otherAttempts),
                    operator.applyAsLong(harmedAttempts, other.harmedAttempts));
        }

        EndpointUsage plus(EndpointUsage other) {
            return combine(other, Long::sum);
        }

        EndpointUsage minus(EndpointUsage other) {
            return combine(other, (mine, theirs) -> mine - theirs);
        }

        EndpointUsage maximum(EndpointUsage other) {
            return combine(other, Math::max);
        }
    }

    /** All counts are zero. */
    static final UsageReport EMPTY = new UsageReport(0, Map.of(), 0, 0, Map.of(), UncontendedBaseline.NONE, false);

    private UsageReport combine(
            UsageReport other, LongBinaryOperator operator, BinaryOperator<EndpointUsage> endpointOperator) {
        Map<Integer, Long> work = new LinkedHashMap<>(workByTenant);
        other.workByTenant.forEach(
                (tenant, amount) -> work.put(tenant, operator.applyAsLong(work.getOrDefault(tenant, 0L), amount)));
        Map<Integer, EndpointUsage> usage = new LinkedHashMap<>(endpoints);
        other.endpoints.forEach((endpoint, counts) ->
                usage.put(endpoint, endpointOperator.apply(usage.getOrDefault(endpoint, EndpointUsage.NONE), counts)));
        UsageReport newer = other.totalWork >= totalWork ? other : this;
        return new UsageReport(
                operator.applyAsLong(totalWork, other.totalWork),
                work,
                operator.applyAsLong(runMillis, other.runMillis),
                operator.applyAsLong(hintedMillis, other.hintedMillis),
                usage,
                newer.baseline,
                newer.unsolicited);
    }

    /** The larger of each count: the newer state where two reports of one incarnation overlap. */
    UsageReport maximum(UsageReport other) {
        return combine(other, Math::max, EndpointUsage::maximum);
    }

    /** What was counted since an earlier report; tenants and endpoints that are not in this one are left out. */
    UsageReport minus(UsageReport earlier) {
        UsageReport difference = combine(earlier, (mine, theirs) -> mine - theirs, EndpointUsage::minus);
        difference.workByTenant.keySet().retainAll(workByTenant.keySet());
        difference.endpoints.keySet().retainAll(endpoints.keySet());
        return difference;
    }

    UsageReport plus(UsageReport other) {
        return combine(other, Long::sum, EndpointUsage::plus);
    }

    UsageReport withBaseline(UncontendedBaseline newBaseline, boolean isUnsolicited) {
        return new UsageReport(totalWork, workByTenant, runMillis, hintedMillis, endpoints, newBaseline, isUnsolicited);
    }

    /** The sum over all endpoints. */
    EndpointUsage acrossEndpoints() {
        return endpoints.values().stream().reduce(EndpointUsage.NONE, EndpointUsage::plus);
    }
}
