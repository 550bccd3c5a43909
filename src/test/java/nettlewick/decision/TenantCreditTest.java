package nettlewick.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

/** The max-min fair share of tenants in a slice. */
class TenantCreditTest {
    private static TenantCredit tenant(double weight, double demand) {
        TenantCredit credit = new TenantCredit(weight);
        credit.recordOffered(2 * demand);
        credit.closeInterval(1);
        return credit;
    }

    @Test
    void unusedCapacityOfOneTenantGoesToTheOthers() {
        List<TenantCredit> tenants = List.of(tenant(0.5, 1), tenant(0.5, 9));
        double fairShare = TenantCredit.fairShare(tenants, 4);
        assertEquals(6, fairShare, 1e-6, "1 and 3 slots at weights of 0.5");
        assertEquals(4, TenantCredit.totalAllocation(tenants, fairShare), 1e-6);
    }

    @Test
    void aSliceLargeEnoughForAllDemandLimitsNoTenant() {
        assertEquals(18, TenantCredit.fairShare(List.of(tenant(0.5, 1), tenant(0.5, 9)), 10), 1e-9);
    }
}
