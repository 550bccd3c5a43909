package nettlewick.decision;

import static nettlewick.decision.Samples.SECOND;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Accrual and spending of slow start credit. */
class SlowStartCreditTest {
    @Test
    void creditAccruesWithTimeUpToItsBound() {
        SlowStartCredit credit = new SlowStartCredit();
        credit.reset(-1, 0);
        credit.accrue(0.5, 1, 2 * SECOND);
        assertFalse(credit.isPositive(), "the debt is exactly repaid");
        credit.accrue(0.5, 1, 20 * SECOND);
        credit.spend(1);
        assertFalse(credit.isPositive(), "credit accrues no further than the bound");
        credit.accrue(0.5, 1, 21 * SECOND);
        assertTrue(credit.isPositive());
    }
}
