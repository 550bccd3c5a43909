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
    private record Known(PoolState state, double at) {}

    private final double forget;
    private final Map<String, EndpointUpdate.Entry> ready = new ConcurrentHashMap<>();
    private final Map<String, Known> pools = new LinkedHashMap<>();

    /** @param forget after so many milliseconds without a word, a pool keeps nobody else away */
    PoolAssignments(double forget) {
        this.forget = forget;
    }

    @Override
    public void listed(EndpointUpdate roster) {
        if (roster.whole()) {
            Set<String> named = new HashSet<>();
            roster.entries().forEach(e -> named.add(e.id()));
            ready.keySet().retainAll(named);
        }
        for (EndpointUpdate.Entry e : roster.entries()) {
            if (e.state() == EndpointState.READY) {
                ready.put(e.id(), e);
            } else {
                ready.remove(e.id());
            }
        }
    }

    /** The newest state of a member's pool, heard of now. */
    void take(String tenant, PoolState state, double now) {
        pools.put(tenant, new Known(state, now));
    }

    /** The runners that are ready, as this list and the members' states tell. */
    Map<String, PoolReservation.Runner> ready() {
        Map<String, String> addedFor = new HashMap<>();
        pools.forEach((tenant, known) -> known.state().added().forEach(name -> addedFor.put(name, tenant)));
        Map<String, PoolReservation.Runner> endpoints = new HashMap<>();
        ready.forEach((name, e) -> endpoints.put(
                name,
                new PoolReservation.Runner(
                        name, String.valueOf(e.zone()), String.valueOf(e.kind()), addedFor.get(name))));
        return endpoints;
    }

    /** What other members' pools hold. Danger: where two hold one, the first of them by name keeps it. */
    Set<String> taken(String tenant, List<String> own) {
        Set<String> taken = new HashSet<>();
        pools.forEach((other, known) -> {
            if (!other.equals(tenant) && known.state().move().step() != Step.NONE) {
                known.state().move().runners().stream()
                        .filter(r -> other.compareTo(tenant) < 0 || !own.contains(r))
                        .forEach(taken::add);
            }
        });
        return taken;
    }

    /** Other members whose work goes to pools of their own alone, with their runners. */
    Map<String, Set<String>> apart(String but) {
        Map<String, Set<String>> apart = new HashMap<>();
        pools.forEach((tenant, known) -> {
            if (known.state().move().step() == Step.OPEN && !tenant.equals(but)) {
                apart.put(tenant, Set.copyOf(known.state().move().runners()));
            }
        });
        return apart;
    }

    /** What the module has to go by now. */
    List<PoolAssignment> assignments(double now) {
        List<PoolAssignment> all = new ArrayList<>();
        pools.forEach((tenant, known) -> {
            Step step = known.state().move().step();
            if (step.shut()) {
                boolean heard = now - known.at() < forget;
                all.add(new PoolAssignment(
                        tenant, Set.copyOf(known.state().move().runners()), heard, step == Step.OPEN));
            }
        });
        return all;
    }
}
