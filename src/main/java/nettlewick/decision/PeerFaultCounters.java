package nettlewick.decision;

/** Counts the input from peers that was ignored since the start. */
final class PeerFaultCounters {
    private long damaged;
    private long late;
    private long unlisted;

    /** Counts a datagram that is truncated, of an unsupported kind or version, or meant for another dispatcher. */
    void countDamaged() {
        damaged++;
    }

    /** Counts a message that arrived after a newer message of the same peer. */
    void countLate() {
        late++;
    }

    /** Counts entries for endpoints that are not in this dispatcher's endpoint list. */
    void countUnlisted(int entries) {
        unlisted += entries;
    }

    Dispatcher.PeerMessageFaults counts() {
        return new Dispatcher.PeerMessageFaults(damaged, late, unlisted);
    }
}
