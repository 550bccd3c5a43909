package nettlewick.decision;

import java.util.Arrays;
import java.util.Comparator;
import java.util.stream.IntStream;

/**
 * Determines the peers whose probe pools are adjacent to a dispatcher's own (docs/neighbours.md). The start of a pool
 * depends on the dispatcher's rank. Sorted by these positions, the ranks form a ring that every dispatcher can compute
 * from the size of the tier alone.
 */
final class ProbePoolNeighbors {
    /** Neighbors on each side of a dispatcher. */
    static final int NEIGHBORS_PER_SIDE = 2;

    private static final double GOLDEN_RATIO_FRACTION = 0.6180339887498949;

    private ProbePoolNeighbors() {}

    /** The start of a dispatcher's pool as a fraction of a list, in [0, 1), spread evenly by the golden ratio. */
    static double ringPosition(int rank) {
        double position = rank * GOLDEN_RATIO_FRACTION;
        return position - Math.floor(position);
    }

    /**
     * Returns the distinct neighbors of {@code rank}, nearest first and without the rank itself. These are all other
     * dispatchers if the tier has no more than {@code 2 x perSide + 1}.
     *
     * @throws IllegalArgumentException if the rank is outside the tier or {@code perSide} is negative
     */
    static int[] neighborsOf(int rank, int size, int perSide) {
        if (rank < 0 || rank >= size || perSide < 0) {
            throw new IllegalArgumentException("rank " + rank + " is outside a tier of " + size
                    + ", or neighbors per side is negative: " + perSide);
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
