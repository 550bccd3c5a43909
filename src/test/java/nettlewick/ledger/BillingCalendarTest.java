package nettlewick.ledger;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.LocalDate;
import java.time.ZoneId;
import java.time.ZonedDateTime;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import org.junit.jupiter.api.Test;

/** The calendar of periods: every moment is in exactly one, and each ends where the next begins. */
class BillingCalendarTest {
    private static final ZoneId ZONE = ZoneId.of("Indian/Mauritius");
    private static final BillingCalendar TERMS = new BillingCalendar(
            ZONE,
            List.of(
                    new BillingCalendar.Term("t2", LocalDate.of(2026, 5, 1), LocalDate.of(2026, 8, 15)),
                    new BillingCalendar.Term("t1", LocalDate.of(2026, 1, 10), LocalDate.of(2026, 4, 1))));

    private static double at(int year, int month, int day) {
        return ZonedDateTime.of(year, month, day, 0, 0, 0, 0, ZONE).toInstant().toEpochMilli();
    }

    @Test
    void periodsAreHalfOpenInTheirZone() {
        assertEquals("t1", TERMS.periodAt(at(2026, 4, 1) - 0.001).name());
        assertEquals("before-t2", TERMS.periodAt(at(2026, 4, 1)).name());
        assertEquals("t2", TERMS.periodAt(at(2026, 5, 1)).name());
        assertEquals("2026-08-rest", TERMS.periodAt(at(2026, 8, 15)).name());
        assertEquals("2026-09", TERMS.periodAt(at(2026, 9, 1)).name());
        assertEquals("2026-01", TERMS.periodAt(at(2026, 1, 10) - 1).name());
        assertEquals("2025-12", TERMS.periodAt(at(2025, 12, 31)).name());
    }

    @Property(tries = 2000, seed = "42")
    void everyMomentIsInOnePeriodWhichFollowsOnAnother(@ForAll @DoubleRange(min = 0, max = 4e12) double time) {
        BillingCalendar.Period p = TERMS.periodAt(time);
        assertTrue(p.contains(time), p.toString());
        assertEquals(p, TERMS.periodNamed(p.name()).orElseThrow());
        assertEquals(p, TERMS.periodAt(p.from()));
        assertEquals(p.to(), TERMS.periodAfter(p).from());
        assertEquals(p, TERMS.periodAt(p.to() - 0.5));
    }

    @Test
    void termsThatMakeNoSenseAreRefused() {
        LocalDate d = LocalDate.of(2026, 1, 1);
        assertThrows(
                IllegalArgumentException.class,
                () -> new BillingCalendar(ZONE, List.of(new BillingCalendar.Term("a", d, d))));
        assertThrows(
                IllegalArgumentException.class,
                () -> new BillingCalendar(
                        ZONE,
                        List.of(
                                new BillingCalendar.Term("a", d, d.plusDays(9)),
                                new BillingCalendar.Term("b", d.plusDays(8), d.plusDays(20)))));
        assertThrows(
                IllegalArgumentException.class,
                () -> new BillingCalendar(
                        ZONE,
                        List.of(
                                new BillingCalendar.Term("a", d, d.plusDays(9)),
                                new BillingCalendar.Term("a", d.plusDays(9), d.plusDays(20)))));
    }
}
