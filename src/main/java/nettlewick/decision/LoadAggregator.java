package nettlewick.decision;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * What all dispatchers hold at each sim runner, summed at the runner's owner and told to those that watch
 * it (docs/neighbours.md). Every dispatcher is holder, watcher and owner at once. A holder tells the owner
 * what it holds there when that changes, and again while it holds something; a watcher tells the owners of
 * its pool that it watches; an owner tells each watcher what the others hold: more of it at once, less of
 * it at most ten times a second, and again while it is not 0. Everything told is believed for a while only.
 * Pure: time is handed in.
 */
final class LoadAggregator {
    /** Tiers of so many dispatchers or fewer tell every peer directly. */
    static final int MAX_DIRECT_GOSSIP_DISPATCHERS = 16;
    /** The first byte tells version and kind; entries of a mark, and mostly a number, follow. */
    private static final int VERSION = 0xA0;

    private static final int HEADER_BYTES = 1;
    private static final int MAX_DATAGRAM_BYTES = 256;
    private static final int MAX_SLOTS = 255;
    private static final long SECOND = 1_000_000_000;
    /** For how long a holder's word, and a sum, are believed; each is told again sooner. */
    private static final long HOLDING_TTL_NANOS = SECOND;

    private static final long HOLDING_REFRESH_NANOS = HOLDING_TTL_NANOS / 2;
    private static final long SUM_TTL_NANOS = SECOND;
    private static final long SUM_REFRESH_NANOS = SUM_TTL_NANOS / 2;
    private static final long WATCH_REFRESH_NANOS = SECOND;
    /** An owner tells a watcher until it has not heard from it for so long. */
    private static final long WATCH_TTL_NANOS = 5 * WATCH_REFRESH_NANOS / 2;
    /** That less is held waits until so long after the last word: often the slot is taken again meanwhile. */
    private static final long DECREASE_DELAY_NANOS = SECOND / 10;

    enum Kind {
        HOLD,
        WATCH,
        SUM
    }

    private record Holding(int slots, long at) {}

    /** One that watches a runner: when it last said so, and what it was told. */
    private static final class Watcher {
        long subscribedAt;
        int lastSum;
        long lastSumAt = SchedulerClock.NEVER;
    }

    /** A runner that this dispatcher owns. */
    private static final class OwnedEndpoint {
        final Map<Integer, Holding> holdings = new HashMap<>();
        final Map<Integer, Watcher> watchers = new HashMap<>();
        boolean changed = true;

        int total() {
            int total = 0;
            for (Holding h : holdings.values()) {
                total += h.slots();
            }
            return total;
        }
    }

    private final int rank;
    private final int size;
    private final PeerFaultCounters faults;
    /** As a holder: what each owner was last told, and when. */
    private final Map<Endpoint, Holding> reportedHoldings = new HashMap<>();

    private long subscribedAt = SchedulerClock.NEVER;
    /** As a watcher: when the sum of each runner came. */
    private final Map<Endpoint, Long> sumReceivedAt = new HashMap<>();

    private final Map<Character, OwnedEndpoint> ownedEndpoints = new HashMap<>();
    private Map<Character, Endpoint> endpointsByMark = Map.of();
    private boolean refreshDue;

    LoadAggregator(int rank, int size, PeerFaultCounters heard) {
        this.rank = rank;
        this.size = size;
        this.faults = heard;
    }

    /** The rank that owns a runner of this mark: the same at every dispatcher of the tier. */
    static int ownerOf(char mark, int size) {
        return Math.floorMod(mark * 0x9E3779B1 >>> 7, size);
    }

    static boolean isAggregationMessage(byte[] data) {
        return data.length > HEADER_BYTES
                && data.length <= MAX_DATAGRAM_BYTES
                && (data[0] & 0xFF) >= VERSION
                && (data[0] & 0xFF) < VERSION + Kind.values().length
                && (data.length - HEADER_BYTES) % entryBytes(kindOf(data)) == 0;
    }

