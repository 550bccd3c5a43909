package nettlewick.decision;

import java.util.List;

/**
 * Keeps requests of one key at the few endpoints that follow the key on a hash ring, so that all dispatchers
 * use the same ones, and limits how many go elsewhere.
 */
final class KeyAffinity {
    /** Endpoints of each ring that a key's requests are kept to while one of them has room. */
    private static final int PREFERRED_ENDPOINTS = 2;
    /** Requests that may go elsewhere, for each that went to its home endpoints. */
    private static final double SPILLOVER_PER_PREFERRED = 0.25;

    private static final double MAX_SPILLOVER_TOKENS = 2;

    private final SchedulerClock clock;
    private final CapacityEstimator capacity;
    private final EndpointEligibility eligibility;
    private double spilloverTokens;
    /** Whether the last request with a key found room at its home endpoints. */
    private boolean hadPreferredCapacity;

    KeyAffinity(SchedulerClock clock, CapacityEstimator capacity, EndpointEligibility eligibility) {
        this.clock = clock;
        this.capacity = capacity;
        this.eligibility = eligibility;
    }

    /** The endpoints of the request's key; it must have one. */
    static List<Endpoint> preferredEndpoints(ScheduledRequest request, EndpointPool pool) {
        return pool.successors(request.arrival().key(), PREFERRED_ENDPOINTS);
    }

    /** The first of the home endpoints with room, else the roomiest; no endpoint if none is eligible. */
    EndpointSelection selectPreferred(ScheduledRequest request, EndpointPool pool) {
        Endpoint best = null;
        hadPreferredCapacity = false;
        for (Endpoint endpoint : preferredEndpoints(request, pool)) {
            if (eligibility.isEligible(request, endpoint)) {
                if (hasFreeCapacity(request, endpoint)) {
                    hadPreferredCapacity = true;
                    return new EndpointSelection(endpoint, true);
                }
                if (best == null || capacity.spareSlots(request, endpoint) > capacity.spareSlots(request, best)) {
                    best = endpoint;
                }
            }
        }
        return new EndpointSelection(best, false);
    }

    private boolean hasFreeCapacity(ScheduledRequest request, Endpoint endpoint) {
        return endpoint.capacity().isFresh(clock.now())
                ? capacity.spareSlots(request, endpoint) >= 0
                : endpoint.inFlight().slots() < 1;
    }

    /** Whether a request may leave its home endpoints. */
    boolean maySpillOver() {
        return spilloverTokens >= 1;
    }

    /** Counts a dispatch of a request with a key towards the limit. */
    void recordDispatch() {
        spilloverTokens =
                Math.min(spilloverTokens + (hadPreferredCapacity ? SPILLOVER_PER_PREFERRED : -1), MAX_SPILLOVER_TOKENS);
    }
}
