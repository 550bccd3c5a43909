package nettlewick.decision;

import static nettlewick.decision.Samples.SECOND;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Credit while an endpoint warms up. */
class SlowStartCreditTest {
    @Test
    void creditAccruesWithTimeUpToItsBound() {
        SlowStartCredit credit = new SlowStartCredit();
        credit.reset(-1, 0);
        credit.accrue(0.5, 1, 2 * SECOND);
        assertFalse(credit.isPositive(), "the debt is just paid");
        credit.accrue(0.5, 1, 20 * SECOND);
        credit.spend(1);
        assertFalse(credit.isPositive(), "no more than the bound was saved up");
        credit.accrue(0.5, 1, 21 * SECOND);
        assertTrue(credit.isPositive());
    }
}
