package nettlewick.decision;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import nettlewick.decision.Dispatcher.Assignment;
import nettlewick.decision.State.Pool;
import nettlewick.decision.State.Worker;

/**
 * Workers that are kept for tenants, as they were assigned, and the pools that this leaves to each of these.
 * Chooses nothing: a tenant's jobs go by the same rules among its own candidates.
 */
final class Kept {
    private final List<Assignment> assignments;
    private final Set<String> shut = new HashSet<>();
    /** By tenant, then by kind from -1 on. */
    private final Map<String, List<Pool>> pools = new HashMap<>();

    Kept(List<Assignment> assignments) {
        this.assignments = List.copyOf(assignments);
        for (Assignment a : assignments) {
            if (a.shut()) {
                shut.addAll(a.workers());
            }
        }
    }

    /** Those that are for all. */
    Collection<Worker> common(Collection<Worker> workers) {
        return workers.stream().filter(w -> !shut.contains(w.id)).toList();
    }

    void refill(Collection<Worker> workers, List<Pool> common, int ringPlaces) {
        for (Assignment a : assignments) {
            List<Worker> candidates = workers.stream()
                    .filter(w -> a.workers().contains(w.id) || !a.confined() && !shut.contains(w.id))
                    .toList();
            List<Pool> own = pools.computeIfAbsent(
                    a.tenant(), t -> common.stream().map(p -> new Pool(p.kind)).toList());
            own.forEach(pool -> pool.refill(candidates, ringPlaces));
        }
    }

    List<Pool> with(List<Pool> common) {
        List<Pool> all = new ArrayList<>(common);
        pools.values().forEach(all::addAll);
        return all;
    }

    /** Whether the tenant's jobs go to its own workers alone, and one of them is ready. */
    boolean apart(String tenant) {
        return assignments.stream().anyMatch(a -> a.confined() && a.tenant().equals(tenant))
                && pools.get(tenant).stream().anyMatch(p -> !p.ready.isEmpty());
    }

    /** The tenant's own candidates of a kind, or the common ones where it has none that is ready. */
    Pool pool(String tenant, Pool common) {
        List<Pool> own = pools.get(tenant);
        Pool pool = own == null ? common : own.get(common.kind + 1);
        return pool.ready.isEmpty() ? common : pool;
    }
}
