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
    private final Set<Endpoint> ringMembers = new LinkedHashSet<>();

    /** A pool for endpoints of one kind, or of all where {@code kind} is -1. */
    EndpointPool(int kind) {
        this.kind = kind;
    }

    /** Keeps those of the endpoints that are ready and of the kind; only changes reach the hash rings. */
    void refill(Collection<Endpoint> endpoints, int ringPlaces) {
        ready = endpoints.stream()
                .filter(endpoint -> endpoint.isReady() && (kind < 0 || endpoint.kind() == kind))
                .toList();
        local = ready.stream().filter(Endpoint::isLocal).toList();
        remote = ready.stream().filter(endpoint -> !endpoint.isLocal()).toList();
        zoneCount = (int) ready.stream()
                .map(endpoint -> String.valueOf(endpoint.entry().zone()))
                .distinct()
                .count();
        updateRings(ringPlaces);
    }

    private void updateRings(int ringPlaces) {
        Set<Endpoint> remaining = new LinkedHashSet<>(ready);
        for (Endpoint endpoint : remaining) {
            if (ringMembers.add(endpoint)) {
                placeOnRings(endpoint, ringPlaces, true);
            }
        }
        ringMembers.removeIf(endpoint -> {
            boolean leaves = !remaining.contains(endpoint);
            if (leaves) {
                placeOnRings(endpoint, ringPlaces, false);
            }
            return leaves;
        });
    }

    private void placeOnRings(Endpoint endpoint, int ringPlaces, boolean on) {
        ring.place(endpoint.id(), endpoint, ringPlaces, on);
        if (endpoint.isLocal()) {
            localRing.place(endpoint.id(), endpoint, ringPlaces, on);
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
