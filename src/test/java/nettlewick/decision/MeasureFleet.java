package nettlewick.decision;

/**
 * What the module costs as a tier grows, in virtual time: {@code make measure-fleet}. Each size plays the same traffic
 * for each endpoint (half of its slots), one dispatcher in seven with five times the others' part.
 */
final class MeasureFleet {
    private static final int[][] SIZES = {{12, 6}, {200, 100}, {2000, 1000}};
    private static final long SECOND = Samples.SECOND;
    private static final long WORK = SECOND / 4;

    private MeasureFleet() {}

    public static void main(String[] args) {
        // The first round is for the compiler alone.
        for (int round = 0; round < 2; round++) {
            for (int[] size : SIZES) {
                measure(size[0], size[1], round > 0);
            }
        }
    }

    private static void measure(int endpoints, int dispatchers, boolean print) {
        int warm = 3;
        int idle = 2;
        int busy = endpoints > 100 ? 2 : 10;
        long before = used();
        SimulatedFleet fleet = new SimulatedFleet(dispatchers, endpoints, 7);
        fleet.run(warm * SECOND);
        long cpu = fleet.cpu;
        fleet.run((warm + idle) * SECOND);
        double idleMs = (fleet.cpu - cpu) / 1e6 / idle / dispatchers;
        double rate = 0.5 * SimulatedFleet.SLOTS * endpoints / (WORK / (double) SECOND);
        int heavy = (dispatchers + 6) / 7;
        double part = rate / (dispatchers + 4 * heavy);
        long from = fleet.now;
        for (int rank = 0; rank < dispatchers; rank++) {
            fleet.traffic(rank, rank % 7 == 0 ? 5 * part : part, WORK, from, from + busy * SECOND);
        }
        cpu = fleet.cpu;
        long datagrams = fleet.datagrams;
        long bytes = fleet.bytes;
        int probes = fleet.probes;
        fleet.run(from + busy * SECOND);
        double requests = fleet.sent + fleet.rejected;
        double busyUs = ((fleet.cpu - cpu) / 1e3 - idleMs * 1e3 * busy * dispatchers) / requests;
        long datagramsPerS = (fleet.datagrams - datagrams) / busy;
        long bytesPerS = (fleet.bytes - bytes) / busy;
        double probesPer = (fleet.probes - probes) / requests;
        double full = (fleet.sentToFullEndpoint + fleet.rejected) / requests;
        long longest = fleet.longest;
        fleet.forgetEvents();
        long state = Math.max(0, used() - before) / fleet.instances.size();
        if (print) {
            System.out.printf("jobs_%d=%.0f%n", endpoints, requests);
            System.out.printf("full_or_refused_%d=%.3f%n", endpoints, full);
            System.out.printf("cpu_us_per_request_%d=%.1f%n", endpoints, busyUs);
            System.out.printf("idle_cpu_ms_per_s_%d=%.3f%n", endpoints, idleMs);
            System.out.printf("probes_per_request_%d=%.2f%n", endpoints, probesPer);
            System.out.printf("datagrams_per_s_%d=%d%n", dispatchers, datagramsPerS / dispatchers);
            System.out.printf("bytes_per_s_%d=%d%n", dispatchers, bytesPerS / dispatchers);
            System.out.printf("longest_datagram_%d=%d%n", dispatchers, longest);
            System.out.printf("state_bytes_%d=%d%n", endpoints, state);
        }
    }

    private static long used() {
        System.gc();
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }
}
