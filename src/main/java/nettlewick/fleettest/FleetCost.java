package nettlewick.fleettest;

/** What a fleet costs from the creation of this object on: CPU time of its processes, and datagrams between them. */
final class FleetCost {
    private static final double SECOND_MILLIS = 1000;

    private final Fleet fleet;
    private final DatagramRelay relay;
    private final double cpuMillisBefore;
    private final long datagramsBefore;
    private final long bytesBefore;

    FleetCost(Fleet fleet, DatagramRelay relay) {
        this.fleet = fleet;
        this.relay = relay;
        cpuMillisBefore = fleet.cpuMillis();
        datagramsBefore = relay.sent();
        bytesBefore = relay.bytes();
    }

    /** Returns how many cores the whole fleet used in the elapsed time. */
    double cores(double elapsedMillis) {
        return (fleet.cpuMillis() - cpuMillisBefore) / elapsedMillis;
    }

    /** Returns the datagrams per second of one dispatcher. */
    double datagramsPerSecond(double elapsedMillis) {
        return perDispatcherAndSecond(relay.sent() - datagramsBefore, elapsedMillis);
    }

    /** Returns the bytes of datagrams per second of one dispatcher. */
    double datagramBytesPerSecond(double elapsedMillis) {
        return perDispatcherAndSecond(relay.bytes() - bytesBefore, elapsedMillis);
    }

    private double perDispatcherAndSecond(long count, double elapsedMillis) {
        return count / elapsedMillis * SECOND_MILLIS / fleet.dispatchers.size();
    }
}
