package nettlewick.decision;

import java.util.Set;

/**
 * A tenant's own workers.
 *
 * @param shut     whether others' jobs keep away from them
 * @param confined whether the tenant's jobs go there only, while one of them is ready
 */
public record PoolAssignment(String tenant, Set<String> endpoints, boolean exclusive, boolean confined) {
    /** Copies the set. */
    public PoolAssignment {
        endpoints = Set.copyOf(endpoints);
    }
}
