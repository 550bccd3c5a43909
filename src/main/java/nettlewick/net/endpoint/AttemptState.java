package nettlewick.net.endpoint;

import nettlewick.decision.AttemptResult;

/**
 * Whether an attempt may have run, and its single result. Holds no socket, so that tests can compare it with a model.
 */
final class AttemptState {
    /** The phases of an attempt. */
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

    /** The result; null while the attempt is not over. */
    AttemptResult result() {
        return result;
    }

    /**
     * The first byte is about to be written; returns false if the attempt is already over and nothing may be
     * written.
     */
    boolean beginWriting() {
        if (phase != Phase.CONNECTING) {
            return false;
        }
        phase = Phase.WRITING;
        return true;
    }

    /** Starts over on another connection; only for requests that may safely be repeated. */
    void restart() {
        phase = phase == Phase.OVER ? phase : Phase.CONNECTING;
    }

    /** The last byte is written: from now on the request may run. */
    void lastByteWritten() {
        phase = phase == Phase.WRITING ? Phase.SENT : phase;
    }

    /** The connection was not established, broke or ended; returns the result, or null if there was one before. */
    AttemptResult connectionLost() {
        // A request cut off before its last byte never ran and may always be retried; after it, it may have run.
        return finish(phase == Phase.SENT ? AttemptResult.BROKEN : AttemptResult.UNREACHABLE);
    }

    /** The endpoint, or this side, ended the attempt; returns the result, or null if there was one before. */
    AttemptResult finish(AttemptResult finalResult) {
        if (phase == Phase.OVER) {
            return null;
        }
        phase = Phase.OVER;
        result = finalResult;
        return finalResult;
    }
}
