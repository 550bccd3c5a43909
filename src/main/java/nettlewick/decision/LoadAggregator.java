package nettlewick.decision;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import nettlewick.decision.State.Endpoint;

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
    static final int SMALL = 16;
    /** The first byte tells version and kind; entries of a mark, and mostly a number, follow. */
    private static final int VERSION = 0xA0;

    private static final int HEAD = 1;
    private static final int MOST = 256;
    private static final int BYTE = 255;
    private static final long SECOND = 1_000_000_000;
    /** For how long a holder's word, and a sum, are believed; each is told again sooner. */
    private static final long HELD = SECOND;

    private static final long HELD_AGAIN = HELD / 2;
    private static final long SUMMED = SECOND;
    private static final long SUM_AGAIN = SUMMED / 2;
    private static final long WATCH_AGAIN = SECOND;
    /** An owner tells a watcher until it has not heard from it for so long. */
    private static final long WATCHED = 5 * WATCH_AGAIN / 2;
    /** That less is held waits until so long after the last word: often the slot is taken again meanwhile. */
    private static final long LESS = SECOND / 10;

    enum Kind {
        HOLD,
        WATCH,
        SUM
    }

    private record Held(int slots, long at) {}

    /** One that watches a runner: when it last said so, and what it was told. */
    private static final class Watcher {
        long saidAt;
        int told;
        long toldAt = State.NEVER;
    }

    /** A runner that this dispatcher owns. */
    private static final class Owned {
        final Map<Integer, Held> holders = new HashMap<>();
        final Map<Integer, Watcher> watchers = new HashMap<>();
        boolean news = true;

        int total() {
            int total = 0;
            for (Held h : holders.values()) {
                total += h.slots();
            }
            return total;
        }
    }

    private final int rank;
    private final int size;
    private final PeerFaultCounters heard;
    /** As a holder: what each owner was last told, and when. */
    private final Map<Endpoint, Held> told = new HashMap<>();

    private long watchedAt = State.NEVER;
    /** As a watcher: when the sum of each runner came. */
    private final Map<Endpoint, Long> sums = new HashMap<>();

    private final Map<Character, Owned> owned = new HashMap<>();
    private Map<Character, Endpoint> listed = Map.of();
    private boolean again;

    LoadAggregator(int rank, int size, PeerFaultCounters heard) {
        this.rank = rank;
        this.size = size;
        this.heard = heard;
    }

    /** The rank that owns a runner of this mark: the same at every dispatcher of the tier. */
    static int owner(char mark, int size) {
        return Math.floorMod(mark * 0x9E3779B1 >>> 7, size);
    }

    static boolean is(byte[] data) {
        return data.length > HEAD
                && data.length <= MOST
                && (data[0] & 0xFF) >= VERSION
                && (data[0] & 0xFF) < VERSION + Kind.values().length
                && (data.length - HEAD) % width(kind(data)) == 0;
    }

    /** What a datagram of the tally is for. */
    static Kind kind(byte[] data) {
        return Kind.values()[(data[0] & 0xFF) - VERSION];
    }

    private static int width(Kind kind) {
        return kind == Kind.WATCH ? 2 : 3;
    }

    /** The list by marks; those that share one stand for none. */
    void list(Map<Character, Endpoint> byMark) {
        listed = byMark;
    }

    /**
     * Takes a peer's datagram over; false if it is none of the tally's. Runners that the list does not name
     * are passed over as a watcher, and counted; an owner needs no list.
     */
    boolean hear(int from, byte[] data, long now) {
        if (!is(data)) {
            return false;
        }
        Kind kind = kind(data);
        ByteBuffer b = ByteBuffer.wrap(data).position(HEAD);
        while (b.hasRemaining()) {
            char mark = b.getChar();
            int value = kind == Kind.WATCH ? 0 : b.get() & BYTE;
            if (owner(mark, size) != (kind == Kind.SUM ? from : rank)) {
                heard.damaged++;
            } else if (kind == Kind.SUM) {
                believe(mark, value, now);
            } else {
                own(kind, mark, from, value, now);
            }
        }
        return true;
    }

    private void own(Kind kind, char mark, int from, int slots, long now) {
        Owned o = owned.computeIfAbsent(mark, m -> new Owned());
        if (kind == Kind.WATCH) {
            Watcher endpoint = o.watchers.get(from);
            if (endpoint == null) {
                endpoint = new Watcher();
                o.watchers.put(from, endpoint);
                o.news = true;
            }
            endpoint.saidAt = now;
        } else {
            Held before = slots == 0 ? o.holders.remove(from) : o.holders.put(from, new Held(slots, now));
            o.news |= (before == null ? 0 : before.slots()) != slots;
        }
    }

    private void believe(char mark, int others, long now) {
        Endpoint endpoint = listed.get(mark);
        if (endpoint == null) {
            heard.unlisted++;
        } else {
            endpoint.others = others;
            sums.put(endpoint, now);
        }
    }

    /** Forgets what is too old: sums a watcher had, and holders and watchers an owner had. */
    void expire(long now) {
        for (Iterator<Map.Entry<Endpoint, Long>> i = sums.entrySet().iterator(); i.hasNext(); ) {
            Map.Entry<Endpoint, Long> e = i.next();
            if (now - e.getValue() > SUMMED) {
                e.getKey().others = 0;
                i.remove();
            }
        }
        for (Owned o : owned.values()) {
            o.news |= o.holders.values().removeIf(h -> now - h.at() > HELD);
            o.watchers.values().removeIf(endpoint -> now - endpoint.saidAt > WATCHED);
        }
        owned.values().removeIf(o -> o.holders.isEmpty() && o.watchers.isEmpty());
        again = true;
    }

    /**
     * The datagrams to send now, by rank: holdings that changed or are due again, watches that are due, sums
     * that changed or are due again. What this dispatcher owns itself is taken in at once.
     *
     * @param all     every runner this dispatcher knows
     * @param watched the runners of its pool
     */
    Map<Integer, List<byte[]>> flush(long now, Collection<Endpoint> all, List<Endpoint> watched) {
        Map<Integer, Entries> out = new LinkedHashMap<>();
        for (Endpoint endpoint : all) {
            if (endpoint.outSlots > 0 || !told.isEmpty()) {
                hold(endpoint, now, out);
            }
        }
        if (now - watchedAt >= WATCH_AGAIN) {
            watchedAt = now;
            watched.forEach(endpoint -> put(Kind.WATCH, LoadGossip.mark(endpoint.id), 0, now, out));
        }
        owned.forEach((mark, o) -> {
            if (o.news || again) {
                o.news = false;
                sum(mark, o, now, out);
            }
        });
        again = false;
        Map<Integer, List<byte[]>> datagrams = new LinkedHashMap<>();
        out.forEach((to, entries) -> datagrams.put(to, entries.bytes()));
        return datagrams;
    }

    private void hold(Endpoint endpoint, long now, Map<Integer, Entries> out) {
        int slots = (int) Math.min(BYTE, Math.ceil(endpoint.outSlots - 1e-9));
        Held last = told.get(endpoint);
        if (slots == (last == null ? 0 : last.slots()) && (slots == 0 || now - last.at() < HELD_AGAIN)) {
            return;
        }
        if (slots == 0) {
            told.remove(endpoint);
        } else {
            told.put(endpoint, new Held(slots, now));
        }
        put(Kind.HOLD, LoadGossip.mark(endpoint.id), slots, now, out);
    }

    /** An entry for the owner, which may be this dispatcher. */
    private void put(Kind kind, char mark, int value, long now, Map<Integer, Entries> out) {
        int owner = owner(mark, size);
        if (owner == rank) {
            own(kind, mark, rank, value, now);
        } else {
            out.computeIfAbsent(owner, o -> new Entries()).add(kind, mark, value);
        }
    }

    /** As an owner: tells each watcher what the others hold, where that has changed or is due again. */
    private void sum(char mark, Owned o, long now, Map<Integer, Entries> out) {
        int total = o.total();
        o.watchers.forEach((watcher, endpoint) -> {
            Held own = o.holders.get(watcher);
            int others = Math.min(BYTE, total - (own == null ? 0 : own.slots()));
            // Danger: more that is told late sends many to a runner that is full; less costs a little room.
            if (others < endpoint.told && now - endpoint.toldAt < LESS) {
                o.news = true;
            } else if (others != endpoint.told || others > 0 && now - endpoint.toldAt >= SUM_AGAIN) {
                endpoint.told = others;
                endpoint.toldAt = now;
                if (watcher == rank) {
                    believe(mark, others, now);
                } else {
                    out.computeIfAbsent(watcher, r -> new Entries()).add(Kind.SUM, mark, others);
                }
            }
        });
    }

    /** Entries for one peer, of one or several kinds, cut into datagrams. */
    private static final class Entries {
        private final Map<Kind, List<int[]>> byKind = new LinkedHashMap<>();

        void add(Kind kind, char mark, int value) {
            byKind.computeIfAbsent(kind, k -> new ArrayList<>()).add(new int[] {mark, value});
        }

        List<byte[]> bytes() {
            List<byte[]> datagrams = new ArrayList<>();
            byKind.forEach((kind, list) -> {
                int each = (MOST - HEAD) / width(kind);
                for (int from = 0; from < list.size(); from += each) {
                    List<int[]> part = list.subList(from, Math.min(list.size(), from + each));
                    ByteBuffer b = ByteBuffer.allocate(HEAD + part.size() * width(kind));
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
