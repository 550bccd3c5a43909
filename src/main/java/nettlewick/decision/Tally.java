package nettlewick.decision;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import nettlewick.decision.State.Worker;

/**
 * What all dispatchers hold at each sim runner, summed at the runner's owner and told to those that watch
 * it (docs/neighbours.md). Every dispatcher is holder, watcher and owner at once. A holder tells the owner
 * what it holds there when that changes, and each half second while it holds something; a watcher tells
 * the owners of its pool each second that it watches; an owner tells each watcher what the others hold,
 * when that changes and each half second while it is not 0. Everything told is believed for a second.
 * Pure: time is handed in.
 */
final class Tally {
    /** Tiers of so many dispatchers or fewer tell every peer directly. */
    static final int SMALL = 16;
    private static final byte MAGIC = (byte) 0xD5;
    private static final byte VERSION = 1;
    private static final int HEAD = 3;
    private static final int MOST = 256;
    private static final int BYTE = 255;
    private static final long BELIEVED = 1_000_000_000;
    private static final long HELD_AGAIN = BELIEVED / 2;
    private static final long WATCH_AGAIN = BELIEVED;
    /** An owner tells a watcher until it has not heard from it for so long. */
    private static final long WATCHED = 5 * BELIEVED / 2;

    private enum Kind { HOLD, WATCH, SUM }

    private record Held(int slots, long at) {
    }

    private final int rank;
    private final int size;
    private final Heard heard;
    /** As a holder: what each owner was last told, and when. */
    private final Map<Worker, Held> told = new HashMap<>();
    private long watchedAt = State.NEVER;
    /** As a watcher: when the sum of each runner came. */
    private final Map<Worker, Long> sums = new HashMap<>();
    /** As an owner, by mark: what each holder holds, who watches, and what each was told. */
    private final Map<Character, Map<Integer, Held>> holders = new HashMap<>();
    private final Map<Character, Map<Integer, Long>> watchers = new HashMap<>();
    private final Map<Character, Map<Integer, Held>> summed = new HashMap<>();

    Tally(int rank, int size, Heard heard) {
        this.rank = rank;
        this.size = size;
        this.heard = heard;
    }

    /** The rank that owns a runner of this mark: the same at every dispatcher of the tier. */
    static int owner(char mark, int size) {
        return Math.floorMod(mark * 0x9E3779B1 >>> 7, size);
    }

    static boolean is(byte[] data) {
        return data.length >= HEAD && data.length <= MOST && data[0] == MAGIC && data[1] == VERSION
                && data[2] >= 0 && data[2] < Kind.values().length
                && (data.length - HEAD) % width(Kind.values()[data[2]]) == 0;
    }

    private static int width(Kind kind) {
        return kind == Kind.WATCH ? 2 : 3;
    }

    /**
     * Takes a peer's datagram over; false if it is none of the tally's. Runners that {@code byMark} does not
     * name are passed over as a watcher, and counted; an owner needs no list.
     */
    boolean hear(int from, byte[] data, long now, Map<Character, Worker> byMark) {
        if (!is(data)) {
            return false;
        }
        Kind kind = Kind.values()[data[2]];
        ByteBuffer b = ByteBuffer.wrap(data).position(HEAD);
        while (b.hasRemaining()) {
            char mark = b.getChar();
            int value = kind == Kind.WATCH ? 0 : b.get() & BYTE;
            if (kind != Kind.SUM && owner(mark, size) != rank) {
                heard.damaged++;
            } else if (kind == Kind.HOLD) {
                hold(mark, from, value, now);
            } else if (kind == Kind.WATCH) {
                watchers.computeIfAbsent(mark, m -> new HashMap<>()).put(from, now);
            } else if (owner(mark, size) != from) {
                heard.damaged++;
            } else if (byMark.get(mark) == null) {
                heard.unlisted++;
            } else {
                Worker w = byMark.get(mark);
                w.others = value;
                sums.put(w, now);
            }
        }
        return true;
    }

    private void hold(char mark, int from, int slots, long now) {
        Map<Integer, Held> at = holders.computeIfAbsent(mark, m -> new HashMap<>());
        at.put(from, new Held(slots, now));
        if (slots == 0) {
            at.remove(from);
        }
    }

