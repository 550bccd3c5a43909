package nettlewick.decision;

import java.util.Set;

/**
 * The endpoints dedicated to a tenant.
 *
 * @param exclusive whether requests of other tenants stay away from them
 * @param confined  whether the tenant's requests go there only, while one of them is ready
 */
public record PoolAssignment(String tenant, Set<String> endpoints, boolean isExclusive, boolean isConfined) {
    /** Copies the set of endpoints. */
    public PoolAssignment {
        endpoints = Set.copyOf(endpoints);
    }
}
