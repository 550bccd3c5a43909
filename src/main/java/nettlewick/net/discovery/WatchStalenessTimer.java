package nettlewick.net.discovery;

import java.util.SplittableRandom;
import nettlewick.decision.SchedulerSettings;

/**
 * Decides when a watch on discovery counts as broken and when it is resumed (docs/service.md). A dispatcher counts as
 * notified of a change {@link #NOTIFIED_AFTER_MILLIS} after it, whether the change has arrived or not; where a call may
 * have to wait for the service, {@link #NOTIFIED_AFTER_WAIT_MILLIS} after that wait, if that is later. So a silent
 * watch has to be detected, resumed and answered within that time, even if some of the calls fail. Times are in
 * milliseconds. Does no I/O: the caller passes the time and the random numbers.
 */
public final class WatchStalenessTimer {
    /** A dispatcher counts as notified of a change after this time, even if its watch was silent. */
    static final double NOTIFIED_AFTER_MILLIS = 6000;
    /** Discovery writes an empty line this often while nothing changes. */
    private static final double KEEP_ALIVE_INTERVAL_MILLIS = 2000;
    /**
     * Silence after which a watch counts as broken; longer for a shared service, which, unlike an agent, cannot be
     * called at any rate.
     */
    private static final double AGENT_SILENCE_MILLIS = 1.5 * KEEP_ALIVE_INTERVAL_MILLIS;

    private static final double SHARED_SERVICE_SILENCE_MILLIS = 2.25 * KEEP_ALIVE_INTERVAL_MILLIS;
    /** Time after the wait for a shared service at which a dispatcher counts as notified. */
    private static final double NOTIFIED_AFTER_WAIT_MILLIS = 2000;
    /** Timeout for connection and first message of an agent that has answered before. */
    private static final double KNOWN_AGENT_FIRST_MESSAGE_MILLIS = 700;

    /**
     * Timeout for the rest of the first message on a call that replaces a broken one. It applies to the first two such
     * calls, which leaves time for a third; after that, a slow agent gets the full time.
     */
    private static final double PARTIAL_FIRST_MESSAGE_MILLIS = 800;

    private static final int MAX_EARLY_ABORTS = 2;

    private final PollBackoff backoff;
    private final double maxSilenceMillis;
    private final double notifiedAfterMillis;
    /** Whether this address has ever sent a message. */
    private boolean hasEverAnswered;

    private boolean receivedBytes;
    private boolean receivedMessage;
    /** Whether an earlier call failed or was to another address. */
    private boolean isReplacement;
    /** Consecutive calls that ended in the middle of their first message. */
    private int partialFirstMessages;

    private double deadline = Double.POSITIVE_INFINITY;
    private double lastMessageAt = Double.NaN;
    private double silentSince = Double.NaN;

    /**
     * Creates a timer.
     *
     * @param backoff the pauses between calls
     * @param maxWaitMillis for how long a call to a shared service may have to wait
     */
    WatchStalenessTimer(PollBackoff backoff, double maxWaitMillis) {
        this.backoff = backoff;
        maxSilenceMillis = backoff.isSharedService() ? SHARED_SERVICE_SILENCE_MILLIS : AGENT_SILENCE_MILLIS;
        notifiedAfterMillis = backoff.isSharedService()
                ? Math.max(NOTIFIED_AFTER_MILLIS, maxWaitMillis + NOTIFIED_AFTER_WAIT_MILLIS)
                : NOTIFIED_AFTER_MILLIS;
    }

    /**
     * Creates a timer for these settings.
     *
     * @param seed the seed of the random pauses
     */
    public static WatchStalenessTimer of(SchedulerSettings settings, long seed) {
        double maxWaitMillis = settings.rules().maxListRequestDelayNanos() / 1e6;
        return new WatchStalenessTimer(
                new PollBackoff(
                        settings.requestsEndpointList(),
                        settings.fleetSize(),
                        maxWaitMillis,
                        new SplittableRandom(seed)),
                maxWaitMillis);
    }

    /** Time from the last message until changes missed since then count as notified, in milliseconds. */
    double notifiedAfterMillis() {
        return notifiedAfterMillis;
    }

    /** Records the start of a call, which has to connect and deliver its first message before the deadline. */
    void callStarted(double now) {
        receivedBytes = false;
        receivedMessage = false;
        deadline = now
                + (hasEverAnswered && !backoff.isSharedService()
                        ? KNOWN_AGENT_FIRST_MESSAGE_MILLIS
                        : backoff.firstMessageTimeoutMillis());
    }

    /**
     * Records that part of a message has arrived. This gives a long first message more time, but never more than the
     * allowed silence.
     */
    void bytesReceived(double now) {
        if (!receivedBytes) {
            receivedBytes = true;
            boolean abortEarly = isReplacement && !backoff.isSharedService() && partialFirstMessages < MAX_EARLY_ABORTS;
            deadline = now + (abortEarly ? PARTIAL_FIRST_MESSAGE_MILLIS : maxSilenceMillis);
        }
    }

    /** Records a complete message; an empty line counts as one. */
    void messageReceived(double now) {
        receivedBytes = true;
        receivedMessage = true;
        partialFirstMessages = 0;
        hasEverAnswered = true;
        silentSince = Double.NaN;
        deadline = now + maxSilenceMillis;
        lastMessageAt = now;
    }

    /** Records a valid list or change: the next pause is short again. */
    void listReceived() {
        backoff.reset();
    }

    /** When the current call counts as broken, in milliseconds; infinite while there is none. */
    double deadline() {
        return deadline;
    }

    /**
     * Records the end of the call; returns the pause until the next one, in milliseconds. Until changes that may have
     * been missed count as notified, the pause leaves time for one more call.
     */
    double callEnded(double now) {
        deadline = Double.POSITIVE_INFINITY;
        isReplacement = true;
        partialFirstMessages += receivedBytes && !receivedMessage ? 1 : 0;
        silentSince = Double.isNaN(silentSince) ? lastMessageAt : silentSince;
        double remainingMillis = silentSince + notifiedAfterMillis - now - backoff.firstMessageTimeoutMillis();
        return backoff.nextPauseMillis(remainingMillis > 0 ? remainingMillis : Double.POSITIVE_INFINITY);
    }

    /** Discards what is known about the service, after its address has changed. */
    void addressChanged() {
        hasEverAnswered = false;
        isReplacement = true;
        partialFirstMessages = 0;
        silentSince = Double.NaN;
        lastMessageAt = Double.NaN;
        deadline = Double.POSITIVE_INFINITY;
        backoff.reset();
    }
}
