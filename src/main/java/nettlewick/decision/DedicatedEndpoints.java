package nettlewick.decision;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The endpoints dedicated to tenants, and the resulting endpoint pools of each of these tenants. */
final class DedicatedEndpoints {
    private final List<PoolAssignment> assignments;
    private final Set<String> exclusiveIds = new HashSet<>();
    /** Pools of each tenant, indexed by kind + 1. */
    private final Map<String, List<EndpointPool>> poolsByTenant = new HashMap<>();

    DedicatedEndpoints(List<PoolAssignment> assignments) {
        this.assignments = List.copyOf(assignments);
        for (PoolAssignment assignment : assignments) {
            if (assignment.isExclusive()) {
                exclusiveIds.addAll(assignment.endpoints());
            }
        }
    }

    /** Returns the endpoints that are not exclusive to a tenant. */
    Collection<Endpoint> withoutExclusive(Collection<Endpoint> endpoints) {
        return endpoints.stream()
                .filter(endpoint -> !exclusiveIds.contains(endpoint.id()))
                .toList();
    }

    /** Rebuilds the tenants' pools, one for each kind of the shared pools. */
    void rebuild(Collection<Endpoint> endpoints, List<EndpointPool> sharedPools, int virtualNodes) {
        for (PoolAssignment assignment : assignments) {
            List<Endpoint> candidates = endpoints.stream()
                    .filter(endpoint -> isCandidate(endpoint, assignment))
                    .toList();
            List<EndpointPool> tenantPools = poolsByTenant.computeIfAbsent(
                    assignment.tenant(),
                    tenant -> sharedPools.stream()
                            .map(pool -> new EndpointPool(pool.kind()))
                            .toList());
            tenantPools.forEach(pool -> pool.rebuild(candidates, virtualNodes));
        }
    }

    private boolean isCandidate(Endpoint endpoint, PoolAssignment assignment) {
        return assignment.endpoints().contains(endpoint.id())
                || !assignment.isConfined() && !exclusiveIds.contains(endpoint.id());
    }

    /** Returns the shared pools followed by those of all tenants with dedicated endpoints. */
    List<EndpointPool> appendTo(List<EndpointPool> sharedPools) {
        List<EndpointPool> all = new ArrayList<>(sharedPools);
        poolsByTenant.values().forEach(all::addAll);
        return all;
    }

    /** Whether the tenant is restricted to its dedicated endpoints and at least one of them is ready. */
    boolean isConfined(String tenant) {
        return assignments.stream()
                        .anyMatch(assignment ->
                                assignment.isConfined() && assignment.tenant().equals(tenant))
                && poolsByTenant.get(tenant).stream()
                        .anyMatch(pool -> !pool.ready().isEmpty());
    }

    /** Returns the tenant's pool of a kind, or the shared pool if the tenant's has no ready endpoint. */
    EndpointPool poolFor(String tenant, EndpointPool sharedPool) {
        List<EndpointPool> tenantPools = poolsByTenant.get(tenant);
        EndpointPool pool = tenantPools == null ? sharedPool : tenantPools.get(sharedPool.kind() + 1);
        return pool.ready().isEmpty() ? sharedPool : pool;
    }
}
