package nettlewick.lease;

import java.util.Comparator;
import java.util.List;
import java.util.stream.IntStream;

/**
 * The order in which dispatchers compete for a lease. It uses rendezvous hashing, so that all dispatchers compute the
 * same order, and removing a dispatcher moves only the leases that it held.
 */
public final class CandidateRanking {
    private CandidateRanking() {}

    /** Returns the dispatchers 0 to {@code dispatcherCount - 1}, with the preferred holder of the lease first. */
    static List<Integer> rank(String leaseName, int dispatcherCount) {
        long nameHash = mix(leaseName.hashCode() * 0x9E3779B97F4A7C15L);
        Comparator<Integer> byWeight = Comparator.comparingLong(dispatcher -> mix(nameHash ^ mix(dispatcher + 1)));
        return IntStream.range(0, dispatcherCount)
                .boxed()
                .sorted(byWeight.reversed())
                .toList();
    }

    /** Hashes x with the finalizer of {@link java.util.SplittableRandom}: each bit of x affects the whole result. */
    public static long mix(long x) {
        long z = (x ^ x >>> 30) * 0xBF58476D1CE4E5B9L;
        z = (z ^ z >>> 27) * 0x94D049BB133111EBL;
        return z ^ z >>> 31;
    }
}
