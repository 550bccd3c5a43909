package nettlewick.net.discovery;

import java.util.SplittableRandom;
import nettlewick.decision.SchedulerSettings;

/**
 * The one clock for the list of runners (docs/service.md): when a watch on discovery counts as broken, and
 * when it is opened anew. What a watch that fell silent misses counts as told {@link #TOLD} later, arrived or
 * not; where a call may have to wait its turn, 2 s after that wait, if later. So a silent watch has to
 * be found out, opened and answered inside that time, with calls that fail between. Times are milliseconds.
 * Pure: time is handed in, the pauses' random numbers are the caller's.
 */
public final class WatchStalenessTimer {
    /** What a silent watch missed counts as told after this long. */
    static final double NOTIFIED_AFTER_MILLIS = 6000;
    /** Discovery writes an empty line this often while nothing changes. */
    private static final double KEEP_ALIVE_INTERVAL_MILLIS = 2000;
    /** An agent costs nothing to ask: silent for a line and a half; one that all ask, for over two. */
    private static final double AGENT_SILENCE_MILLIS = 1.5 * KEEP_ALIVE_INTERVAL_MILLIS;

    private static final double SHARED_SERVICE_SILENCE_MILLIS = 2.25 * KEEP_ALIVE_INTERVAL_MILLIS;
    /** Where the wait for one's turn is over, what was missed counts as told after this long. */
    private static final double NOTIFIED_AFTER_WAIT_MILLIS = 2000;
    /** An agent that has answered once, with a warm client: connection and first word in this time. */
    private static final double KNOWN_AGENT_FIRST_MESSAGE_MILLIS = 700;

    /**
     * A first word that stops halfway, on a call that replaces a broken one: given up so early twice, so that
     * two such calls and the pauses between leave time for a third. An agent that is only slow is then waited
     * for.
     */
    private static final double PARTIAL_FIRST_MESSAGE_MILLIS = 800;

    private static final int MAX_EARLY_ABORTS = 2;

    private final PollBackoff backoff;
    private final double maxSilenceMillis;
    private final double notifiedAfterMillis;
    /** Whether this address has ever said a word. */
    private boolean hasEverAnswered;

    private boolean receivedBytes;
    private boolean receivedMessage;
    /** Whether a call before this one has failed, or was to another address. */
    private boolean isReplacement;
    /** Calls in a row that were given up in the middle of their first word. */
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

    /** By a site's settings; the seed is that of the pauses. */
    public static WatchStalenessTimer of(SchedulerSettings settings, long seed) {
        double maxWaitMillis = settings.rules().askWithin() / 1e6;
        return new WatchStalenessTimer(
                new PollBackoff(
                        settings.listOnRequest(), settings.fleetSize(), maxWaitMillis, new SplittableRandom(seed)),
                maxWaitMillis);
    }

    /** After how long at most what a watch missed counts as told, from its last word. */
    double notifiedAfterMillis() {
        return notifiedAfterMillis;
    }

    /** A call begins: it has to connect and bring its first word in time. */
    void callStarted(double now) {
        receivedBytes = false;
        receivedMessage = false;
        deadline = now
                + (hasEverAnswered && !backoff.isSharedService()
                        ? KNOWN_AGENT_FIRST_MESSAGE_MILLIS
                        : backoff.firstMessageTimeoutMillis());
    }

    /** Part of a word has come: a long first one is waited for, but no word for longer than silence. */
    void bytesReceived(double now) {
        if (!receivedBytes) {
            receivedBytes = true;
            boolean abortEarly = isReplacement && !backoff.isSharedService() && partialFirstMessages < MAX_EARLY_ABORTS;
            deadline = now + (abortEarly ? PARTIAL_FIRST_MESSAGE_MILLIS : maxSilenceMillis);
        }
    }

    /** A whole word has come, an empty line too. */
    void messageReceived(double now) {
        receivedBytes = true;
        receivedMessage = true;
        partialFirstMessages = 0;
        hasEverAnswered = true;
        silentSince = Double.NaN;
        deadline = now + maxSilenceMillis;
        lastMessageAt = now;
    }

    /** A whole list or change has come in order: the next pause is a short one again. */
    void listReceived() {
        backoff.reset();
    }

    /** When the call that is open counts as broken; infinite while none is. */
    double deadline() {
        return deadline;
    }

    /**
     * The call is over; how long to wait until the next. While what may have been missed does not count as
     * told yet, the pause leaves time for one more call after it.
     */
    double callEnded(double now) {
        deadline = Double.POSITIVE_INFINITY;
        isReplacement = true;
        partialFirstMessages += receivedBytes && !receivedMessage ? 1 : 0;
        silentSince = Double.isNaN(silentSince) ? lastMessageAt : silentSince;
        double remainingMillis = silentSince + notifiedAfterMillis - now - backoff.firstMessageTimeoutMillis();
        return backoff.nextPauseMillis(remainingMillis > 0 ? remainingMillis : Double.POSITIVE_INFINITY);
    }

    /** Discovery is at another address now, of which nothing is known. */
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
