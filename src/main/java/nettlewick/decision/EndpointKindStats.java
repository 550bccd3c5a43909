package nettlewick.decision;

/** What was measured at the endpoints of one kind: work served, slots, slowdown and waits. */
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

    /** Statistics as {@code measurements} intervals have left them. */
    EndpointKindStats(double maxFreeSlots, double servedRatePerEndpoint, int measurements) {
        this.maxFreeSlots = maxFreeSlots;
        this.servedRatePerEndpoint = servedRatePerEndpoint;
        this.measurements = measurements;
    }

    void recordServed(double slotSeconds) {
        servedSlotSeconds += slotSeconds;
    }

    /** Ends an interval in which {@code warmEndpoints} were ready and past their slow start. */
    void closeInterval(long warmEndpoints) {
        if (warmEndpoints > 0) {
            measurements++;
            servedRatePerEndpoint += (servedSlotSeconds * 1e9 / SchedulerTimings.SHARE_INTERVAL_NANOS / warmEndpoints
                            - servedRatePerEndpoint)
                    / RATE_SMOOTHING_INTERVALS;
        }
        servedSlotSeconds = 0;
    }

    /** Slots that a warm endpoint is busy with for this dispatcher. */
    double servedRatePerEndpoint() {
        return servedRatePerEndpoint;
    }

    /** How many intervals the carried rate was measured over. */
    int measurements() {
        return measurements;
    }

    void recordFreeSlots(double slots) {
        maxFreeSlots = Math.max(maxFreeSlots, slots);
    }

    /** Most free slots that an endpoint of the kind was seen to have. */
    double maxFreeSlots() {
        return maxFreeSlots;
    }

    /** Logarithms of how much longer than hinted requests run on this kind. */
    RunningMean slowdown() {
        return slowdown;
    }

    WaitCalibration waitCalibration() {
        return waitCalibration;
    }
}
