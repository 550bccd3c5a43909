package nettlewick.decision;

/** Running means over this dispatcher's requests: cost, run time, latency and priority per slot. */
final class RequestStatistics {
    private final RunningMean cost = new RunningMean();
    private final RunningMean priorityPerSlot = new RunningMean();
    private final RunningMean runTime = new RunningMean();
    private final RunningMean[] latencyByClass;
    private final LargestRequest largest = new LargestRequest();

    RequestStatistics(int classes) {
        latencyByClass = new RunningMean[classes];
        for (int i = 0; i < classes; i++) {
            latencyByClass[i] = new RunningMean();
        }
    }

    void recordArrival(ScheduledRequest request) {
        cost.add(request.cost());
        priorityPerSlot.add(request.priorityPerSlot());
        largest.include(request.arrival());
    }

    /** Records the run time of a request of any class. */
    void recordRunTime(long nanos) {
        runTime.add(nanos);
    }

    /** Records the latency of a request that did not wait. */
    void recordLatency(ScheduledRequest request, long nanos) {
        latencyByClass[request.classIndex()].add(nanos);
    }

    /** Mean cost of a request in slot-seconds. */
    double meanCost() {
        return cost.value();
    }

    double meanPriorityPerSlot() {
        return priorityPerSlot.value();
    }

    /** Mean run time of all classes together, in nanoseconds. */
    double meanRunTime() {
        return runTime.value();
    }

    /** Mean latency of the request's class without waiting, in nanoseconds; 0 before the first sample. */
    double meanLatency(ScheduledRequest request) {
        return latencyByClass[request.classIndex()].value();
    }

    LargestRequest largest() {
        return largest;
    }
}
