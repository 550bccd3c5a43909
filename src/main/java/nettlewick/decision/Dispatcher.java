package nettlewick.decision;

import java.util.List;

/**
 * The interface of the decision module: settings and events go in, actions come out.
 *
 * <p>Times and durations are whole nanoseconds; the clock has no special start and never goes back. The host
 * calls {@link #handle} from one thread at a time, with the events in the order in which they happened, and
 * carries the actions out in the order given. It reports exactly one {@link Event.Outcome} for each
 * {@link Action.Dispatch} and one {@link Event.ProbeAnswer} for each {@link Action.Probe}, delivers each
 * {@link Action.SetTimer} as an {@link Event.Timer} not before its time, and uses each arrival's id only once. A
 * first {@link AttemptResult#SERVED} outcome ends its request by itself.
 *
 * <p>The module guarantees one final answer for each arrival within its time (a served outcome,
 * {@link Action.Reject} or {@link Action.Fail}), sends nothing for it afterwards, and sends only to endpoints
 * that its list names as ready. It never blocks, reads no clock and draws random numbers from its seed alone:
 * the same events give the same actions.
 */
public interface Dispatcher {
    /**
     * Decides on one batch of events.
     *
     * @param now    the time of all the events, in nanoseconds
     * @param events the events in the order in which they happened
     * @return the actions in the order in which to carry them out
     */
    List<Action> handle(long now, List<Event> events);

    /** How many endpoints are on the list, and how many of them get no request now. */
    default EndpointCounts endpointCounts() {
        return new EndpointCounts(0, 0);
    }

    /**
     * Counts of endpoints.
     *
     * @param listed  endpoints on the list
     * @param ejected those of them that are ejected, draining or administratively disabled
     */
    record EndpointCounts(int listed, int unavailable) {}

    /** Datagrams of peers that were ignored since the start, whole or in part. */
    default PeerMessageFaults peerMessageFaults() {
        return new PeerMessageFaults(0, 0, 0);
    }

    /**
     * Counts of what peers sent and was ignored.
     *
     * @param damaged  datagrams of no kind that this version reads, or truncated
     * @param late     messages that a later one of the same peer had overtaken
     * @param unlisted entries that name no endpoint of this dispatcher's list
     */
    record PeerMessageFaults(long damaged, long late, long unlisted) {}

    /** Makes one instance of the decision module; instances share nothing. */
    static Dispatcher create(SchedulerSettings settings, long seed) {
        return new RequestScheduler(settings, seed);
    }
}
