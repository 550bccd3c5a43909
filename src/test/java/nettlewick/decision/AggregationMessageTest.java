package nettlewick.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.List;
import nettlewick.decision.AggregationMessage.Entry;
import nettlewick.decision.AggregationMessage.Kind;
import org.junit.jupiter.api.Test;

/** Encoding and decoding of aggregation messages. */
class AggregationMessageTest {
    @Test
    void entriesOfEachKindAreReadAsTheyWereWritten() {
        List<Entry> entries = List.of(new Entry('a', 0), new Entry('\uffff', 255));
        for (Kind kind : Kind.values()) {
            byte[] data = AggregationMessage.encode(kind, entries).get(0);
            assertTrue(AggregationMessage.isAggregationMessage(data));
            assertEquals(kind, AggregationMessage.kindOf(data));
            assertEquals(
                    kind == Kind.WATCH ? List.of(new Entry('a', 0), new Entry('\uffff', 0)) : entries,
                    AggregationMessage.decode(data));
        }
    }

    @Test
    void truncatedLongAndForeignDatagramsAreNotRead() {
        byte[] hold = AggregationMessage.encode(Kind.IN_FLIGHT, List.of(new Entry('a', 1)))
                .get(0);
        assertFalse(AggregationMessage.isAggregationMessage(Arrays.copyOf(hold, 3)));
        assertFalse(AggregationMessage.isAggregationMessage(Arrays.copyOf(hold, 1)));
        assertFalse(AggregationMessage.isAggregationMessage(Arrays.copyOf(hold, 1 + 3 * 86)));
        hold[0] = (byte) 0xA3;
        assertFalse(AggregationMessage.isAggregationMessage(hold));
    }
}
