package nettlewick.decision;

import java.util.List;

/**
 * Keeps requests of one key at the few endpoints that follow the key on a hash ring, so that all dispatchers
 * use the same ones, and limits how many go elsewhere.
 */
final class KeyAffinity {
    /** Endpoints of each ring that a key's requests are kept to while one of them has room. */
    private static final int HOME_ENDPOINTS = 2;
    /** Requests that may go elsewhere, for each that went to its home endpoints. */
    private static final double AWAY_PER_HOME = 0.25;

    private static final double MAX_AWAY_TOKENS = 2;

    private final SchedulerClock clock;
    private final CapacityEstimator capacity;
    private final EndpointEligibility eligibility;
    private double awayTokens;
    /** Whether the last request with a key found room at its home endpoints. */
    private boolean hadRoomAtHome;

    KeyAffinity(SchedulerClock clock, CapacityEstimator capacity, EndpointEligibility eligibility) {
        this.clock = clock;
        this.capacity = capacity;
        this.eligibility = eligibility;
    }

    /** The endpoints of the request's key; it must have one. */
    static List<Endpoint> homeEndpoints(ScheduledRequest request, EndpointPool pool) {
        return pool.successors(request.arrival().key(), HOME_ENDPOINTS);
    }

    /** The first of the home endpoints with room, else the roomiest; no endpoint if none is eligible. */
    EndpointSelection selectHome(ScheduledRequest request, EndpointPool pool) {
        Endpoint best = null;
        hadRoomAtHome = false;
        for (Endpoint endpoint : homeEndpoints(request, pool)) {
            if (eligibility.isEligible(request, endpoint)) {
                if (hasRoom(request, endpoint)) {
                    hadRoomAtHome = true;
                    return new EndpointSelection(endpoint, true);
                }
                if (best == null || capacity.spareSlots(request, endpoint) > capacity.spareSlots(request, best)) {
                    best = endpoint;
                }
            }
        }
        return new EndpointSelection(best, false);
    }

    private boolean hasRoom(ScheduledRequest request, Endpoint endpoint) {
        return endpoint.capacity().isFresh(clock.now())
                ? capacity.spareSlots(request, endpoint) >= 0
                : endpoint.inFlight().slots() < 1;
    }

    /** Whether a request may leave its home endpoints. */
    boolean mayLeaveHome() {
        return awayTokens >= 1;
    }

    /** Counts a dispatch of a request with a key towards the limit. */
    void recordDispatch() {
        awayTokens = Math.min(awayTokens + (hadRoomAtHome ? AWAY_PER_HOME : -1), MAX_AWAY_TOKENS);
    }
}
