package nettlewick.core;

import nettlewick.decision.SchedulerSettings.Limits;

/**
 * When clients are advised to try again after a rejection that this package decides on. Where the site does not let
 * dispatchers advise, all methods return 0, for no advice. Pure; durations in milliseconds.
 */
final class RetryAdvice {
    /** Another dispatcher, or the successor of this one, takes the request at once. */
    private static final double OTHER_DISPATCHER_MILLIS = 200;
    /** A dispatcher that ends is started anew within seconds. */
    private static final double RESTART_MILLIS = 1000;

    private final boolean isAllowed;
    private final double maxMillis;

    RetryAdvice(Limits limits) {
        isAllowed = limits.retryAfter();
        maxMillis = ModuleTime.toMillis(limits.maxRetryAfter());
    }

    /** For a request that this process cannot take now and another one can. */
    double atOtherDispatcher() {
        return capToMax(OTHER_DISPATCHER_MILLIS);
    }

    /** For a request that finds no process until this one has been started anew. */
    double afterRestart() {
        return capToMax(RESTART_MILLIS);
    }

    /** For a request that comes while as many wait for their answer as may. */
    double whileFull() {
        return isAllowed ? maxMillis / 2 : 0;
    }

    private double capToMax(double millis) {
        boolean isBounded = maxMillis > 0;
        return isAllowed ? (isBounded ? Math.min(millis, maxMillis) : millis) : 0;
    }
}
