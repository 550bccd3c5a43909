package nettlewick.decision;

/** Measurements over the endpoints of one kind: work served, slots, slowdown and waits. */
final class EndpointKindStats {
    private static final int SLOWDOWN_SAMPLES = 100;
    private static final double RATE_SMOOTHING_INTERVALS = 4;

    private double servedSlotSeconds;
    private double servedRatePerEndpoint;
    private int measurements;
    private double maxFreeSlots;
    private final RunningMean slowdown = new RunningMean(SLOWDOWN_SAMPLES);
    private final WaitCalibration waitCalibration = new WaitCalibration();

    EndpointKindStats() {
        this(0, 0, 0);
    }

    /** Creates statistics with the given state, as after {@code measurements} intervals. */
    EndpointKindStats(double maxFreeSlots, double servedRatePerEndpoint, int measurements) {
        this.maxFreeSlots = maxFreeSlots;
        this.servedRatePerEndpoint = servedRatePerEndpoint;
        this.measurements = measurements;
    }

    void recordServed(double slotSeconds) {
        servedSlotSeconds += slotSeconds;
    }

    /** Ends an interval in which {@code warmEndpoints} endpoints were ready and past their slow start. */
    void closeInterval(long warmEndpoints) {
        if (warmEndpoints > 0) {
            measurements++;
            servedRatePerEndpoint += (servedSlotSeconds * 1e9 / SchedulerTimings.SHARE_INTERVAL_NANOS / warmEndpoints
                            - servedRatePerEndpoint)
                    / RATE_SMOOTHING_INTERVALS;
        }
        servedSlotSeconds = 0;
    }

    /** Mean number of slots of a warm endpoint that are busy with this dispatcher's requests. */
    double servedRatePerEndpoint() {
        return servedRatePerEndpoint;
    }

    /** The number of intervals over which the served rate was measured. */
    int measurements() {
        return measurements;
    }

    void recordFreeSlots(double slots) {
        maxFreeSlots = Math.max(maxFreeSlots, slots);
    }

    /** The most free slots observed at an endpoint of the kind. */
    double maxFreeSlots() {
        return maxFreeSlots;
    }

    /** Mean logarithm of the ratio of run time to cost hint over requests of this kind of endpoint. */
    RunningMean slowdown() {
        return slowdown;
    }

    WaitCalibration waitCalibration() {
        return waitCalibration;
    }
}
