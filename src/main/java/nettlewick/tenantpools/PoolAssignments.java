package nettlewick.tenantpools;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import nettlewick.contention.MigrationState;
import nettlewick.contention.MigrationState.Step;
import nettlewick.contention.PoolReservation.ReadyEndpoint;
import nettlewick.core.EndpointUpdate;
import nettlewick.core.RequestListener;
import nettlewick.decision.EndpointState;
import nettlewick.decision.PoolAssignment;

/**
 * What this dispatcher knows of all tenants' pools, and the assignments that follow from it for the scheduler. Confined
 * to the lease thread, except for endpoint updates, which come from the core's thread.
 */
final class PoolAssignments implements RequestListener {
    private record KnownPool(PoolState state, double updatedAtMillis) {
        private MigrationState migration() {
            return state.migration();
        }
    }

    private final double staleAfterMillis;
    private final Map<String, EndpointUpdate.Entry> readyEntries = new ConcurrentHashMap<>();
    private final Map<String, KnownPool> pools = new LinkedHashMap<>();

    /** @param staleAfterMillis how long a pool excludes other tenants without news of it */
    PoolAssignments(double staleAfterMillis) {
        this.staleAfterMillis = staleAfterMillis;
    }

    @Override
    public void onEndpointsUpdated(EndpointUpdate update) {
        if (update.isFullList()) {
            Set<String> names = new HashSet<>();
            update.entries().forEach(entry -> names.add(entry.id()));
            readyEntries.keySet().retainAll(names);
        }
        for (EndpointUpdate.Entry entry : update.entries()) {
            if (entry.state() == EndpointState.READY) {
                readyEntries.put(entry.id(), entry);
            } else {
                readyEntries.remove(entry.id());
            }
        }
    }

    /** Takes the newest state of a tenant's pool, also if it has not changed. */
    void recordState(String tenant, PoolState state, double nowMillis) {
        pools.put(tenant, new KnownPool(state, nowMillis));
    }

    /** The ready endpoints by name, each with the tenant that it was added for. */
    Map<String, ReadyEndpoint> readyEndpoints() {
        Map<String, String> addedFor = new HashMap<>();
        pools.forEach(
                (tenant, knownPool) -> knownPool.state().addedEndpoints().forEach(name -> addedFor.put(name, tenant)));
        Map<String, ReadyEndpoint> endpoints = new HashMap<>();
        readyEntries.forEach((name, entry) -> endpoints.put(
                name,
                new ReadyEndpoint(
                        name, String.valueOf(entry.zone()), String.valueOf(entry.kind()), addedFor.get(name))));
        return endpoints;
    }

    /**
     * Names of endpoints that other tenants hold. Where two tenants hold the same one, the first by name keeps it.
     *
     * @param own names of endpoints that the tenant holds itself
     */
    Set<String> endpointsReservedByOthers(String tenant, List<String> ownEndpoints) {
        Set<String> reserved = new HashSet<>();
        pools.forEach((other, knownPool) -> {
            if (!other.equals(tenant) && knownPool.migration().step() != Step.SHARED) {
                knownPool.migration().endpoints().stream()
                        .filter(name -> other.compareTo(tenant) < 0 || !ownEndpoints.contains(name))
                        .forEach(reserved::add);
            }
        });
        return reserved;
    }

    /** Other tenants that are confined to dedicated endpoints, with the names of those. */
    Map<String, Set<String>> isolatedTenants(String excludedTenant) {
        Map<String, Set<String>> isolated = new HashMap<>();
        pools.forEach((tenant, knownPool) -> {
            if (knownPool.migration().step() == Step.DEDICATED && !tenant.equals(excludedTenant)) {
                isolated.put(tenant, Set.copyOf(knownPool.migration().endpoints()));
            }
        });
        return isolated;
    }

    /** The assignments that the scheduler must follow now. */
    List<PoolAssignment> currentAssignments(double nowMillis) {
        List<PoolAssignment> current = new ArrayList<>();
        pools.forEach((tenant, knownPool) -> {
            Step step = knownPool.migration().step();
            if (step.excludesOtherTenants()) {
                boolean fresh = nowMillis - knownPool.updatedAtMillis() < staleAfterMillis;
                Set<String> endpoints = Set.copyOf(knownPool.migration().endpoints());
                current.add(new PoolAssignment(tenant, endpoints, fresh, step == Step.DEDICATED));
            }
        });
        return current;
    }
}
