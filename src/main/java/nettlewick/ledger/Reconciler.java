package nettlewick.ledger;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import nettlewick.ledger.Plan.Step;
import nettlewick.ledger.Plan.What;
import nettlewick.ledger.Store.Head;
import nettlewick.ledger.Store.Row;
import nettlewick.sqlite.StoreException;

/** Brings a store up to what one peer holds, each entry checked against the chain before it is taken over. */
public final class Reconciler {
    private static final int SEARCH_MOST = 64;

    /** What a round brought; {@code faults} are lines for people: forks, and what the peer did wrong. */
    public record Report(long entries, int origins, List<String> forks, List<String> faults) {}

    private final Store store;
    private final PeerClient peer;
    private final int chunk;

    Reconciler(Store store, PeerClient peer, int chunk) {
        this.store = store;
        this.peer = peer;
        this.chunk = chunk;
    }

    /** One round; IOException where the peer cannot be asked at all. */
    Report round() throws StoreException, IOException, InterruptedException {
        List<String> forks = new ArrayList<>();
        List<String> faults = new ArrayList<>();
        long entries = 0;
        int origins = 0;
        Map<ChainOrigin, Head> theirs = peer.heads(store.heads());
        if (theirs == null) {
            return new Report(0, 0, forks, faults);
        }
        // Danger: read after the peer's, so that a chain of ours that grows meanwhile is not taken for a
        // fork.
        for (Step step : Plan.steps(store.heads(), theirs, store.quarantined().keySet())) {
            try {
                if (step.what() == What.COMPARE) {
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

    private byte[] ourHash(ChainOrigin origin, long number) throws StoreException {
        List<Row> rows = store.rows(origin, number, number);
        return rows.isEmpty() ? null : rows.get(0).hash();
    }

    private void compare(Step step, List<String> forks) throws StoreException, IOException, InterruptedException {
        byte[] ours = ourHash(step.origin(), step.theirs().number());
        if (!Arrays.equals(ours, step.theirs().hash())) {
            fork(step.origin(), step.theirs().number(), forks);
        }
    }

    private long fetch(Step step, List<String> forks) throws StoreException, IOException, InterruptedException {
        ChainOrigin origin = step.origin();
        Head head = step.ours();
        if (head.number() > 0 && !Arrays.equals(head.hash(), peer.hash(origin, head.number()))) {
            fork(origin, head.number(), forks);
            return 0;
        }
        long taken = 0;
        while (head.number() < step.theirs().number()) {
            long to = Math.min(step.theirs().number(), head.number() + chunk);
            List<Row> rows = Plan.link(origin, head, peer.entries(origin, head.number() + 1, to));
            Head end = Plan.end(head, rows);
            byte[] claimed =
                    end.number() == step.theirs().number() ? step.theirs().hash() : peer.hash(origin, end.number());
            if (!Arrays.equals(end.hash(), claimed)) {
                throw new IllegalArgumentException("entries " + (head.number() + 1) + " to " + end.number()
                        + " do not lead to the hash that it claims; nothing of them is taken over");
            }
            if (!store.merge(origin, head, rows)) {
                throw new IllegalArgumentException("the chain has grown here meanwhile; the next round goes " + "on");
            }
            head = end;
            taken += rows.size();
        }
        return taken;
    }

    /**
     * Two chains of one origin differ. Only a peer that shows an entry that follows from the last common hash
     * proves a fork; any other is at fault itself.
     */
    private void fork(ChainOrigin origin, long differs, List<String> forks)
            throws StoreException, IOException, InterruptedException {
        Plan.Search search = new Plan.Search(differs);
        for (int asked = 0; !search.done() && asked < SEARCH_MOST; asked++) {
            search.told(ourHash(origin, search.ask()), peer.hash(origin, search.ask()));
        }
        long at = search.found();
        byte[] before = at == 1 ? Entry.NO_HASH : ourHash(origin, at - 1);
        List<byte[]> shown = peer.entries(origin, at, at);
        List<Row> rows = Plan.link(origin, new Head(at - 1, before), shown);
        if (!Arrays.equals(rows.get(0).hash(), peer.hash(origin, at))) {
            throw new IllegalArgumentException("it claims another entry " + at + " and cannot show one that follows");
        }
        if (Arrays.equals(rows.get(0).hash(), ourHash(origin, at))) {
            throw new IllegalArgumentException("it claims another hash for the same entry " + at);
        }
        String why = "entry " + at + " has two contents: the origin went on from an old copy, or its life "
                + "was used twice";
        store.quarantine(origin, why);
        forks.add(origin + ": " + why);
    }
}
