package nettlewick.decision;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Consistent hashing: members at places on a ring, the same for all dispatchers with the same members. */
final class HashRing<T> {
    private final TreeMap<Long, T> places = new TreeMap<>();

    /** Puts a member on the ring at {@code copies} places, or takes it off. */
    void place(String name, T member, int copies, boolean on) {
        long place = hash(name);
        for (int copy = 0; copy < copies; copy++) {
            place = mix(place + copy);
            if (on) {
                places.put(place, member);
            } else {
                places.remove(place);
            }
        }
    }

    /** The first {@code count} different members that follow the key. */
    List<T> successors(String key, int count) {
        long place = hash(key);
        List<T> found = new ArrayList<>(count);
        for (Map<Long, T> half : List.of(places.tailMap(place), places.headMap(place))) {
            for (T member : half.values()) {
                if (found.size() >= count) {
                    return found;
                }
                if (!found.contains(member)) {
                    found.add(member);
                }
            }
        }
        return found;
    }

    private static long hash(String text) {
        long h = 1125899906842597L;
        for (int i = 0; i < text.length(); i++) {
            h = 31 * h + text.charAt(i);
        }
        return mix(h);
    }

    private static long mix(long h) {
        long half = (h ^ h >>> 32) * 0xd6e8feb86659fd93L;
        return (half ^ half >>> 32) * 0xd6e8feb86659fd93L;
    }
}
