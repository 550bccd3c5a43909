package nettlewick.ledger;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import nettlewick.ledger.ReconciliationPlan.Action;
import nettlewick.ledger.ReconciliationPlan.Step;
import nettlewick.ledger.Store.Head;
import nettlewick.ledger.Store.Row;
import nettlewick.sqlite.StoreException;

/** Fetches what a peer holds and the store lacks; verifies each entry against its hash chain first. */
public final class Reconciler {
    private static final int MAX_SEARCH_STEPS = 64;

    /** Result of a round; {@code forks} and {@code faults} (what the peer did wrong) are lines for operators. */
    public record Report(long entries, int origins, List<String> forks, List<String> faults) {}

    private final Store store;
    private final PeerClient peer;
    private final int chunkEntries;

    Reconciler(Store store, PeerClient peer, int chunkEntries) {
        this.store = store;
        this.peer = peer;
        this.chunkEntries = chunkEntries;
    }

    /**
     * Runs one round.
     *
     * @throws IOException if the peer cannot be queried at all
     */
    Report runRound() throws StoreException, IOException, InterruptedException {
        List<String> forks = new ArrayList<>();
        List<String> faults = new ArrayList<>();
        long entries = 0;
        int origins = 0;
        Map<ChainOrigin, Head> theirs = peer.heads(store.heads());
        if (theirs == null) {
            return new Report(0, 0, forks, faults);
        }
        // The local heads are read after the peer's: a local chain that grows in between would otherwise be mistaken
        // for a fork.
        for (Step step : ReconciliationPlan.steps(
                store.heads(), theirs, store.quarantined().keySet())) {
            try {
                if (step.action() == Action.COMPARE) {
                    compare(step, forks);
                } else {
                    entries += fetch(step, forks);
                    origins++;
                }
            } catch (IllegalArgumentException e) {
                faults.add(step.origin() + ": " + e.getMessage());
            } catch (IOException e) {
                faults.add(step.origin() + ": " + e.getMessage());
            }
        }
        return new Report(entries, origins, forks, faults);
    }

    private byte[] localHash(ChainOrigin origin, long number) throws StoreException {
        List<Row> rows = store.rows(origin, number, number);
        return rows.isEmpty() ? null : rows.get(0).hash();
    }

    private void compare(Step step, List<String> forks) throws StoreException, IOException, InterruptedException {
        byte[] ours = localHash(step.origin(), step.theirs().number());
        if (!Arrays.equals(ours, step.theirs().hash())) {
            quarantineIfForked(step.origin(), step.theirs().number(), forks);
        }
    }

    private long fetch(Step step, List<String> forks) throws StoreException, IOException, InterruptedException {
        ChainOrigin origin = step.origin();
        Head head = step.ours();
        if (head.number() > 0 && !Arrays.equals(head.hash(), peer.hash(origin, head.number()))) {
            quarantineIfForked(origin, head.number(), forks);
            return 0;
        }
        long fetched = 0;
        while (head.number() < step.theirs().number()) {
            long to = Math.min(step.theirs().number(), head.number() + chunkEntries);
            List<Row> rows = ReconciliationPlan.linkEntries(origin, head, peer.entries(origin, head.number() + 1, to));
            Head end = ReconciliationPlan.endOf(head, rows);
            byte[] claimed =
                    end.number() == step.theirs().number() ? step.theirs().hash() : peer.hash(origin, end.number());
            if (!Arrays.equals(end.hash(), claimed)) {
                throw new IllegalArgumentException("entries " + (head.number() + 1) + " to " + end.number()
                        + " do not lead to the hash that the peer claims; they are discarded");
            }
            if (!store.merge(origin, head, rows)) {
                throw new IllegalArgumentException(
                        "the local chain has grown meanwhile; the next round " + "continues");
            }
            head = end;
            fetched += rows.size();
        }
        return fetched;
    }

    /**
     * Handles two chains of one origin that differ. Only a peer that presents an entry that follows from the last
     * common hash proves a fork, and the origin is quarantined; otherwise the peer itself is at fault.
     */
    private void quarantineIfForked(ChainOrigin origin, long differentNumber, List<String> forks)
            throws StoreException, IOException, InterruptedException {
        ReconciliationPlan.DivergenceSearch search = new ReconciliationPlan.DivergenceSearch(differentNumber);
        for (int steps = 0; !search.done() && steps < MAX_SEARCH_STEPS; steps++) {
            search.update(localHash(origin, search.probe()), peer.hash(origin, search.probe()));
        }
        long first = search.firstDifference();
        byte[] previousHash = first == 1 ? Entry.INITIAL_HASH : localHash(origin, first - 1);
        List<byte[]> presented = peer.entries(origin, first, first);
        List<Row> rows = ReconciliationPlan.linkEntries(origin, new Head(first - 1, previousHash), presented);
        if (!Arrays.equals(rows.get(0).hash(), peer.hash(origin, first))) {
            throw new IllegalArgumentException(
                    "the peer claims another entry " + first + " but cannot show one that follows");
        }
        if (Arrays.equals(rows.get(0).hash(), localHash(origin, first))) {
            throw new IllegalArgumentException("the peer claims another hash for the same entry " + first);
        }
        String reason = "entry " + first + " has two contents: the origin went on from an old copy, or its life "
                + "was used twice";
        store.quarantine(origin, reason);
        forks.add(origin + ": " + reason);
    }
}
