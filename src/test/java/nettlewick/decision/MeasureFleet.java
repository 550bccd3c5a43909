package nettlewick.decision;

/**
 * Measures the cost of the decision module as the tier grows, in virtual time: {@code make measure-fleet}. Every size
 * has the same traffic per endpoint (half of its slots), and one dispatcher in seven gets five times the traffic of the
 * others.
 */
final class MeasureFleet {
    private static final int[][] SIZES = {{12, 6}, {200, 100}, {2000, 1000}};
    private static final long SECOND = Samples.SECOND;
    private static final long RUN_TIME_NANOS = SECOND / 4;

    private MeasureFleet() {}

    public static void main(String[] args) {
        // The first round only warms up the JIT compiler.
        for (int round = 0; round < 2; round++) {
            for (int[] size : SIZES) {
                measure(size[0], size[1], round > 0);
            }
        }
    }

    private static void measure(int endpoints, int dispatchers, boolean shouldPrint) {
        int warmUpSeconds = 3;
        int idleSeconds = 2;
        int busySeconds = endpoints > 100 ? 2 : 10;
        long heapBefore = usedHeapBytes();
        SimulatedFleet fleet = new SimulatedFleet(dispatchers, endpoints, 7);
        fleet.run(warmUpSeconds * SECOND);
        long cpuBefore = fleet.cpuNanos;
        fleet.run((warmUpSeconds + idleSeconds) * SECOND);
        double idleMs = (fleet.cpuNanos - cpuBefore) / 1e6 / idleSeconds / dispatchers;
        double totalRate = 0.5 * SimulatedFleet.SLOTS * endpoints / (RUN_TIME_NANOS / (double) SECOND);
        int busyDispatchers = (dispatchers + 6) / 7;
        double baseRate = totalRate / (dispatchers + 4 * busyDispatchers);
        long start = fleet.now;
        for (int rank = 0; rank < dispatchers; rank++) {
            fleet.addTraffic(
                    rank, rank % 7 == 0 ? 5 * baseRate : baseRate, RUN_TIME_NANOS, start, start + busySeconds * SECOND);
        }
        cpuBefore = fleet.cpuNanos;
        long datagramsBefore = fleet.datagrams;
        long bytesBefore = fleet.bytes;
        int probesBefore = fleet.probes;
        fleet.run(start + busySeconds * SECOND);
        double requests = fleet.sent + fleet.rejected;
        double busyUs = ((fleet.cpuNanos - cpuBefore) / 1e3 - idleMs * 1e3 * busySeconds * dispatchers) / requests;
        long datagramsPerS = (fleet.datagrams - datagramsBefore) / busySeconds;
        long bytesPerS = (fleet.bytes - bytesBefore) / busySeconds;
        double probesPerRequest = (fleet.probes - probesBefore) / requests;
        double misplacedShare = (fleet.sentToFullEndpoint + fleet.rejected) / requests;
        long longest = fleet.longestDatagram;
        fleet.dropPendingEvents();
        long stateBytes = Math.max(0, usedHeapBytes() - heapBefore) / fleet.instances.size();
        if (shouldPrint) {
            System.out.printf("jobs_%d=%.0f%n", endpoints, requests);
            System.out.printf("full_or_refused_%d=%.3f%n", endpoints, misplacedShare);
            System.out.printf("cpu_us_per_request_%d=%.1f%n", endpoints, busyUs);
            System.out.printf("idle_cpu_ms_per_s_%d=%.3f%n", endpoints, idleMs);
            System.out.printf("probes_per_request_%d=%.2f%n", endpoints, probesPerRequest);
            System.out.printf("datagrams_per_s_%d=%d%n", dispatchers, datagramsPerS / dispatchers);
            System.out.printf("bytes_per_s_%d=%d%n", dispatchers, bytesPerS / dispatchers);
            System.out.printf("longest_datagram_%d=%d%n", dispatchers, longest);
            System.out.printf("state_bytes_%d=%d%n", endpoints, stateBytes);
        }
    }

    private static long usedHeapBytes() {
        System.gc();
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }
}
