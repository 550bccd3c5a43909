package nettlewick.fleettest;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.BitSet;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class LinkFaultsTest {
    private static LinkFaults linkFaults(double loss, double duplicates, double jitter) {
        return new LinkFaults(new Scenario.LinkSettings(loss, duplicates, 1, jitter, true), 9);
    }

    private static BitSet bitSet(int... which) {
        BitSet set = new BitSet();
        IntStream.of(which).forEach(set::set);
        return set;
    }

    @Test
    void copiesOfTheSameDatagramAreDeterministic() {
        for (int n = 0; n < 200; n++) {
            assertEquals(
                    linkFaults(0.3, 0.2, 5).copyDelays(3, 4, n, 0),
                    linkFaults(0.3, 0.2, 5).copyDelays(3, 4, n, 77));
        }
    }

    @Test
    void lossAndDuplicatesMatchTheConfiguredFractions() {
        LinkFaults links = linkFaults(0.2, 0.1, 5);
        int[] copies = new int[3];
        for (int from = 0; from < 10; from++) {
            for (int n = 0; n < 1000; n++) {
                copies[links.copyDelays(from, 11, n, 0).size()]++;
            }
        }
        assertTrue(Math.abs(copies[0] - 2000) < 200, copies[0] + " lost");
        assertTrue(Math.abs(copies[2] - 800) < 150, copies[2] + " duplicated");
    }

    @Test
    void aOneWayPartitionPassesTheOtherDirectionAndExpires() {
        LinkFaults links = linkFaults(0, 0, 0);
        links.cut(bitSet(1, 2), bitSet(3), false, 100);
        assertEquals(List.of(), links.copyDelays(1, 3, 0, 99));
        assertEquals(1, links.copyDelays(3, 1, 0, 99).size());
        assertEquals(1, links.copyDelays(1, 2, 0, 99).size());
        assertEquals(1, links.copyDelays(1, 3, 0, 100).size());
        links.cut(bitSet(1), bitSet(3), true, 200);
        assertEquals(List.of(), links.copyDelays(3, 1, 0, 199));
    }

    @Test
    void aServerFaultAppliesToAllItsConnections() {
        LinkFaults links = linkFaults(0, 0, 0);
        links.addServerFault(bitSet(8), LinkFaults.ConnectionState.RESET, 50);
        assertEquals(LinkFaults.ConnectionState.RESET, links.connectionState(1, 8, 8, 10));
        assertEquals(LinkFaults.ConnectionState.RESET, links.connectionState(8, 1, 8, 10));
        assertEquals(LinkFaults.ConnectionState.OPEN, links.connectionState(1, 7, 7, 10));
        assertEquals(LinkFaults.ConnectionState.OPEN, links.connectionState(1, 8, 8, 50));
    }
}
