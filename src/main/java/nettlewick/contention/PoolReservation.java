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
 * Which of the common runners a member's pool is made of: rendezvous by member and runner, so that views that
 * differ in one runner differ in one, with zones and kinds in proportion. Pure.
 */
public final class PoolReservation {
    /** A runner that is ready, and whether it was added for a member (null: it is for all). */
    public record ReadyEndpoint(String name, String zone, String kind, String addedForTenant) {}

    /** So many common runners at most: their names are part of a duty's state, which is short. */
    private static final int MAX_SHARED_ENDPOINTS = 150;

    private PoolReservation() {}

    /**
     * @param had   the pool as it is: what of it is still ready stays
     * @param taken what others' pools hold
     * @param share the member's share of all runners
     * @param part  the part of all runners that pools may hold together
     */
    public static List<String> selectEndpoints(
            String tenant,
            Map<String, ReadyEndpoint> ready,
            List<String> current,
            Set<String> reservedByOthers,
            double quota,
            double maxPoolFraction) {
        List<ReadyEndpoint> shared =
                ready.values().stream().filter(r -> r.addedForTenant() == null).toList();
        List<String> pool = new ArrayList<>(ready.values().stream()
                .filter(r -> tenant.equals(r.addedForTenant()))
                .map(ReadyEndpoint::name)
                .sorted()
                .toList());
        long elsewhere =
                shared.stream().filter(r -> reservedByOthers.contains(r.name())).count();
        int available = (int) Math.floor(maxPoolFraction * shared.size()) - (int) elsewhere;
        int wanted = Math.max(1, (int) Math.round(quota * shared.size()));
        int size = Math.max(0, Math.min(Math.min(available, MAX_SHARED_ENDPOINTS), wanted));
        Set<String> currentNames = new HashSet<>(current);
        Comparator<ReadyEndpoint> preference = Comparator.comparing(
                        (ReadyEndpoint r) -> !currentNames.contains(r.name()))
                .thenComparingLong(r -> rendezvousWeight(tenant, r.name()))
                .thenComparing(ReadyEndpoint::name);
        Map<String, List<ReadyEndpoint>> groups = new TreeMap<>();
        shared.stream()
                .filter(r -> !reservedByOthers.contains(r.name()))
                .sorted(preference)
                .forEach(r -> groups.computeIfAbsent(r.kind() + " " + r.zone(), g -> new ArrayList<>())
                        .add(r));
        apportion(groups, size)
                .forEach((group, count) -> groups.get(group).subList(0, count).forEach(r -> pool.add(r.name())));
        return pool;
    }

    /** How many of each group, in proportion to its size, the largest remainders first. */
    private static Map<String, Integer> apportion(Map<String, List<ReadyEndpoint>> groups, int size) {
        int all = groups.values().stream().mapToInt(List::size).sum();
        int wanted = Math.min(size, all);
        Map<String, Integer> quotas = new LinkedHashMap<>();
        groups.forEach((group, some) -> quotas.put(group, all == 0 ? 0 : wanted * some.size() / all));
        int left = wanted - quotas.values().stream().mapToInt(q -> q).sum();
        List<String> byRemainder = groups.keySet().stream()
                .sorted(Comparator.comparingInt(
                        (String g) -> -(wanted * groups.get(g).size() % Math.max(1, all))))
                .toList();
        for (int i = 0; i < left; i++) {
            quotas.merge(byRemainder.get(i), 1, Integer::sum);
        }
        return quotas;
    }

    private static long rendezvousWeight(String tenant, String endpoint) {
        return CandidateRanking.mix(tenant.hashCode() * 0x9E3779B97F4A7C15L + endpoint.hashCode());
    }
}
