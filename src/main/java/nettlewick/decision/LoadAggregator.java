package nettlewick.decision;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import nettlewick.decision.AggregationMessage.Entry;
import nettlewick.decision.AggregationMessage.Kind;

/**
 * Sums what all dispatchers of a large tier have in flight at each endpoint (docs/neighbours.md). Each endpoint
 * has an owner among the dispatchers. A dispatcher reports to the owner the slots that it has in flight there,
 * when that changes and again while there are any, and which endpoints it watches; the owner reports to each
 * watcher what the others have in flight. Every dispatcher is holder, watcher and owner at once. All reports expire.
 */
final class LoadAggregator {
    /** Tiers of this many dispatchers or fewer gossip with every peer instead. */
    static final int MAX_DIRECT_GOSSIP_DISPATCHERS = 16;

    private static final long SECOND_NANOS = 1_000_000_000;
    private static final long HOLDING_REFRESH_NANOS = SECOND_NANOS / 2;
    private static final long SUM_TTL_NANOS = SECOND_NANOS;
    private static final long WATCH_REFRESH_NANOS = SECOND_NANOS;
    /** Slots below which a difference is rounding. */
    private static final double ROUNDING_SLOTS = 1e-9;

    private record Holding(int slots, long reportedAt) {}

    private final int rank;
    private final int size;
    private final PeerFaultCounters faults;
    /** As a holder: what was last reported to the owner, and when. */
    private final Map<Endpoint, Holding> reportedHoldings = new HashMap<>();

    private long subscribedAt = SchedulerClock.NEVER;
    /** As a watcher: when the sum of each endpoint came. */
    private final Map<Endpoint, Long> sumReceivedAt = new HashMap<>();

    private final Map<Character, AggregatedLoad> ownedEndpoints = new HashMap<>();
    private Map<Character, Endpoint> endpointsByMark = Map.of();
    private boolean isRefreshDue;

    /** The part of the dispatcher {@code rank} in a tier of {@code size}. */
    LoadAggregator(int rank, int size, PeerFaultCounters faults) {
        this.rank = rank;
        this.size = size;
        this.faults = faults;
    }

    /** The rank that owns the endpoint of this mark: the same at every dispatcher of the tier. */
    static int ownerOf(char mark, int size) {
        return Math.floorMod(mark * 0x9E3779B1 >>> 7, size);
    }

    /** Replaces the endpoints by marks; those that share a mark are in no entry. */
    void replaceEndpoints(Map<Character, Endpoint> byMark) {
        endpointsByMark = byMark;
    }

    /**
     * Takes a peer's datagram over; false if it is no {@link AggregationMessage}. Sums for endpoints that the
     * list does not name are counted and passed over; an owner needs no list.
     */
    boolean receive(int from, byte[] data, long now) {
        if (!AggregationMessage.isAggregationMessage(data)) {
            return false;
        }
        Kind kind = AggregationMessage.kindOf(data);
        for (Entry entry : AggregationMessage.decode(data)) {
            if (ownerOf(entry.mark(), size) != (kind == Kind.SUM ? from : rank)) {
                faults.countDamaged();
            } else if (kind == Kind.SUM) {
                applySum(entry.mark(), entry.slots(), now);
            } else {
                recordAsOwner(kind, entry, from, now);
            }
        }
        return true;
    }

    private void recordAsOwner(Kind kind, Entry entry, int from, long now) {
        AggregatedLoad owned = ownedEndpoints.computeIfAbsent(entry.mark(), m -> new AggregatedLoad());
        if (kind == Kind.WATCH) {
            owned.recordWatch(from, now);
        } else {
            owned.recordHolding(from, entry.slots(), now);
        }
    }

    private void applySum(char mark, int slotsOfOthers, long now) {
        Endpoint endpoint = endpointsByMark.get(mark);
        if (endpoint == null) {
            faults.countUnlisted(1);
        } else {
            endpoint.inFlight().setPeerSlots(slotsOfOthers);
            sumReceivedAt.put(endpoint, now);
        }
    }