    /** Forgets what is too old: sums a watcher had, and holders and watchers an owner had. */
    void expire(long now) {
        for (Iterator<Map.Entry<Worker, Long>> i = sums.entrySet().iterator(); i.hasNext();) {
            Map.Entry<Worker, Long> e = i.next();
            if (now - e.getValue() > BELIEVED) {
                e.getKey().others = 0;
                i.remove();
            }
        }
        holders.values().forEach(at -> at.values().removeIf(h -> now - h.at() > BELIEVED));
        holders.values().removeIf(Map::isEmpty);
        watchers.values().forEach(at -> at.values().removeIf(t -> now - t > WATCHED));
        watchers.values().removeIf(Map::isEmpty);
    }

    /**
     * The datagrams to send now, by rank: holdings that changed or are due again, watches that are due, sums
     * that changed or are due again. What this dispatcher owns itself is taken in at once.
     *
     * @param all     every runner this dispatcher knows
     * @param watched the runners of its pool
     */
    Map<Integer, List<byte[]>> flush(long now, Collection<Worker> all, List<Worker> watched) {
        Map<Integer, Entries> out = new LinkedHashMap<>();
        for (Worker w : all) {
            int slots = (int) Math.min(BYTE, Math.ceil(w.outSlots - 1e-9));
            Held last = told.get(w);
            int before = last == null ? 0 : last.slots();
            if (slots != before || slots > 0 && now - last.at() >= HELD_AGAIN) {
                char mark = LoadNote.mark(w.id);
                int owner = owner(mark, size);
                if (owner == rank) {
                    hold(mark, rank, slots, now);
                } else {
                    out.computeIfAbsent(owner, o -> new Entries()).add(Kind.HOLD, mark, slots);
                }
                if (slots == 0) {
                    told.remove(w);
                } else {
                    told.put(w, new Held(slots, now));
                }
            }
        }
        if (now - watchedAt >= WATCH_AGAIN) {
            watchedAt = now;
            for (Worker w : watched) {
                char mark = LoadNote.mark(w.id);
                int owner = owner(mark, size);
                if (owner == rank) {
                    watchers.computeIfAbsent(mark, m -> new HashMap<>()).put(rank, now);
                } else {
                    out.computeIfAbsent(owner, o -> new Entries()).add(Kind.WATCH, mark, 0);
                }
            }
        }
        sums(now, out);
        Map<Integer, List<byte[]>> datagrams = new LinkedHashMap<>();
        out.forEach((to, entries) -> datagrams.put(to, entries.bytes()));
        return datagrams;
    }

    /** As an owner: tells each watcher what the others hold, where that changed or is due again. */
    private void sums(long now, Map<Integer, Entries> out) {
        for (Map.Entry<Character, Map<Integer, Long>> e : watchers.entrySet()) {
            char mark = e.getKey();
            Map<Integer, Held> at = holders.getOrDefault(mark, Map.of());
            int total = at.values().stream().mapToInt(Held::slots).sum();
            Map<Integer, Held> sent = summed.computeIfAbsent(mark, m -> new HashMap<>());
            for (int watcher : e.getValue().keySet()) {
                Held own = at.get(watcher);
                int others = Math.min(BYTE, total - (own == null ? 0 : own.slots()));
                Held last = sent.get(watcher);
                boolean due = last == null ? others > 0 : last.slots() != others
                        || others > 0 && now - last.at() >= BELIEVED / 2;
                if (due) {
                    sent.put(watcher, new Held(others, now));
                    if (watcher == rank) {
                        own(mark, others, now);
                    } else {
                        out.computeIfAbsent(watcher, w -> new Entries()).add(Kind.SUM, mark, others);
                    }
                }
            }
            sent.keySet().retainAll(e.getValue().keySet());
        }
        summed.keySet().retainAll(watchers.keySet());
    }

    private Map<Character, Worker> ownList = Map.of();

    /** The list by marks, for what this dispatcher owns and watches itself. */
    void list(Map<Character, Worker> byMark) {
        ownList = byMark;
    }

    private void own(char mark, int others, long now) {
        Worker w = ownList.get(mark);
        if (w != null) {
            w.others = others;
            sums.put(w, now);
        }
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
                    b.put(MAGIC).put(VERSION).put((byte) kind.ordinal());
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
