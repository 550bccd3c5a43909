package nettlewick.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** How the slice follows the accepted and served rates of its dispatcher. */
class CapacitySliceTest {
    private final CapacitySlice slice = new CapacitySlice();
    private final ServiceRates rates = new ServiceRates();

    private void endInterval(double accepted, double lost, double served) {
        for (int i = 0; i < 20; i++) {
            rates.recordArrival();
        }
        rates.recordAccepted(accepted);
        rates.recordLost(lost);
        rates.recordServed(served);
        rates.closeInterval(1);
        slice.adjust(rates, 0.5);
    }

    @Test
    void aSliceThatIsNotBindingFollowsTheAcceptedRate() {
        endInterval(0, 0, 0);
        assertEquals(0.5, slice.rate(), "the minimum slice");
        endInterval(8, 4, 4);
        assertEquals(2, slice.rate(), 1e-9, "halfway from 0 to 4");
    }

    @Test
    void aBindingSliceIsNotEnforcedBeforeAnythingWasAccepted() {
        slice.setBinding(true);
        assertFalse(slice.isEnforced());
        endInterval(8, 0, 8);
        assertTrue(slice.isEnforced());
    }

    @Test
    void aBindingSliceGrowsWhileItServesAllAndIsCutOtherwise() {
        endInterval(8, 0, 8);
        slice.setBinding(true);
        double previousRate = slice.rate();
        endInterval(4, 0, 4);
        assertEquals(1.1 * previousRate, slice.rate(), 1e-9);
        previousRate = slice.rate();
        endInterval(8, 8, 0);
        assertTrue(
                slice.rate() < previousRate && slice.rate() >= 0.7 * previousRate - 1e-9,
                "cut by at most three tenths");
    }

    @Test
    void returningAnInheritedSliceLeavesNoNegativeRate() {
        slice.credit(2);
        slice.returnInherited(5);
        assertEquals(0, slice.rate());
    }
}
