package nettlewick.net.endpoint;

import nettlewick.decision.AttemptResult;

/**
 * What is known of one call attempt from its place on a connection: whether it may have run, and its one end.
 * Holds no socket, so that a model can be checked against it.
 */
final class AttemptState {
    /** How far the call has come. */
    enum Phase {
        CONNECTING,
        WRITING,
        SENT,
        OVER
    }

    private Phase phase = Phase.CONNECTING;
    private AttemptResult result;

    Phase phase() {
        return phase;
    }

    /** How it ended; null while it has not. */
    AttemptResult result() {
        return result;
    }

    /** A connection is there and the first byte goes out. False if the call is over by now: write nothing. */
    boolean beginWriting() {
        if (phase != Phase.CONNECTING) {
            return false;
        }
        phase = Phase.WRITING;
        return true;
    }

    /** It starts over on another connection, as only what is harmless to repeat may. */
    void restart() {
        phase = phase == Phase.OVER ? phase : Phase.CONNECTING;
    }

    /** The last byte is written: from now on it may have run. */
    void lastByteWritten() {
        phase = phase == Phase.WRITING ? Phase.SENT : phase;
    }

    /** The connection never came up, broke or ended. Returns the end, or null if there was one before. */
    AttemptResult connectionLost() {
        // Danger: a request cut off before its last byte never ran and may go again, a mark-submit too;
        // one that broke after it may have run.
        return finish(phase == Phase.SENT ? AttemptResult.BROKEN : AttemptResult.UNREACHABLE);
    }

    /** The runner, or this side, ended the call so. Returns the end, or null if there was one before. */
    AttemptResult finish(AttemptResult finalResult) {
        if (phase == Phase.OVER) {
            return null;
        }
        phase = Phase.OVER;
        result = finalResult;
        return finalResult;
    }
}
