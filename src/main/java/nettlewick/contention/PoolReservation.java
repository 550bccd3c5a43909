package nettlewick.contention;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import nettlewick.lease.CandidateRanking;

/**
 * Selects the endpoints that are reserved for a tenant, with zones and kinds in proportion. Rendezvous hashing keeps
 * the selection stable: endpoint lists that differ in one endpoint yield selections that differ in one. Stateless.
 */
public final class PoolReservation {
    /**
     * A ready endpoint.
     *
     * @param addedForTenant the tenant for which the provider runs it; null for a shared endpoint
     */
    public record ReadyEndpoint(String name, String zone, String kind, String addedForTenant) {}

    /** The names are stored in the lease's state, whose size is limited. */
    private static final int MAX_SHARED_ENDPOINTS = 150;

    private static final long HASH_MULTIPLIER = 0x9E3779B97F4A7C15L;

    private PoolReservation() {}

    /**
     * Returns the names of the tenant's endpoints: all that were added for it, and its quota of the shared ones.
     *
     * @param ready            all ready endpoints, by name
     * @param current          names of the endpoints in the current pool; those that are still ready are preferred
     * @param reservedByOthers names of endpoints that are reserved for other tenants
     * @param quota            the tenant's fraction of the shared endpoints
     * @param maxPoolFraction  the fraction of the shared endpoints that may be reserved by all tenants together
     */
    public static List<String> selectEndpoints(
            String tenant,
            Map<String, ReadyEndpoint> ready,
            List<String> current,
            Set<String> reservedByOthers,
            double quota,
            double maxPoolFraction) {
        List<String> pool = new ArrayList<>(ready.values().stream()
                .filter(endpoint -> tenant.equals(endpoint.addedForTenant()))
                .map(ReadyEndpoint::name)
                .sorted()
                .toList());
        List<ReadyEndpoint> shared = ready.values().stream()
                .filter(endpoint -> endpoint.addedForTenant() == null)
                .toList();
        List<ReadyEndpoint> free = shared.stream()
                .filter(endpoint -> !reservedByOthers.contains(endpoint.name()))
                .sorted(selectionOrder(tenant, current))
                .toList();
        Map<String, List<ReadyEndpoint>> groups = new TreeMap<>();
        free.forEach(
                endpoint -> groups.computeIfAbsent(endpoint.kind() + " " + endpoint.zone(), group -> new ArrayList<>())
                        .add(endpoint));
        int available = (int) Math.floor(maxPoolFraction * shared.size()) - (shared.size() - free.size());
        int wanted = Math.max(1, (int) Math.round(quota * shared.size()));
        int size = Math.max(0, Math.min(Math.min(available, MAX_SHARED_ENDPOINTS), wanted));
        apportion(groups, size)
                .forEach((group, count) ->
                        groups.get(group).subList(0, count).forEach(endpoint -> pool.add(endpoint.name())));
        return pool;
    }

    /** Endpoints of the current pool first, then the others in the tenant's rendezvous order. */
    private static Comparator<ReadyEndpoint> selectionOrder(String tenant, List<String> current) {
        Set<String> currentNames = new HashSet<>(current);
        return Comparator.comparing((ReadyEndpoint endpoint) -> !currentNames.contains(endpoint.name()))
                .thenComparingLong(endpoint -> rendezvousWeight(tenant, endpoint.name()))
                .thenComparing(ReadyEndpoint::name);
    }

    /** Distributes {@code size} endpoints over the groups in proportion to their sizes (largest remainder method). */
    private static Map<String, Integer> apportion(Map<String, List<ReadyEndpoint>> groups, int size) {
        int total = groups.values().stream().mapToInt(List::size).sum();
        int wanted = Math.min(size, total);
        Map<String, Integer> counts = new LinkedHashMap<>();
        groups.forEach((group, members) -> counts.put(group, total == 0 ? 0 : wanted * members.size() / total));
        int remaining =
                wanted - counts.values().stream().mapToInt(count -> count).sum();
        List<String> byRemainder = groups.keySet().stream()
                .sorted(Comparator.comparingInt(
                        (String group) -> -(wanted * groups.get(group).size() % Math.max(1, total))))
                .toList();
        for (int i = 0; i < remaining; i++) {
            counts.merge(byRemainder.get(i), 1, Integer::sum);
        }
        return counts;
    }

    private static long rendezvousWeight(String tenant, String endpoint) {
        return CandidateRanking.mix(tenant.hashCode() * HASH_MULTIPLIER + endpoint.hashCode());
    }
}
