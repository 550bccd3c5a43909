package nettlewick.net;

import java.util.SplittableRandom;
import nettlewick.decision.SchedulerSettings;

/**
 * The one clock for the list of runners (docs/service.md): when a watch on discovery counts as broken, and
 * when it is opened anew. What a watch that fell silent misses counts as told {@link #TOLD} later, arrived or
 * not; where a call may have to wait its turn, 2 s after that wait, if later. So a silent watch has to
 * be found out, opened and answered inside that time, with calls that fail between. Times are milliseconds.
 * Pure: time is handed in, the pauses' random numbers are the caller's.
 */
final class WatchStalenessTimer {
    /** What a silent watch missed counts as told after this long. */
    static final double TOLD = 6000;
    /** Discovery writes an empty line this often while nothing changes. */
    private static final double LINE = 2000;
    /** An agent costs nothing to ask: silent for a line and a half; one that all ask, for over two. */
    private static final double AGENT_SILENCE = 1.5 * LINE;

    private static final double ASKED_SILENCE = 2.25 * LINE;
    /** Where the wait for one's turn is over, what was missed counts as told after this long. */
    private static final double AFTER_WAIT = 2000;
    /** An agent that has answered once, with a warm client: connection and first word in this time. */
    private static final double KNOWN_FIRST = 700;

    /**
     * A first word that stops halfway, on a call that replaces a broken one: given up so early twice, so that
     * two such calls and the pauses between leave time for a third. An agent that is only slow is then waited
     * for.
     */
    private static final double HALF_WORD = 800;

    private static final int CUT_SHORT = 2;

    private final PollBackoff pause;
    private final double silence;
    private final double told;
    /** Whether this address has ever said a word. */
    private boolean known;

    private boolean heard;
    private boolean spoke;
    /** Whether a call before this one has failed, or was to another address. */
    private boolean replaces;
    /** Calls in a row that were given up in the middle of their first word. */
    private int halfWords;

    private double deadline = Double.POSITIVE_INFINITY;
    private double saidAt = Double.NaN;
    private double missedAt = Double.NaN;

    /**
     * @param pause  the pauses between calls
     * @param within where discovery is asked: for how long a call may wait, in ms
     */
    WatchStalenessTimer(PollBackoff pause, double within) {
        this.pause = pause;
        silence = pause.asked() ? ASKED_SILENCE : AGENT_SILENCE;
        told = pause.asked() ? Math.max(TOLD, within + AFTER_WAIT) : TOLD;
    }

    /** By a site's settings; the seed is that of the pauses. */
    static WatchStalenessTimer of(SchedulerSettings settings, long seed) {
        double within = settings.rules().askWithin() / 1e6;
        return new WatchStalenessTimer(
                new PollBackoff(settings.listOnRequest(), settings.fleetSize(), within, new SplittableRandom(seed)),
                within);
    }

    /** After how long at most what a watch missed counts as told, from its last word. */
    double told() {
        return told;
    }

    /** A call begins: it has to connect and bring its first word in time. */
    void opens(double now) {
        heard = false;
        spoke = false;
        deadline = now + (known && !pause.asked() ? KNOWN_FIRST : pause.first());
    }

    /** Part of a word has come: a long first one is waited for, but no word for longer than silence. */
    void part(double now) {
        if (!heard) {
            heard = true;
            boolean cutShort = replaces && !pause.asked() && halfWords < CUT_SHORT;
            deadline = now + (cutShort ? HALF_WORD : silence);
        }
    }

    /** A whole word has come, an empty line too. */
    void word(double now) {
        heard = true;
        spoke = true;
        halfWords = 0;
        known = true;
        missedAt = Double.NaN;
        deadline = now + silence;
        saidAt = now;
    }

    /** A whole list or change has come in order: the next pause is a short one again. */
    void list() {
        pause.reset();
    }

    /** When the call that is open counts as broken; infinite while none is. */
    double deadline() {
        return deadline;
    }

    /**
     * The call is over; how long to wait until the next. While what may have been missed does not count as
     * told yet, the pause leaves time for one more call after it.
     */
    double broken(double now) {
        deadline = Double.POSITIVE_INFINITY;
        replaces = true;
        halfWords += heard && !spoke ? 1 : 0;
        missedAt = Double.isNaN(missedAt) ? saidAt : missedAt;
        double left = missedAt + told - now - pause.first();
        return pause.next(left > 0 ? left : Double.POSITIVE_INFINITY);
    }

    /** Discovery is at another address now, of which nothing is known. */
    void moved() {
        known = false;
        replaces = true;
        halfWords = 0;
        missedAt = Double.NaN;
        saidAt = Double.NaN;
        deadline = Double.POSITIVE_INFINITY;
        pause.reset();
    }
}