    /** What a datagram of the tally is for. */
    static Kind kindOf(byte[] data) {
        return Kind.values()[(data[0] & 0xFF) - VERSION];
    }

    private static int entryBytes(Kind kind) {
        return kind == Kind.WATCH ? 2 : 3;
    }

    /** The list by marks; those that share one stand for none. */
    void replaceEndpoints(Map<Character, Endpoint> byMark) {
        endpointsByMark = byMark;
    }

    /**
     * Takes a peer's datagram over; false if it is none of the tally's. Runners that the list does not name
     * are passed over as a watcher, and counted; an owner needs no list.
     */
    boolean receive(int from, byte[] data, long now) {
        if (!isAggregationMessage(data)) {
            return false;
        }
        Kind kind = kindOf(data);
        ByteBuffer b = ByteBuffer.wrap(data).position(HEADER_BYTES);
        while (b.hasRemaining()) {
            char mark = b.getChar();
            int value = kind == Kind.WATCH ? 0 : b.get() & MAX_SLOTS;
            if (ownerOf(mark, size) != (kind == Kind.SUM ? from : rank)) {
                faults.damaged++;
            } else if (kind == Kind.SUM) {
                applySum(mark, value, now);
            } else {
                recordAsOwner(kind, mark, from, value, now);
            }
        }
        return true;
    }

    private void recordAsOwner(Kind kind, char mark, int from, int slots, long now) {
        OwnedEndpoint o = ownedEndpoints.computeIfAbsent(mark, m -> new OwnedEndpoint());
        if (kind == Kind.WATCH) {
            Watcher endpoint = o.watchers.get(from);
            if (endpoint == null) {
                endpoint = new Watcher();
                o.watchers.put(from, endpoint);
                o.changed = true;
            }
            endpoint.subscribedAt = now;
        } else {
            Holding before = slots == 0 ? o.holdings.remove(from) : o.holdings.put(from, new Holding(slots, now));
            o.changed |= (before == null ? 0 : before.slots()) != slots;
        }
    }

    private void applySum(char mark, int others, long now) {
        Endpoint endpoint = endpointsByMark.get(mark);
        if (endpoint == null) {
            faults.unlisted++;
        } else {
            endpoint.peerSlots = others;
            sumReceivedAt.put(endpoint, now);
        }
    }

    /** Forgets what is too old: sums a watcher had, and holders and watchers an owner had. */
    void expire(long now) {
        for (Iterator<Map.Entry<Endpoint, Long>> i = sumReceivedAt.entrySet().iterator(); i.hasNext(); ) {
            Map.Entry<Endpoint, Long> e = i.next();
            if (now - e.getValue() > SUM_TTL_NANOS) {
                e.getKey().peerSlots = 0;
                i.remove();
            }
        }
        for (OwnedEndpoint o : ownedEndpoints.values()) {
            o.changed |= o.holdings.values().removeIf(h -> now - h.at() > HOLDING_TTL_NANOS);
            o.watchers.values().removeIf(endpoint -> now - endpoint.subscribedAt > WATCH_TTL_NANOS);
        }
        ownedEndpoints.values().removeIf(o -> o.holdings.isEmpty() && o.watchers.isEmpty());
        refreshDue = true;
    }

    /**
     * The datagrams to send now, by rank: holdings that changed or are due again, watches that are due, sums
     * that changed or are due again. What this dispatcher owns itself is taken in at once.
     *
     * @param all     every runner this dispatcher knows
     * @param watched the runners of its pool
     */
    Map<Integer, List<byte[]>> drainMessages(long now, Collection<Endpoint> all, List<Endpoint> watched) {
        Map<Integer, PeerEntries> out = new LinkedHashMap<>();
        for (Endpoint endpoint : all) {
            if (endpoint.inFlightSlots > 0 || !reportedHoldings.isEmpty()) {
                reportHolding(endpoint, now, out);
            }
        }
        if (now - subscribedAt >= WATCH_REFRESH_NANOS) {
            subscribedAt = now;
            watched.forEach(endpoint -> addForOwner(Kind.WATCH, LoadGossip.markOf(endpoint.id), 0, now, out));
        }
        ownedEndpoints.forEach((mark, o) -> {
            if (o.changed || refreshDue) {
                o.changed = false;
                notifyWatchers(mark, o, now, out);
            }
        });
        refreshDue = false;
        Map<Integer, List<byte[]>> datagrams = new LinkedHashMap<>();
        out.forEach((to, entries) -> datagrams.put(to, entries.toDatagrams()));
        return datagrams;
    }

