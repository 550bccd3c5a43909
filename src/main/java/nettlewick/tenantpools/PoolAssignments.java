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
 * The states of all tenants' pools as known to this dispatcher, and the pool assignments for the scheduler that result
 * from them. Confined to the lease thread, except for endpoint updates, which arrive on the core's thread.
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

    /** @param staleAfterMillis how long a pool excludes other tenants after its last update */
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

    /** Records the newest state of a tenant's pool. An unchanged state counts as an update too. */
    void recordState(String tenant, PoolState state, double nowMillis) {
        pools.put(tenant, new KnownPool(state, nowMillis));
    }

    /** The ready endpoints by name, each with the tenant for which it was added. */
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
     * Names of endpoints that are reserved for other tenants. If two tenants have reserved the same endpoint, the
     * tenant whose name sorts first keeps it.
     *
     * @param ownEndpoints names of endpoints that are reserved for the tenant itself
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

    /**
     * Tenants other than {@code excludedTenant} that are confined to dedicated endpoints, with the names of these
     * endpoints.
     */
    Map<String, Set<String>> isolatedTenants(String excludedTenant) {
        Map<String, Set<String>> isolated = new HashMap<>();
        pools.forEach((tenant, knownPool) -> {
            if (knownPool.migration().step() == Step.DEDICATED && !tenant.equals(excludedTenant)) {
                isolated.put(tenant, Set.copyOf(knownPool.migration().endpoints()));
            }
        });
        return isolated;
    }

    /** The assignments that the scheduler must apply now. */
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
