package nettlewick.stubs;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Estimated arrival times of data that a loop reads on time, during a stall, and just after one. */
class ArrivalTimeEstimatorTest {
    private final ArrivalTimeEstimator estimator = new ArrivalTimeEstimator(0);

    @Test
    void dataReadOnTimeArrivedNow() {
        estimator.tick(20);
        assertEquals(50, estimator.earliestArrival(50));
    }

    @Test
    void dataReadLateMayHaveArrivedSinceTheLastTick() {
        estimator.tick(20);
        assertEquals(20, estimator.earliestArrival(400));
    }

    /** Guards against a late read from a new connection, which follows the tick that ends the stall. */
    @Test
    void dataReadJustAfterAStallMayHaveArrivedSinceItBegan() {
        estimator.tick(20);
        estimator.tick(400);
        assertEquals(20, estimator.earliestArrival(410));
        estimator.tick(420);
        assertEquals(445, estimator.earliestArrival(445));
    }
}
