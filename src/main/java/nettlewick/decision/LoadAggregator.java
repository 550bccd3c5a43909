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
 * Sums the slots that all dispatchers of a large tier have in flight at each endpoint (docs/neighbours.md). Each
 * endpoint is owned by one of the dispatchers. Every dispatcher reports the slots that it has in flight at an endpoint
 * to the endpoint's owner, both on change and periodically while there are any, and subscribes to the endpoints that
 * it watches. The owner sends each watcher the sum of the other dispatchers' slots. Every dispatcher is reporter,
 * watcher and owner at once. All reports, subscriptions and sums expire.
 */
final class LoadAggregator {
    /** Tiers of this many dispatchers or fewer use gossip among all peers instead. */
    static final int MAX_DIRECT_GOSSIP_DISPATCHERS = 16;

    private static final long SECOND_NANOS = 1_000_000_000;
    private static final long REPORT_REFRESH_NANOS = SECOND_NANOS / 2;
    private static final long SUM_TTL_NANOS = SECOND_NANOS;
    private static final long WATCH_REFRESH_NANOS = SECOND_NANOS;
    /** Slot differences below this are rounding errors. */
    private static final double ROUNDING_SLOTS = 1e-9;

    private record ReportedSlots(int slots, long reportedAt) {}

    private final int rank;
    private final int tierSize;
    private final PeerFaultCounters faults;
    /** As a reporter: what was last reported to each endpoint's owner, and when. */
    private final Map<Endpoint, ReportedSlots> reportedToOwner = new HashMap<>();

    private long watchesSentAt = SchedulerClock.NEVER;
    /** As a watcher: when the sum of each endpoint was received. */
    private final Map<Endpoint, Long> sumReceivedAt = new HashMap<>();

    private final Map<Character, AggregatedLoad> ownedLoads = new HashMap<>();
    private Map<Character, Endpoint> endpointsByIdHash = Map.of();
    private boolean isRefreshDue;

    /** Creates the aggregator of dispatcher {@code rank} in a tier of {@code tierSize} dispatchers. */
    LoadAggregator(int rank, int tierSize, PeerFaultCounters faults) {
        this.rank = rank;
        this.tierSize = tierSize;
        this.faults = faults;
    }

    /** Returns the rank that owns the endpoint with this id hash, the same at every dispatcher of the tier. */
    static int ownerOf(char idHash, int tierSize) {
        return Math.floorMod(idHash * 0x9E3779B1 >>> 7, tierSize);
    }

    /** Replaces the endpoints by id hash; endpoints whose hashes collide are left out. */
    void replaceEndpoints(Map<Character, Endpoint> byIdHash) {
        endpointsByIdHash = byIdHash;
    }

    /**
     * Processes a peer's datagram; returns false if it is no {@link AggregationMessage}. Sums for endpoints that are
     * not on the list are counted and ignored. An owner accepts reports for endpoints that are not on its own list.
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
        AggregatedLoad load = ownedLoads.computeIfAbsent(entry.idHash(), hash -> new AggregatedLoad());
        if (kind == Kind.WATCH) {
            load.recordWatch(from, now);
        } else {
            load.recordInFlight(from, entry.slots(), now);
        }
    }

    private void applySum(char idHash, int peerSlots, long now) {
        Endpoint endpoint = endpointsByIdHash.get(idHash);
        if (endpoint == null) {
            faults.countUnlisted(1);
        } else {
            endpoint.inFlight().setPeerSlots(peerSlots);
            sumReceivedAt.put(endpoint, now);
        }
    }

    /** Drops what has expired: received sums as a watcher, reports and subscriptions as an owner. */
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
     * Returns the datagrams to send now, by recipient's rank: reports and sums that have changed or are due for a
     * refresh, and subscriptions that are due. Entries for endpoints that this dispatcher owns are applied at once.
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
            watched.forEach(endpoint -> sendToOwner(Kind.WATCH, endpoint, 0, now, outbox));
        }
        ownedLoads.forEach((idHash, load) -> {
            if (load.hasChanged() || isRefreshDue) {
                load.notifyWatchers(
                        now, (watcher, peerSlots) -> sendToWatcher(watcher, idHash, peerSlots, now, outbox));
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
        sendToOwner(Kind.IN_FLIGHT, endpoint, slots, now, outbox);
    }

    /** Queues an entry for the endpoint's owner, or applies it if this dispatcher is the owner. */
    private void sendToOwner(Kind kind, Endpoint endpoint, int slots, long now, Outbox outbox) {
        Entry entry = new Entry(LoadGossipMessage.idHash(endpoint.id()), slots);
        int owner = ownerOf(entry.idHash(), tierSize);
        if (owner == rank) {
            recordAsOwner(kind, entry, rank, now);
        } else {
            outbox.add(owner, kind, entry);
        }
    }

    /** Queues a sum for a watcher, or applies it if this dispatcher is the watcher. */
    private void sendToWatcher(int watcher, char idHash, int peerSlots, long now, Outbox outbox) {
        if (watcher == rank) {
            applySum(idHash, peerSlots, now);
        } else {
            outbox.add(watcher, Kind.SUM, new Entry(idHash, peerSlots));
        }
    }

    /** Entries to send, by rank and kind in order of first insertion. */
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
