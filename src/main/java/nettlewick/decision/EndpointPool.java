package nettlewick.decision;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** The workers that may run a class: all that are ready, and the small pool that is probed. */
final class EndpointPool {
    final int kind;
    List<Endpoint> ready = new ArrayList<>();
    List<Endpoint> local = new ArrayList<>();
    List<Endpoint> remote = new ArrayList<>();
    int zoneCount;
    List<Endpoint> probed = new ArrayList<>();
    /** Hash places of the ready workers, of all and of the own zone. */
    final HashRing<Endpoint> ring = new HashRing<>();

    final HashRing<Endpoint> localRing = new HashRing<>();
    private final Set<Endpoint> ringMembers = new LinkedHashSet<>();
    /** Work finished for this dispatcher since the last Δ, and a warm worker's part of it a second. */
    double servedSlotSeconds;

    double carriedRate;
    /** How often that was measured. */
    int measurements;
    /** How much longer than hinted jobs run on this kind: the logarithm's mean. */
    final RunningMean slowdown = new RunningMean(100);
    /** What jobs waited here against what was foretold. */
    final WaitCalibration waitCalibration = new WaitCalibration();
    /** Most free slots that a worker of the kind was seen to have. */
    double mostFreeSlots;

    EndpointPool(int kind) {
        this.kind = kind;
    }

    /** Sorts out who of these is ready and of the kind. */
    void refill(Collection<Endpoint> endpoints, int ringPlaces) {
        ready = endpoints.stream()
                .filter(endpoint -> endpoint.isReady && (kind < 0 || endpoint.kind == kind))
                .toList();
        local = ready.stream().filter(endpoint -> endpoint.isLocal).toList();
        remote = ready.stream().filter(endpoint -> !endpoint.isLocal).toList();
        zoneCount = (int) ready.stream()
                .map(endpoint -> String.valueOf(endpoint.entry.zone()))
                .distinct()
                .count();
        // Danger: a growing fleet changes its list many times a second: only what changed is set.
        Set<Endpoint> stays = new LinkedHashSet<>(ready);
        for (Endpoint endpoint : stays) {
            if (ringMembers.add(endpoint)) {
                updateRings(endpoint, ringPlaces, true);
            }
        }
        ringMembers.removeIf(endpoint -> {
            boolean leaves = !stays.contains(endpoint);
            if (leaves) {
                updateRings(endpoint, ringPlaces, false);
            }
            return leaves;
        });
    }

    private void updateRings(Endpoint endpoint, int ringPlaces, boolean on) {
        ring.place(endpoint.id, endpoint, ringPlaces, on);
        if (endpoint.isLocal) {
            localRing.place(endpoint.id, endpoint, ringPlaces, on);
        }
    }
}
