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
    public record Runner(String name, String zone, String kind, String addedFor) {}

    /** So many common runners at most: their names are part of a duty's state, which is short. */
    private static final int MOST = 150;

    private PoolReservation() {}

    /**
     * @param had   the pool as it is: what of it is still ready stays
     * @param taken what others' pools hold
     * @param share the member's share of all runners
     * @param part  the part of all runners that pools may hold together
     */
    public static List<String> pick(
            String tenant, Map<String, Runner> ready, List<String> had, Set<String> taken, double share, double part) {
        List<Runner> common =
                ready.values().stream().filter(r -> r.addedFor() == null).toList();
        List<String> pool = new ArrayList<>(ready.values().stream()
                .filter(r -> tenant.equals(r.addedFor()))
                .map(Runner::name)
                .sorted()
                .toList());
        long elsewhere = common.stream().filter(r -> taken.contains(r.name())).count();
        int room = (int) Math.floor(part * common.size()) - (int) elsewhere;
        int wanted = Math.max(1, (int) Math.round(share * common.size()));
        int size = Math.max(0, Math.min(Math.min(room, MOST), wanted));
        Set<String> before = new HashSet<>(had);
        Comparator<Runner> first = Comparator.comparing((Runner r) -> !before.contains(r.name()))
                .thenComparingLong(r -> weight(tenant, r.name()))
                .thenComparing(Runner::name);
        Map<String, List<Runner>> groups = new TreeMap<>();
        common.stream()
                .filter(r -> !taken.contains(r.name()))
                .sorted(first)
                .forEach(r -> groups.computeIfAbsent(r.kind() + " " + r.zone(), g -> new ArrayList<>())
                        .add(r));
        quotas(groups, size)
                .forEach((group, count) -> groups.get(group).subList(0, count).forEach(r -> pool.add(r.name())));
        return pool;
    }

    /** How many of each group, in proportion to its size, the largest remainders first. */
    private static Map<String, Integer> quotas(Map<String, List<Runner>> groups, int size) {
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

    private static long weight(String tenant, String endpoint) {
        return CandidateRanking.mix(tenant.hashCode() * 0x9E3779B97F4A7C15L + endpoint.hashCode());
    }
}
