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
    static final int NEIGHBORS_PER_SIDE = 2;

    private static final double GOLDEN_RATIO_FRACTION = 0.6180339887498949;

    private ProbePoolNeighbors() {}

    /** Where a dispatcher's pool begins, as a part of a list, in [0, 1): spread by the golden ratio. */
    static double ringPosition(int rank) {
        double position = rank * GOLDEN_RATIO_FRACTION;
        return position - Math.floor(position);
    }

    /**
     * The neighbors of {@code rank}, nearest first, each once and never itself: all others where the tier
     * has no more than {@code 2 x reach + 1} dispatchers.
     *
     * @throws IllegalArgumentException where the rank is not one of the tier's or the reach is below 0
     */
    static int[] neighborsOf(int rank, int size, int perSide) {
        if (rank < 0 || rank >= size || perSide < 0) {
            throw new IllegalArgumentException("no neighbors for rank " + rank + " of " + size + ", reach " + perSide);
        }
        if (size <= 2 * perSide + 1) {
            return IntStream.range(0, size).filter(r -> r != rank).toArray();
        }
        Integer[] ring = IntStream.range(0, size).boxed().toArray(Integer[]::new);
        Arrays.sort(ring, Comparator.comparingDouble(ProbePoolNeighbors::ringPosition));
        int position = Arrays.asList(ring).indexOf(rank);
        int[] neighbors = new int[2 * perSide];
        for (int distance = 1; distance <= perSide; distance++) {
            neighbors[2 * distance - 2] = ring[(position + distance) % size];
            neighbors[2 * distance - 1] = ring[Math.floorMod(position - distance, size)];
        }
        return neighbors;
    }
}
