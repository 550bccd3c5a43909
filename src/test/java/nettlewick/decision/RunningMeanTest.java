package nettlewick.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Weights of the samples in a running mean. */
class RunningMeanTest {
    @Test
    void allSamplesCountAlikeUntilTheLimit() {
        RunningMean mean = new RunningMean(4);
        mean.add(1);
        mean.add(3);
        assertEquals(2, mean.value());
        assertEquals(2, mean.count());
        mean.add(2);
        mean.add(2);
        mean.add(6);
        assertEquals(3, mean.value(), "the fifth sample weighs a quarter");
        assertEquals(4, mean.count());
    }

    @Test
    void forgottenSamplesHaveNoWeightAgainstTheNext() {
        RunningMean mean = new RunningMean(4);
        mean.add(9);
        mean.forgetSamples();
        mean.add(1);
        assertEquals(1, mean.value());
    }

    @Test
    void initialSamplesCountAsZeros() {
        RunningMean mean = new RunningMean(100, 3);
        mean.add(4);
        assertEquals(1, mean.value());
    }
}
