package nettlewick.core;

import nettlewick.decision.SchedulerSettings.Limits;

/**
 * The retry delay that clients are advised to use after a rejection decided by this package. If the limits disable
 * retry advice, all methods return 0. Stateless; durations are in milliseconds.
 */
final class RetryAdvice {
    /** Another dispatcher or the successor of this one can take the retry immediately. */
    private static final double OTHER_DISPATCHER_MILLIS = 200;
    /** A dispatcher that exits is restarted within seconds. */
    private static final double RESTART_MILLIS = 1000;

    private final boolean isAllowed;
    private final double maxMillis;

    RetryAdvice(Limits limits) {
        isAllowed = limits.allowsRetryAfter();
        maxMillis = ModuleTime.toMillis(limits.maxRetryAfterNanos());
    }

    /** For a request that this process cannot take, but another one can. */
    double atOtherDispatcher() {
        return capToMax(OTHER_DISPATCHER_MILLIS);
    }

    /** For a request that no process can take until this one has been restarted. */
    double afterRestart() {
        return capToMax(RESTART_MILLIS);
    }

    /** For a request that arrives while the limit on unanswered requests is reached. */
    double whileFull() {
        return isAllowed ? maxMillis / 2 : 0;
    }

    private double capToMax(double millis) {
        boolean isBounded = maxMillis > 0;
        return isAllowed ? (isBounded ? Math.min(millis, maxMillis) : millis) : 0;
    }
}
