package nettlewick.decision;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** The endpoints that may serve a request class: all that are ready, and the few of them that are probed. */
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

    /** A pool for endpoints of one kind, or of all where {@code kind} is -1. */
    EndpointPool(int kind) {
        this.kind = kind;
    }

    /** Keeps those of the endpoints that are ready and of the kind; only changes reach the hash rings. */
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

    /** The ready ones of the own zone. */
    List<Endpoint> local() {
        return local;
    }

    /** The ready ones of other zones. */
    List<Endpoint> remote() {
        return remote;
    }

    int zoneCount() {
        return zoneCount;
    }

    /** The ready ones that are probed, and chosen from by their reports. */
    List<Endpoint> probed() {
        return probed;
    }

    void setProbed(List<Endpoint> endpoints) {
        probed = List.copyOf(endpoints);
    }

    /** The first {@code count} endpoints of the own zone after the key on the hash ring, then those of all zones. */
    List<Endpoint> successors(String key, int count) {
        List<Endpoint> found = localRing.successors(key, count);
        found.addAll(ring.successors(key, count));
        return found;
    }
}
