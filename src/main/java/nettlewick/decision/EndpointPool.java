package nettlewick.decision;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** The endpoints that may serve a request class: all ready ones, and the subset that is probed. */
final class EndpointPool {
    private final int kind;
    private final EndpointKindStats stats = new EndpointKindStats();
    private List<Endpoint> ready = new ArrayList<>();
    private List<Endpoint> local = new ArrayList<>();
    private List<Endpoint> remote = new ArrayList<>();
    private List<Endpoint> probed = new ArrayList<>();
    private int zoneCount;
    private final HashRing<Endpoint> ring = new HashRing<>();
    private final HashRing<Endpoint> localRing = new HashRing<>();
    private final Set<Endpoint> membersOnRing = new LinkedHashSet<>();

    /** Creates a pool for endpoints of one kind, or of all kinds if {@code kind} is -1. */
    EndpointPool(int kind) {
        this.kind = kind;
    }

    /** Replaces the pool's endpoints by the ready ones of its kind; the hash rings are updated incrementally. */
    void rebuild(Collection<Endpoint> endpoints, int virtualNodes) {
        ready = endpoints.stream()
                .filter(endpoint -> endpoint.isReady() && (kind < 0 || endpoint.kind() == kind))
                .toList();
        local = ready.stream().filter(Endpoint::isLocal).toList();
        remote = ready.stream().filter(endpoint -> !endpoint.isLocal()).toList();
        zoneCount = (int) ready.stream()
                .map(endpoint -> String.valueOf(endpoint.entry().zone()))
                .distinct()
                .count();
        updateRings(virtualNodes);
    }

    private void updateRings(int virtualNodes) {
        Set<Endpoint> current = new LinkedHashSet<>(ready);
        for (Endpoint endpoint : current) {
            if (membersOnRing.add(endpoint)) {
                setRingMembership(endpoint, virtualNodes, true);
            }
        }
        membersOnRing.removeIf(endpoint -> {
            boolean leaves = !current.contains(endpoint);
            if (leaves) {
                setRingMembership(endpoint, virtualNodes, false);
            }
            return leaves;
        });
    }

    private void setRingMembership(Endpoint endpoint, int virtualNodes, boolean isMember) {
        ring.setMembership(endpoint.id(), endpoint, virtualNodes, isMember);
        if (endpoint.isLocal()) {
            localRing.setMembership(endpoint.id(), endpoint, virtualNodes, isMember);
        }
    }

    int kind() {
        return kind;
    }

    EndpointKindStats stats() {
        return stats;
    }

    List<Endpoint> ready() {
        return ready;
    }

    /** The ready endpoints in the dispatcher's own zone. */
    List<Endpoint> local() {
        return local;
    }

    /** The ready endpoints in other zones. */
    List<Endpoint> remote() {
        return remote;
    }

    int zoneCount() {
        return zoneCount;
    }

    /** The ready endpoints that are probed and selected from by load reports. */
    List<Endpoint> probed() {
        return probed;
    }

    void setProbed(List<Endpoint> endpoints) {
        probed = List.copyOf(endpoints);
    }

    /** Returns the key's first {@code count} successors on the own zone's hash ring, then those on the global ring. */
    List<Endpoint> successors(String key, int count) {
        List<Endpoint> found = localRing.successors(key, count);
        found.addAll(ring.successors(key, count));
        return found;
    }
}
