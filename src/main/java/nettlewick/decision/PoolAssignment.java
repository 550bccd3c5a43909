package nettlewick.decision;

import java.util.Set;

/**
 * The endpoints dedicated to a tenant.
 *
 * @param isExclusive whether requests of other tenants may not use them
 * @param isConfined  whether the tenant's requests may use only them, while one of them is ready
 */
public record PoolAssignment(String tenant, Set<String> endpoints, boolean isExclusive, boolean isConfined) {
    /** Copies the set of endpoints. */
    public PoolAssignment {
        endpoints = Set.copyOf(endpoints);
    }
}
