package nettlewick.decision;

import java.util.List;

/**
 * Sends the requests of one key to the few endpoints that follow the key on a hash ring, so that all dispatchers
 * prefer the same ones, and limits how many requests spill over to other endpoints.
 */
final class KeyAffinity {
    /** Number of endpoints on each ring that a key's requests are sent to while one of them has free capacity. */
    private static final int PREFERRED_ENDPOINTS = 2;
    /** Requests that may spill over to other endpoints, per request for which a preferred one had free capacity. */
    private static final double SPILLOVER_PER_PREFERRED = 0.25;

    private static final double MAX_SPILLOVER_TOKENS = 2;

    private final SchedulerClock clock;
    private final CapacityEstimator capacity;
    private final EndpointEligibility eligibility;
    private double spilloverTokens;
    /** Whether a preferred endpoint had free capacity for the last request with a key. */
    private boolean hadPreferredCapacity;

    KeyAffinity(SchedulerClock clock, CapacityEstimator capacity, EndpointEligibility eligibility) {
        this.clock = clock;
        this.capacity = capacity;
        this.eligibility = eligibility;
    }

    /** Returns the preferred endpoints for the request's key; the request must have one. */
    static List<Endpoint> preferredEndpoints(ScheduledRequest request, EndpointPool pool) {
        return pool.successors(request.arrival().key(), PREFERRED_ENDPOINTS);
    }

    /** Selects the first eligible preferred endpoint with free capacity, else the one with most spare slots. */
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

    /** Whether a request may be sent to an endpoint that is not among its preferred ones. */
    boolean maySpillOver() {
        return spilloverTokens >= 1;
    }

    /** Counts a dispatch of a request with a key towards the spillover limit. */
    void recordDispatch() {
        spilloverTokens =
                Math.min(spilloverTokens + (hadPreferredCapacity ? SPILLOVER_PER_PREFERRED : -1), MAX_SPILLOVER_TOKENS);
    }
}
