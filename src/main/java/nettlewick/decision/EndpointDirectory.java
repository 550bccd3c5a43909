package nettlewick.decision;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.SplittableRandom;
import nettlewick.decision.Event.EndpointList;

/** All endpoints that have ever been on the list, by id, in the order of their first appearance. */
final class EndpointDirectory {
    private final SchedulerSettings settings;
    private final SchedulerClock clock;
    private final SplittableRandom random;
    private final EndpointRegistry registry;
    private final RequestStatistics statistics;
    private final Map<String, Endpoint> byId = new LinkedHashMap<>();

    EndpointDirectory(SchedulerContext context, EndpointRegistry registry, RequestStatistics statistics) {
        this.settings = context.settings();
        this.clock = context.clock();
        this.random = context.random();
        this.registry = registry;
        this.statistics = statistics;
    }

    /** Applies an endpoint list as returned by {@link EndpointRegistry}, with administrative changes included. */
    void apply(EndpointList list) {
        if (list.isComplete()) {
            byId.values().forEach(Endpoint::markNotReady);
        }
        for (EndpointEntry entry : list.entries()) {
            Endpoint endpoint = byId.computeIfAbsent(entry.id(), Endpoint::new);
            if (endpoint.isRestartedBy(entry)) {
                endpoint.resetAfterRestart();
                endpoint.slowStartCredit().reset(initialCredit(entry.id()), clock.now());
            }
            endpoint.update(entry, settings.kinds().indexOf(entry.kind()), isInOwnZone(entry));
        }
    }

    /** A random debt, so that dispatchers don't all send their first request to a new endpoint at once. */
    private double initialCredit(String id) {
        double debt = random.nextDouble() * SlowStartBudget.maxInitialDebt(statistics.meanCost());
        return registry.isReenabled(id) ? Double.MIN_NORMAL : -debt;
    }

    private boolean isInOwnZone(EndpointEntry entry) {
        return settings.zone() == null || settings.zone().equals(entry.zone());
    }

    /** Returns the endpoint with this id, null if it was never on the list. */
    Endpoint find(String id) {
        return byId.get(id);
    }

    Collection<Endpoint> all() {
        return byId.values();
    }

    /** Whether an endpoint currently receives no requests because it is unknown, not ready or ejected. */
    boolean isUnavailable(String id) {
        Endpoint endpoint = byId.get(id);
        return endpoint == null || !endpoint.isReady() || endpoint.health().isEjected(clock.now());
    }
}
