package nettlewick.decision;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** A consistent hash ring. All dispatchers with the same members compute the same ring. */
final class HashRing<T> {
    private final TreeMap<Long, T> nodes = new TreeMap<>();

    /** Adds a member to the ring at {@code virtualNodes} positions, or removes it. */
    void setMembership(String name, T member, int virtualNodes, boolean isMember) {
        long position = hash(name);
        for (int node = 0; node < virtualNodes; node++) {
            position = mix(position + node);
            if (isMember) {
                nodes.put(position, member);
            } else {
                nodes.remove(position);
            }
        }
    }

    /** Returns the first {@code count} distinct members that follow the key's position. */
    List<T> successors(String key, int count) {
        long position = hash(key);
        List<T> found = new ArrayList<>(count);
        for (Map<Long, T> range : List.of(nodes.tailMap(position), nodes.headMap(position))) {
            for (T member : range.values()) {
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
        long mixed = (h ^ h >>> 32) * 0xd6e8feb86659fd93L;
        return (mixed ^ mixed >>> 32) * 0xd6e8feb86659fd93L;
    }
}
