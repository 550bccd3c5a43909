package nettlewick.contention;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.BinaryOperator;
import java.util.function.LongBinaryOperator;

/**
 * A dispatcher's cumulative counts since its incarnation began, related to one tenant. Counts never decrease, so
 * reports may be lost, duplicated or reordered: of two reports, the one with the larger counts is newer.
 *
 * @param totalWork    work requested by all tenants, in slot milliseconds by cost hint
 * @param workByTenant the same by the hash of the tenant's name; limited to the tenants with the most work
 * @param runMillis    the total run time of all other tenants' attempts that had a cost hint
 * @param hintedMillis the sum of these cost hints
 * @param endpoints    usage by the hash of the endpoint's name
 * @param baseline     counts of windows in which the tenant stayed within its quota; when reports are combined, that of
 *                     the newer one is kept
 * @param unsolicited  whether the dispatcher sends it without a request from the lease holder
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
     * Counts for one endpoint.
     *
     * @param tenantWork     slot milliseconds used by the tenant
     * @param totalWork      slot milliseconds used by all tenants
     * @param otherAttempts  attempts of all other tenants that ended there
     * @param harmedAttempts the number of these that were rejected, timed out or were cancelled before they started, or
     *                       started late
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

    /** Takes the larger of each count, which is the newer one if both reports are from the same incarnation. */
    UsageReport maximum(UsageReport other) {
        return combine(other, Math::max, EndpointUsage::maximum);
    }

    /** The counts since an earlier report; tenants and endpoints that are missing in this report are omitted. */
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

    /** The sum of the counts of all endpoints. */
    EndpointUsage acrossEndpoints() {
        return endpoints.values().stream().reduce(EndpointUsage.NONE, EndpointUsage::plus);
    }
}