    private void reportHolding(Endpoint endpoint, long now, Map<Integer, PeerEntries> out) {
        int slots = (int) Math.min(MAX_SLOTS, Math.ceil(endpoint.inFlightSlots - 1e-9));
        Holding last = reportedHoldings.get(endpoint);
        if (slots == (last == null ? 0 : last.slots()) && (slots == 0 || now - last.at() < HOLDING_REFRESH_NANOS)) {
            return;
        }
        if (slots == 0) {
            reportedHoldings.remove(endpoint);
        } else {
            reportedHoldings.put(endpoint, new Holding(slots, now));
        }
        addForOwner(Kind.HOLD, LoadGossip.markOf(endpoint.id), slots, now, out);
    }

    /** An entry for the owner, which may be this dispatcher. */
    private void addForOwner(Kind kind, char mark, int value, long now, Map<Integer, PeerEntries> out) {
        int owner = ownerOf(mark, size);
        if (owner == rank) {
            recordAsOwner(kind, mark, rank, value, now);
        } else {
            out.computeIfAbsent(owner, o -> new PeerEntries()).add(kind, mark, value);
        }
    }

    /** As an owner: tells each watcher what the others hold, where that has changed or is due again. */
    private void notifyWatchers(char mark, OwnedEndpoint o, long now, Map<Integer, PeerEntries> out) {
        int total = o.total();
        o.watchers.forEach((watcher, endpoint) -> {
            Holding own = o.holdings.get(watcher);
            int others = Math.min(MAX_SLOTS, total - (own == null ? 0 : own.slots()));
            // Danger: more that is told late sends many to a runner that is full; less costs a little room.
            if (others < endpoint.lastSum && now - endpoint.lastSumAt < DECREASE_DELAY_NANOS) {
                o.changed = true;
            } else if (others != endpoint.lastSum || others > 0 && now - endpoint.lastSumAt >= SUM_REFRESH_NANOS) {
                endpoint.lastSum = others;
                endpoint.lastSumAt = now;
                if (watcher == rank) {
                    applySum(mark, others, now);
                } else {
                    out.computeIfAbsent(watcher, r -> new PeerEntries()).add(Kind.SUM, mark, others);
                }
            }
        });
    }

    /** Entries for one peer, of one or several kinds, cut into datagrams. */
    private static final class PeerEntries {
        private final Map<Kind, List<int[]>> byKind = new LinkedHashMap<>();

        void add(Kind kind, char mark, int value) {
            byKind.computeIfAbsent(kind, k -> new ArrayList<>()).add(new int[] {mark, value});
        }

        List<byte[]> toDatagrams() {
            List<byte[]> datagrams = new ArrayList<>();
            byKind.forEach((kind, list) -> {
                int each = (MAX_DATAGRAM_BYTES - HEADER_BYTES) / entryBytes(kind);
                for (int from = 0; from < list.size(); from += each) {
                    List<int[]> part = list.subList(from, Math.min(list.size(), from + each));
                    ByteBuffer b = ByteBuffer.allocate(HEADER_BYTES + part.size() * entryBytes(kind));
                    b.put((byte) (VERSION + kind.ordinal()));
                    for (int[] entry : part) {
                        b.putChar((char) entry[0]);
                        if (kind != Kind.WATCH) {
                            b.put((byte) entry[1]);
                        }
                    }
                    datagrams.add(b.array());
                }
            });
            return datagrams;
        }
    }
}
