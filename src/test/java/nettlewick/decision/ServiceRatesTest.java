package nettlewick.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Smoothing of rates over intervals with many and with few requests. */
class ServiceRatesTest {
    @Test
    void ratesMoveHalfWayWithManyRequestsAndATenthWithFew() {
        ServiceRates many = new ServiceRates();
        for (int i = 0; i < 10; i++) {
            many.recordArrival();
        }
        ServiceRates few = new ServiceRates();
        few.recordArrival();
        for (ServiceRates rates : List.of(many, few)) {
            rates.recordAccepted(10);
            rates.recordLost(4);
            rates.recordServed(2);
            rates.closeInterval(1);
        }
        assertEquals(
                List.of(3.0, 5.0, 1.0), List.of(many.netAcceptedRate(), many.grossAcceptedRate(), many.servedRate()));
        assertEquals(0.6, few.netAcceptedRate(), 1e-9);
        many.closeInterval(1);
        assertEquals(4.5, many.grossAcceptedRate(), 1e-9, "each interval counts from zero");
    }
}
