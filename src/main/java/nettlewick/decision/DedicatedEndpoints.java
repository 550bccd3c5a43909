package nettlewick.decision;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Workers that are kept for tenants, as they were assigned, and the pools that this leaves to each of these.
 * Chooses nothing: a tenant's jobs go by the same rules among its own candidates.
 */
final class DedicatedEndpoints {
    private final List<PoolAssignment> assignments;
    private final Set<String> exclusiveIds = new HashSet<>();
    /** By tenant, then by kind from -1 on. */
    private final Map<String, List<EndpointPool>> pools = new HashMap<>();

    DedicatedEndpoints(List<PoolAssignment> assignments) {
        this.assignments = List.copyOf(assignments);
        for (PoolAssignment a : assignments) {
            if (a.exclusive()) {
                exclusiveIds.addAll(a.endpoints());
            }
        }
    }

    /** Those that are for all. */
    Collection<Endpoint> withoutExclusive(Collection<Endpoint> endpoints) {
        return endpoints.stream()
                .filter(endpoint -> !exclusiveIds.contains(endpoint.id))
                .toList();
    }

    void refill(Collection<Endpoint> endpoints, List<EndpointPool> common, int ringPlaces) {
        for (PoolAssignment a : assignments) {
            List<Endpoint> candidates = endpoints.stream()
                    .filter(endpoint ->
                            a.endpoints().contains(endpoint.id) || !a.confined() && !exclusiveIds.contains(endpoint.id))
                    .toList();
            List<EndpointPool> own = pools.computeIfAbsent(
                    a.tenant(),
                    t -> common.stream().map(p -> new EndpointPool(p.kind)).toList());
            own.forEach(pool -> pool.refill(candidates, ringPlaces));
        }
    }

    List<EndpointPool> appendTo(List<EndpointPool> common) {
        List<EndpointPool> all = new ArrayList<>(common);
        pools.values().forEach(all::addAll);
        return all;
    }

    /** Whether the tenant's jobs go to its own workers alone, and one of them is ready. */
    boolean isConfined(String tenant) {
        return assignments.stream().anyMatch(a -> a.confined() && a.tenant().equals(tenant))
                && pools.get(tenant).stream().anyMatch(p -> !p.ready.isEmpty());
    }

    /** The tenant's own candidates of a kind, or the common ones where it has none that is ready. */
    EndpointPool poolFor(String tenant, EndpointPool common) {
        List<EndpointPool> own = pools.get(tenant);
        EndpointPool pool = own == null ? common : own.get(common.kind + 1);
        return pool.ready.isEmpty() ? common : pool;
    }
}
