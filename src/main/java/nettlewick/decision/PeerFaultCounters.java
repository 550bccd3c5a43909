package nettlewick.decision;

/** What of the peers' datagrams was passed over, whole or in part, since the start. Counts only. */
final class PeerFaultCounters {
    /** Datagrams of no kind that this version reads, or truncated. */
    long damaged;
    /** Notes overtaken by a later one of the same peer. */
    long late;
    /** Entries of notes that name no worker of this dispatcher's list. */
    long unlisted;

    Dispatcher.PeerMessageFaults counts() {
        return new Dispatcher.PeerMessageFaults(damaged, late, unlisted);
    }
}
