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
    private static final long REPORT_REFRESH_NANOS = SECOND_NANOS / 2;
    private static final long SUM_TTL_NANOS = SECOND_NANOS;
    private static final long WATCH_REFRESH_NANOS = SECOND_NANOS;
    /** Slots below which a difference is rounding. */
    private static final double ROUNDING_SLOTS = 1e-9;

    private record ReportedSlots(int slots, long reportedAt) {}

    private final int rank;
    private final int tierSize;
    private final PeerFaultCounters faults;
    /** As a holder: what was last reported to the owner, and when. */
    private final Map<Endpoint, ReportedSlots> reportedToOwner = new HashMap<>();

    private long watchesSentAt = SchedulerClock.NEVER;
    /** As a watcher: when the sum of each endpoint came. */
    private final Map<Endpoint, Long> sumReceivedAt = new HashMap<>();

    private final Map<Character, AggregatedLoad> ownedLoads = new HashMap<>();
    private Map<Character, Endpoint> endpointsByIdHash = Map.of();
    private boolean isRefreshDue;

    /** The part of the dispatcher {@code rank} in a tier of {@code size}. */
    LoadAggregator(int rank, int tierSize, PeerFaultCounters faults) {
        this.rank = rank;
        this.tierSize = tierSize;
        this.faults = faults;
    }

    /** The rank that owns the endpoint of this mark: the same at every dispatcher of the tier. */
    static int ownerOf(char idHash, int tierSize) {
        return Math.floorMod(idHash * 0x9E3779B1 >>> 7, tierSize);
    }

    /** Replaces the endpoints by marks; those that share a mark are in no entry. */
    void replaceEndpoints(Map<Character, Endpoint> byIdHash) {
        endpointsByIdHash = byIdHash;
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
            if (ownerOf(entry.idHash(), tierSize) != (kind == Kind.SUM ? from : rank)) {
                faults.countDamaged();
            } else if (kind == Kind.SUM) {
                applySum(entry.idHash(), entry.slots(), now);
            } else {
                recordAsOwner(kind, entry, from, now);
            }
        }
        return true;
    }

    private void recordAsOwner(Kind kind, Entry entry, int from, long now) {
        AggregatedLoad load = ownedLoads.computeIfAbsent(entry.idHash(), m -> new AggregatedLoad());
        if (kind == Kind.WATCH) {
            load.recordWatch(from, now);
        } else {
            load.recordInFlight(from, entry.slots(), now);
        }
    }

    private void applySum(char idHash, int slotsOfOthers, long now) {
        Endpoint endpoint = endpointsByIdHash.get(idHash);
        if (endpoint == null) {
            faults.countUnlisted(1);
        } else {
            endpoint.inFlight().setPeerSlots(slotsOfOthers);
            sumReceivedAt.put(endpoint, now);
        }
    }

    /** Forgets what is too old: sums as a watcher, holdings and watches as an owner. */
    void expire(long now) {
        for (Iterator<Map.Entry<Endpoint, Long>> iterator =
                        sumReceivedAt.entrySet().iterator();
                iterator.hasNext(); ) {
            Map.Entry<Endpoint, Long> received = iterator.next();
            if (now - received.getValue() > SUM_TTL_NANOS) {
                received.getKey().inFlight().setPeerSlots(0);
                iterator.remove();
            }
        }
        ownedLoads.values().forEach(load -> load.expire(now));
        ownedLoads.values().removeIf(AggregatedLoad::isUnused);
        isRefreshDue = true;
    }

    /**
     * The datagrams to send now, by rank: holdings that changed or are due again, watches that are due, sums
     * that changed or are due again. What this dispatcher owns itself is taken in at once.
     *
     * @param all     every endpoint this dispatcher knows
     * @param watched the endpoints of its probe pool
     */
    Map<Integer, List<byte[]>> dueMessages(long now, Collection<Endpoint> all, List<Endpoint> watched) {
        Outbox outbox = new Outbox();
        for (Endpoint endpoint : all) {
            if (endpoint.inFlight().slots() > 0 || !reportedToOwner.isEmpty()) {
                reportInFlight(endpoint, now, outbox);
            }
        }
        if (now - watchesSentAt >= WATCH_REFRESH_NANOS) {
            watchesSentAt = now;
            watched.forEach(endpoint -> addForOwner(Kind.WATCH, endpoint, 0, now, outbox));
        }
        ownedLoads.forEach((idHash, load) -> {
            if (load.hasChanged() || isRefreshDue) {
                load.notifyWatchers(now, (watcher, others) -> addSum(watcher, idHash, others, now, outbox));
            }
        });
        isRefreshDue = false;
        return outbox.datagrams();
    }

    private void reportInFlight(Endpoint endpoint, long now, Outbox outbox) {
        int slots = (int) Math.min(
                AggregationMessage.MAX_SLOTS, Math.ceil(endpoint.inFlight().slots() - ROUNDING_SLOTS));
        ReportedSlots lastReport = reportedToOwner.get(endpoint);
        boolean isUnchanged = slots == (lastReport == null ? 0 : lastReport.slots());
        if (isUnchanged && (slots == 0 || now - lastReport.reportedAt() < REPORT_REFRESH_NANOS)) {
            return;
        }
        if (slots == 0) {
            reportedToOwner.remove(endpoint);
        } else {
            reportedToOwner.put(endpoint, new ReportedSlots(slots, now));
        }
        addForOwner(Kind.IN_FLIGHT, endpoint, slots, now, outbox);
    }

    /** An entry for the owner, which may be this dispatcher. */
    private void addForOwner(Kind kind, Endpoint endpoint, int slots, long now, Outbox outbox) {
        Entry entry = new Entry(LoadGossipMessage.idHash(endpoint.id()), slots);
        int owner = ownerOf(entry.idHash(), tierSize);
        if (owner == rank) {
            recordAsOwner(kind, entry, rank, now);
        } else {
            outbox.add(owner, kind, entry);
        }
    }

    /** A sum for a watcher, which may be this dispatcher. */
    private void addSum(int watcher, char idHash, int slotsOfOthers, long now, Outbox outbox) {
        if (watcher == rank) {
            applySum(idHash, slotsOfOthers, now);
        } else {
            outbox.add(watcher, Kind.SUM, new Entry(idHash, slotsOfOthers));
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
