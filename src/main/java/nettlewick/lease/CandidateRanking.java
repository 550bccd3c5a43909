package nettlewick.lease;

import java.util.Comparator;
import java.util.List;
import java.util.stream.IntStream;

/** Who prefers which duty: rendezvous hashing, the same order at every dispatcher. Pure. */
public final class CandidateRanking {
    private CandidateRanking() {}

    /** The dispatchers 0 to {@code size - 1}, the one that should hold the duty first. */
    static List<Integer> rank(String leaseName, int size) {
        long name = mix(leaseName.hashCode() * 0x9E3779B97F4A7C15L);
        Comparator<Integer> byWeight = Comparator.comparingLong(r -> mix(name ^ mix(r + 1)));
        return IntStream.range(0, size).boxed().sorted(byWeight.reversed()).toList();
    }

    /** A finalizer as SplittableRandom has one: each bit of the result depends on each of x. */
    public static long mix(long x) {
        long z = (x ^ x >>> 30) * 0xBF58476D1CE4E5B9L;
        z = (z ^ z >>> 27) * 0x94D049BB133111EBL;
        return z ^ z >>> 31;
    }
}