    /** Forgets what is too old: sums as a watcher, holdings and watches as an owner. */
    void expire(long now) {
        for (Iterator<Map.Entry<Endpoint, Long>> i = sumReceivedAt.entrySet().iterator(); i.hasNext(); ) {
            Map.Entry<Endpoint, Long> received = i.next();
            if (now - received.getValue() > SUM_TTL_NANOS) {
                received.getKey().inFlight().setPeerSlots(0);
                i.remove();
            }
        }
        ownedEndpoints.values().forEach(owned -> owned.expire(now));
        ownedEndpoints.values().removeIf(AggregatedLoad::isUnused);
        isRefreshDue = true;
    }

    /**
     * The datagrams to send now, by rank: holdings that changed or are due again, watches that are due, sums
     * that changed or are due again. What this dispatcher owns itself is taken in at once.
     *
     * @param all     every endpoint this dispatcher knows
     * @param watched the endpoints of its probe pool
     */
    Map<Integer, List<byte[]>> drainMessages(long now, Collection<Endpoint> all, List<Endpoint> watched) {
        Outbox outbox = new Outbox();
        for (Endpoint endpoint : all) {
            if (endpoint.inFlight().slots() > 0 || !reportedHoldings.isEmpty()) {
                reportHolding(endpoint, now, outbox);
            }
        }
        if (now - subscribedAt >= WATCH_REFRESH_NANOS) {
            subscribedAt = now;
            watched.forEach(endpoint -> addForOwner(Kind.WATCH, endpoint, 0, now, outbox));
        }
        ownedEndpoints.forEach((mark, owned) -> {
            if (owned.hasChanged() || isRefreshDue) {
                owned.notifyWatchers(now, (watcher, others) -> addSum(watcher, mark, others, now, outbox));
            }
        });
        isRefreshDue = false;
        return outbox.datagrams();
    }

    private void reportHolding(Endpoint endpoint, long now, Outbox outbox) {
        int slots = (int) Math.min(
                AggregationMessage.MAX_SLOTS, Math.ceil(endpoint.inFlight().slots() - ROUNDING_SLOTS));
        Holding last = reportedHoldings.get(endpoint);
        boolean isSame = slots == (last == null ? 0 : last.slots());
        if (isSame && (slots == 0 || now - last.reportedAt() < HOLDING_REFRESH_NANOS)) {
            return;
        }
        if (slots == 0) {
            reportedHoldings.remove(endpoint);
        } else {
            reportedHoldings.put(endpoint, new Holding(slots, now));
        }
        addForOwner(Kind.HOLD, endpoint, slots, now, outbox);
    }

    /** An entry for the owner, which may be this dispatcher. */
    private void addForOwner(Kind kind, Endpoint endpoint, int slots, long now, Outbox outbox) {
        Entry entry = new Entry(LoadGossipMessage.markOf(endpoint.id()), slots);
        int owner = ownerOf(entry.mark(), size);
        if (owner == rank) {
            recordAsOwner(kind, entry, rank, now);
        } else {
            outbox.add(owner, kind, entry);
        }
    }

    /** A sum for a watcher, which may be this dispatcher. */
    private void addSum(int watcher, char mark, int slotsOfOthers, long now, Outbox outbox) {
        if (watcher == rank) {
            applySum(mark, slotsOfOthers, now);
        } else {
            outbox.add(watcher, Kind.SUM, new Entry(mark, slotsOfOthers));
        }
    }

    /** Entries to send, by rank and kind, in the order in which each first came up. */
    private static final class Outbox {
        private final Map<Integer, Map<Kind, List<Entry>>> byRank = new LinkedHashMap<>();

        void add(int to, Kind kind, Entry entry) {
            byRank.computeIfAbsent(to, r -> new LinkedHashMap<>())
                    .computeIfAbsent(kind, k -> new ArrayList<>())
                    .add(entry);
        }

        Map<Integer, List<byte[]>> datagrams() {
            Map<Integer, List<byte[]>> datagrams = new LinkedHashMap<>();
            byRank.forEach((to, byKind) -> {
                List<byte[]> forRank = new ArrayList<>();
                byKind.forEach((kind, entries) -> forRank.addAll(AggregationMessage.encode(kind, entries)));
                datagrams.put(to, forRank);
            });
            return datagrams;
        }
    }
}
