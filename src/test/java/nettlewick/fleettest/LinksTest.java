package nettlewick.fleettest;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.BitSet;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class LinksTest {
    private static LinkFaults links(double loss, double duplicates, double jitter) {
        return new LinkFaults(new Scenario.LinkSettings(loss, duplicates, 1, jitter, true), 9);
    }

    private static BitSet of(int... which) {
        BitSet set = new BitSet();
        IntStream.of(which).forEach(set::set);
        return set;
    }

    @Test
    void theSameDatagramHasTheSameFate() {
        for (int n = 0; n < 200; n++) {
            assertEquals(links(0.3, 0.2, 5).fate(3, 4, n, 0), links(0.3, 0.2, 5).fate(3, 4, n, 77));
        }
    }

    @Test
    void lossAndDuplicatesAreAsManyAsTheySay() {
        LinkFaults links = links(0.2, 0.1, 5);
        int[] copies = new int[3];
        for (int from = 0; from < 10; from++) {
            for (int n = 0; n < 1000; n++) {
                copies[links.fate(from, 11, n, 0).size()]++;
            }
        }
        assertTrue(Math.abs(copies[0] - 2000) < 200, copies[0] + " lost");
        assertTrue(Math.abs(copies[2] - 800) < 150, copies[2] + " twice");
    }

    @Test
    void aOneWayCutLetsTheOtherWayPassAndEnds() {
        LinkFaults links = links(0, 0, 0);
        links.cut(of(1, 2), of(3), false, 100);
        assertEquals(List.of(), links.fate(1, 3, 0, 99));
        assertEquals(1, links.fate(3, 1, 0, 99).size());
        assertEquals(1, links.fate(1, 2, 0, 99).size());
        assertEquals(1, links.fate(1, 3, 0, 100).size());
        links.cut(of(1), of(3), true, 200);
        assertEquals(List.of(), links.fate(3, 1, 0, 199));
    }

    @Test
    void aServersSpellHoldsForAllWhoCallIt() {
        LinkFaults links = links(0, 0, 0);
        links.treat(of(8), LinkFaults.Way.RESET, 50);
        assertEquals(LinkFaults.Way.RESET, links.way(1, 8, 8, 10));
        assertEquals(LinkFaults.Way.RESET, links.way(8, 1, 8, 10));
        assertEquals(LinkFaults.Way.OPEN, links.way(1, 7, 7, 10));
        assertEquals(LinkFaults.Way.OPEN, links.way(1, 8, 8, 50));
    }
}
