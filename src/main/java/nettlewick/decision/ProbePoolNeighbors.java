package nettlewick.decision;

import java.util.Arrays;
import java.util.Comparator;
import java.util.stream.IntStream;

/**
 * The peers whose probe pools lie next to a dispatcher's own (docs/neighbours.md). A pool begins at a place of
 * the dispatcher's own; sorted by these places, the ranks form a ring that every dispatcher computes from the
 * size of the tier alone.
 */
final class ProbePoolNeighbors {
    /** Neighbors on each side. */
    static final int REACH = 2;

    private static final double GOLDEN_RATIO_FRACTION = 0.6180339887498949;

    private ProbePoolNeighbors() {}

    /** Where a dispatcher's pool begins, as a part of a list, in [0, 1): spread by the golden ratio. */
    static double ringPosition(int rank) {
        double place = rank * GOLDEN_RATIO_FRACTION;
        return place - Math.floor(place);
    }

    /**
     * The neighbors of {@code rank}, nearest first, each once and never itself: all others where the tier
     * has no more than {@code 2 x reach + 1} dispatchers.
     *
     * @throws IllegalArgumentException where the rank is not one of the tier's or the reach is below 0
     */
    static int[] neighborsOf(int rank, int size, int reach) {
        if (rank < 0 || rank >= size || reach < 0) {
            throw new IllegalArgumentException("no neighbors for rank " + rank + " of " + size + ", reach " + reach);
        }
        if (size <= 2 * reach + 1) {
            return IntStream.range(0, size).filter(r -> r != rank).toArray();
        }
        Integer[] ring = IntStream.range(0, size).boxed().toArray(Integer[]::new);
        Arrays.sort(ring, Comparator.comparingDouble(ProbePoolNeighbors::ringPosition));
        int at = Arrays.asList(ring).indexOf(rank);
        int[] near = new int[2 * reach];
        for (int d = 1; d <= reach; d++) {
            near[2 * d - 2] = ring[(at + d) % size];
            near[2 * d - 1] = ring[Math.floorMod(at - d, size)];
        }
        return near;
    }
}
