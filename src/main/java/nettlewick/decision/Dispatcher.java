package nettlewick.decision;

import java.util.List;

/**
 * The interface of the decision module: settings and events go in, actions come out.
 *
 * <p>Times and durations are whole nanoseconds; the clock has no special start and never goes back. The host
 * calls {@link #handle} from one thread at a time, with the events in the order in which they happened, and
 * carries the actions out in the order given. It reports exactly one {@link Outcome} for each
 * {@link Dispatch} and one {@link ProbeAnswer} for each {@link Probe}, delivers each {@link SetTimer} as a
 * {@link Timer} not before its time, and hands an arrival's id out only once. A first {@link AttemptResult#SERVED}
 * outcome ends its request by itself.
 *
 * <p>The module guarantees one final answer for each arrival within its time (a served outcome,
 * {@link Reject} or {@link Fail}), sends nothing for it afterwards, and sends only to workers that its list
 * names as ready. It never blocks, reads no clock and draws random numbers from its seed alone: the same
 * events give the same actions.
 */
public interface Dispatcher {
    /** Decides on one batch of events, all of which happen at {@code now}. */
    List<Action> handle(long now, List<Event> events);

    /** How many workers are on the list, and how many of them get no job now. */
    default EndpointCounts endpointCounts() {
        return new EndpointCounts(0, 0);
    }

    /** Workers on the list, and those of them that are left out, by hand or by choice. */
    record EndpointCounts(int listed, int ejected) {}

    /** Peers' datagrams passed over since the start, whole or in part. */
    default PeerMessageFaults peerMessageFaults() {
        return new PeerMessageFaults(0, 0, 0);
    }

    /**
     * Counts of what peers sent and was passed over.
     *
     * @param damaged  datagrams of no kind that this version reads, or truncated
     * @param late     notes that a later one of the same peer had overtaken
     * @param unlisted entries that name no sim runner of this dispatcher's list
     */
    record PeerMessageFaults(long damaged, long late, long unlisted) {}

    /** Makes one instance of the decision module; instances share nothing. */
    static Dispatcher create(SchedulerSettings settings, long seed) {
        return new RequestScheduler(settings, seed);
    }
}
