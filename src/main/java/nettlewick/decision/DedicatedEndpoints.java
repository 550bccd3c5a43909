package nettlewick.decision;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The endpoints dedicated to tenants, as assigned, and the pools that this leaves to each of these tenants. */
final class DedicatedEndpoints {
    private final List<PoolAssignment> assignments;
    private final Set<String> exclusiveIds = new HashSet<>();
    /** By tenant, then by kind from -1 on. */
    private final Map<String, List<EndpointPool>> poolsByTenant = new HashMap<>();

    DedicatedEndpoints(List<PoolAssignment> assignments) {
        this.assignments = List.copyOf(assignments);
        for (PoolAssignment assignment : assignments) {
            if (assignment.isExclusive()) {
                exclusiveIds.addAll(assignment.endpoints());
            }
        }
    }

    /** Those of the endpoints that are for all tenants. */
    Collection<Endpoint> withoutExclusive(Collection<Endpoint> endpoints) {
        return endpoints.stream()
                .filter(endpoint -> !exclusiveIds.contains(endpoint.id()))
                .toList();
    }

    /** Sorts the endpoints into the tenants' pools, each with the kinds of the common ones. */
    void refill(Collection<Endpoint> endpoints, List<EndpointPool> common, int ringPlaces) {
        for (PoolAssignment assignment : assignments) {
            List<Endpoint> candidates = endpoints.stream()
                    .filter(endpoint -> isCandidate(endpoint, assignment))
                    .toList();
            List<EndpointPool> own = poolsByTenant.computeIfAbsent(
                    assignment.tenant(),
                    tenant -> common.stream()
                            .map(pool -> new EndpointPool(pool.kind()))
                            .toList());
            own.forEach(pool -> pool.refill(candidates, ringPlaces));
        }
    }

    private boolean isCandidate(Endpoint endpoint, PoolAssignment assignment) {
        return assignment.endpoints().contains(endpoint.id())
                || !assignment.isConfined() && !exclusiveIds.contains(endpoint.id());
    }

    /** The common pools followed by those of all tenants with dedicated endpoints. */
    List<EndpointPool> appendTo(List<EndpointPool> common) {
        List<EndpointPool> all = new ArrayList<>(common);
        poolsByTenant.values().forEach(all::addAll);
        return all;
    }

    /** Whether the tenant's requests may use its own endpoints only, and one of them is ready. */
    boolean isConfined(String tenant) {
        return assignments.stream()
                        .anyMatch(assignment ->
                                assignment.isConfined() && assignment.tenant().equals(tenant))
                && poolsByTenant.get(tenant).stream()
                        .anyMatch(pool -> !pool.ready().isEmpty());
    }

    /** The tenant's own pool of a kind, or the common one where no endpoint of its own is ready. */
    EndpointPool poolFor(String tenant, EndpointPool common) {
        List<EndpointPool> own = poolsByTenant.get(tenant);
        EndpointPool pool = own == null ? common : own.get(common.kind() + 1);
        return pool.ready().isEmpty() ? common : pool;
    }
}
