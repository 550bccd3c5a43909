package nettlewick.tenantpools;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import nettlewick.contention.MigrationState.Step;
import nettlewick.contention.PoolReservation;
import nettlewick.core.EndpointUpdate;
import nettlewick.core.RequestListener;
import nettlewick.decision.EndpointState;
import nettlewick.decision.PoolAssignment;

/**
 * What this dispatcher knows of all members' pools, and what that says to its module. Belongs to the duties'
 * thread, but for the list of runners, which the core's thread brings.
 */
final class PoolAssignments implements RequestListener {
    private record KnownPool(PoolState state, double heardAtMillis) {}

    private final double staleAfterMillis;
    private final Map<String, EndpointUpdate.Entry> readyEntries = new ConcurrentHashMap<>();
    private final Map<String, KnownPool> pools = new LinkedHashMap<>();

    /** @param forget after so many milliseconds without a word, a pool keeps nobody else away */
    PoolAssignments(double staleAfterMillis) {
        this.staleAfterMillis = staleAfterMillis;
    }

    @Override
    public void listed(EndpointUpdate update) {
        if (update.whole()) {
            Set<String> named = new HashSet<>();
            update.entries().forEach(entry -> named.add(entry.id()));
            readyEntries.keySet().retainAll(named);
        }
        for (EndpointUpdate.Entry entry : update.entries()) {
            if (entry.state() == EndpointState.READY) {
                readyEntries.put(entry.id(), entry);
            } else {
                readyEntries.remove(entry.id());
            }
        }
    }

    /** The newest state of a member's pool, heard of now. */
    void recordState(String tenant, PoolState state, double nowMillis) {
        pools.put(tenant, new KnownPool(state, nowMillis));
    }

    /** The runners that are ready, as this list and the members' states tell. */
    Map<String, PoolReservation.ReadyEndpoint> readyEndpoints() {
        Map<String, String> addedFor = new HashMap<>();
        pools.forEach((tenant, known) -> known.state().addedEndpoints().forEach(name -> addedFor.put(name, tenant)));
        Map<String, PoolReservation.ReadyEndpoint> endpoints = new HashMap<>();
        readyEntries.forEach((name, entry) -> endpoints.put(
                name,
                new PoolReservation.ReadyEndpoint(
                        name, String.valueOf(entry.zone()), String.valueOf(entry.kind()), addedFor.get(name))));
        return endpoints;
    }

    /** What other members' pools hold. Danger: where two hold one, the first of them by name keeps it. */
    Set<String> endpointsReservedByOthers(String tenant, List<String> own) {
        Set<String> reserved = new HashSet<>();
        pools.forEach((other, known) -> {
            if (!other.equals(tenant) && known.state().migration().step() != Step.SHARED) {
                known.state().migration().endpoints().stream()
                        .filter(r -> other.compareTo(tenant) < 0 || !own.contains(r))
                        .forEach(reserved::add);
            }
        });
        return reserved;
    }

    /** Other members whose work goes to pools of their own alone, with their runners. */
    Map<String, Set<String>> isolatedTenants(String excluded) {
        Map<String, Set<String>> isolated = new HashMap<>();
        pools.forEach((tenant, known) -> {
            if (known.state().migration().step() == Step.DEDICATED && !tenant.equals(excluded)) {
                isolated.put(tenant, Set.copyOf(known.state().migration().endpoints()));
            }
        });
        return isolated;
    }

    /** What the module has to go by now. */
    List<PoolAssignment> currentAssignments(double nowMillis) {
        List<PoolAssignment> assignments = new ArrayList<>();
        pools.forEach((tenant, known) -> {
            Step step = known.state().migration().step();
            if (step.excludesOtherTenants()) {
                boolean fresh = nowMillis - known.heardAtMillis() < staleAfterMillis;
                assignments.add(new PoolAssignment(
                        tenant, Set.copyOf(known.state().migration().endpoints()), fresh, step == Step.DEDICATED));
            }
        });
        return assignments;
    }
}
