package nettlewick.decision;

/** Counts what of the peers' datagrams was passed over, whole or in part, since the start. */
final class PeerFaultCounters {
    private long damaged;
    private long late;
    private long unlisted;

    /** A datagram of no kind that this version reads, a truncated one, or one sent to the wrong dispatcher. */
    void countDamaged() {
        damaged++;
    }

    /** A message that a later one of the same peer has overtaken. */
    void countLate() {
        late++;
    }

    /** Entries that name no endpoint of this dispatcher's list. */
    void countUnlisted(int entries) {
        unlisted += entries;
    }

    Dispatcher.PeerMessageFaults counts() {
        return new Dispatcher.PeerMessageFaults(damaged, late, unlisted);
    }
}
