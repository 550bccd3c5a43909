package nettlewick.decision;

import java.util.List;

/**
 * The interface of the decision module, which turns events into actions.
 *
 * <p>Times and durations are whole nanoseconds; the clock is monotonic and its origin is arbitrary. The host
 * calls {@link #handle} from one thread at a time, with events in the order in which they happened, and carries
 * out the actions in the order returned. It reports exactly one {@link Event.Outcome} for each
 * {@link Action.Dispatch} and one {@link Event.ProbeAnswer} for each {@link Action.Probe}, delivers each
 * {@link Action.SetTimer} as an {@link Event.Timer} no earlier than its delay, and never reuses a request id. The
 * first {@link AttemptResult#SERVED} outcome of a request is its final answer.
 *
 * <p>The module guarantees one final answer for each arrival before its deadline (a served outcome,
 * {@link Action.Reject} or {@link Action.Fail}), sends no attempt of it afterwards, and dispatches only to
 * endpoints that are ready in its endpoint list. It never blocks, reads no clock and takes its only randomness
 * from the seed: the same events give the same actions.
 */
public interface Dispatcher {
    /**
     * Handles one batch of events.
     *
     * @param now    the time of all events in the batch, in nanoseconds
     * @param events the events in the order in which they happened
     * @return the actions, in the order in which to carry them out
     */
    List<Action> handle(long now, List<Event> events);

    /** The number of endpoints in the list, and how many of them currently receive no requests. */
    default EndpointCounts endpointCounts() {
        return new EndpointCounts(0, 0);
    }

    /**
     * Counts of endpoints.
     *
     * @param listed      endpoints in the list
     * @param unavailable those of them that are ejected, draining or administratively disabled
     */
    record EndpointCounts(int listed, int unavailable) {}

    /** Datagrams from peers that were ignored, wholly or in part, since the start. */
    default PeerMessageFaults peerMessageFaults() {
        return new PeerMessageFaults(0, 0, 0);
    }

    /**
     * Counts of ignored input from peers.
     *
     * @param damaged  datagrams that are truncated or of a kind or version that is not supported
     * @param late     messages that arrived after a newer message of the same peer
     * @param unlisted entries for endpoints that are not in this dispatcher's endpoint list
     */
    record PeerMessageFaults(long damaged, long late, long unlisted) {}

    /** Creates an instance of the decision module; instances share no state. */
    static Dispatcher create(SchedulerSettings settings, long seed) {
        return new RequestScheduler(settings, seed);
    }
}
