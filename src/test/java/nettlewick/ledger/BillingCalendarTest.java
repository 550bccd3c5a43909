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

/** Every moment belongs to exactly one period, and each period ends where the next one begins. */
class BillingCalendarTest {
    private static final ZoneId ZONE = ZoneId.of("Indian/Mauritius");
    private static final BillingCalendar CALENDAR = new BillingCalendar(
            ZONE,
            List.of(
                    new BillingCalendar.Term("t2", LocalDate.of(2026, 5, 1), LocalDate.of(2026, 8, 15)),
                    new BillingCalendar.Term("t1", LocalDate.of(2026, 1, 10), LocalDate.of(2026, 4, 1))));

    private static double at(int year, int month, int day) {
        return ZonedDateTime.of(year, month, day, 0, 0, 0, 0, ZONE).toInstant().toEpochMilli();
    }

    @Test
    void periodsAreHalfOpenInTheirZone() {
        assertEquals("t1", CALENDAR.periodAt(at(2026, 4, 1) - 0.001).name());
        assertEquals("before-t2", CALENDAR.periodAt(at(2026, 4, 1)).name());
        assertEquals("t2", CALENDAR.periodAt(at(2026, 5, 1)).name());
        assertEquals("2026-08-rest", CALENDAR.periodAt(at(2026, 8, 15)).name());
        assertEquals("2026-09", CALENDAR.periodAt(at(2026, 9, 1)).name());
        assertEquals("2026-01", CALENDAR.periodAt(at(2026, 1, 10) - 1).name());
        assertEquals("2025-12", CALENDAR.periodAt(at(2025, 12, 31)).name());
    }

    @Property(tries = 2000, seed = "42")
    void everyMomentIsInExactlyOneOfConsecutivePeriods(@ForAll @DoubleRange(min = 0, max = 4e12) double time) {
        BillingCalendar.Period p = CALENDAR.periodAt(time);
        assertTrue(p.contains(time), p.toString());
        assertEquals(p, CALENDAR.periodNamed(p.name()).orElseThrow());
        assertEquals(p, CALENDAR.periodAt(p.from()));
        assertEquals(p.to(), CALENDAR.periodAfter(p).from());
        assertEquals(p, CALENDAR.periodAt(p.to() - 0.5));
    }

    @Test
    void invalidTermsAreRejected() {
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
