package nettlewick.net.discovery;

import java.util.SplittableRandom;
import nettlewick.decision.SchedulerSettings;

/**
 * Decides when a watch on discovery counts as broken and when it is resumed (docs/service.md). What a silent
 * watch misses counts as notified {@link #NOTIFIED_AFTER_MILLIS} later, whether it arrived or not; where a
 * call may have to wait for the service, {@link #NOTIFIED_AFTER_WAIT_MILLIS} after that wait, if later. So a
 * silent watch has to be noticed, resumed and answered within that time, with failing calls in between. Times
 * are in milliseconds. Does no I/O: the caller passes the time and the random numbers.
 */
public final class WatchStalenessTimer {
    /** What a silent watch missed counts as notified after this time. */
    static final double NOTIFIED_AFTER_MILLIS = 6000;
    /** Discovery writes an empty line this often while nothing changes. */
    private static final double KEEP_ALIVE_INTERVAL_MILLIS = 2000;
    /** Silence after which a watch is broken: an agent can be called freely, a shared service cannot. */
    private static final double AGENT_SILENCE_MILLIS = 1.5 * KEEP_ALIVE_INTERVAL_MILLIS;

    private static final double SHARED_SERVICE_SILENCE_MILLIS = 2.25 * KEEP_ALIVE_INTERVAL_MILLIS;
    /** Time after the wait for a shared service at which what was missed counts as notified. */
    private static final double NOTIFIED_AFTER_WAIT_MILLIS = 2000;
    /** Time for connection and first message of an agent that has answered before. */
    private static final double KNOWN_AGENT_FIRST_MESSAGE_MILLIS = 700;

    /**
     * A first message that stops halfway, on a call that replaces a broken one, is given up this early twice,
     * which leaves time for a third call. After that a slow agent is waited for.
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
    /** Consecutive calls that were given up in the middle of their first message. */
    private int partialFirstMessages;

    private double deadline = Double.POSITIVE_INFINITY;
    private double lastMessageAt = Double.NaN;
    private double silentSince = Double.NaN;

    /**
     * @param pause  the pauses between calls
     * @param within where discovery is asked: for how long a call may wait, in ms
     */
    WatchStalenessTimer(PollBackoff backoff, double maxWaitMillis) {
        this.backoff = backoff;
        maxSilenceMillis = backoff.isSharedService() ? SHARED_SERVICE_SILENCE_MILLIS : AGENT_SILENCE_MILLIS;
        notifiedAfterMillis = backoff.isSharedService()
                ? Math.max(NOTIFIED_AFTER_MILLIS, maxWaitMillis + NOTIFIED_AFTER_WAIT_MILLIS)
                : NOTIFIED_AFTER_MILLIS;
    }

    /**
     * A timer for these settings.
     *
     * @param seed of the random numbers of the pauses
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

    /** Longest time from the last message until what a watch missed counts as notified, in milliseconds. */
    double notifiedAfterMillis() {
        return notifiedAfterMillis;
    }

    /** A call starts; it has to connect and bring its first message before the deadline. */
    void callStarted(double now) {
        receivedBytes = false;
        receivedMessage = false;
        deadline = now
                + (hasEverAnswered && !backoff.isSharedService()
                        ? KNOWN_AGENT_FIRST_MESSAGE_MILLIS
                        : backoff.firstMessageTimeoutMillis());
    }

    /**
     * Part of a message has arrived: a long first message is waited for, but none for longer than the allowed
     * silence.
     */
    void bytesReceived(double now) {
        if (!receivedBytes) {
            receivedBytes = true;
            boolean abortEarly = isReplacement && !backoff.isSharedService() && partialFirstMessages < MAX_EARLY_ABORTS;
            deadline = now + (abortEarly ? PARTIAL_FIRST_MESSAGE_MILLIS : maxSilenceMillis);
        }
    }

    /** A complete message has arrived; an empty line is one. */
    void messageReceived(double now) {
        receivedBytes = true;
        receivedMessage = true;
        partialFirstMessages = 0;
        hasEverAnswered = true;
        silentSince = Double.NaN;
        deadline = now + maxSilenceMillis;
        lastMessageAt = now;
    }

    /** A valid list or change has arrived: the next pause is a short one again. */
    void listReceived() {
        backoff.reset();
    }

    /** When the current call counts as broken, in milliseconds; infinite while there is none. */
    double deadline() {
        return deadline;
    }

    /**
     * The call is over; returns the pause until the next one, in milliseconds. Until what may have been
     * missed counts as notified, the pause leaves time for one more call.
     */
    double callEnded(double now) {
        deadline = Double.POSITIVE_INFINITY;
        isReplacement = true;
        partialFirstMessages += receivedBytes && !receivedMessage ? 1 : 0;
        silentSince = Double.isNaN(silentSince) ? lastMessageAt : silentSince;
        double remainingMillis = silentSince + notifiedAfterMillis - now - backoff.firstMessageTimeoutMillis();
        return backoff.nextPauseMillis(remainingMillis > 0 ? remainingMillis : Double.POSITIVE_INFINITY);
    }

    /** Discovery has another address, of which nothing is known. */
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
