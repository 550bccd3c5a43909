package nettlewick.lease;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Arrays;
import nettlewick.lease.LeaseMessage.Kind;
import nettlewick.lease.MessageCodec.DiscardReason;
import org.junit.jupiter.api.Test;

/** Datagrams are decoded only if they are intact, not repeated, and from a sender with the same key and membership. */
class MessageCodecTest {
    private static final byte[] KEY = new byte[32];
    private static final LeaseMessage MESSAGE =
            new LeaseMessage(Kind.PROMISED, "pool é", 3, 7, 11, 13, 2.5, 17, 19, new byte[] {1, 2});

    private static MessageCodec codec(int membershipHash, int dispatcher) {
        return new MessageCodec(KEY, membershipHash, dispatcher, 5);
    }

    @Test
    void decodedMessageEqualsTheEncodedOne() {
        LeaseMessage decoded = codec(1, 0).decode(codec(1, 3).encode(MESSAGE));
        assertArrayEquals(MESSAGE.state(), decoded.state());
        assertEquals(
                MESSAGE.toString().replaceAll("state=.*", ""),
                decoded.toString().replaceAll("state=.*", ""));
        assertThrows(
                IllegalArgumentException.class,
                () -> codec(1, 3).encode(MESSAGE.withState(1, 1, new byte[MessageCodec.MAX_STATE_BYTES + 1])));
    }

    @Test
    void everyChangedByteAndEveryTruncationIsDiscarded() {
        byte[] encoded = codec(1, 3).encode(MESSAGE);
        MessageCodec receiver = codec(1, 0);
        for (int i = 0; i < encoded.length; i++) {
            byte[] corrupted = encoded.clone();
            corrupted[i] ^= 1;
            assertNull(receiver.decode(corrupted), "byte " + i);
            assertNull(receiver.decode(Arrays.copyOf(encoded, i)), "cut at " + i);
        }
        assertEquals(2L * encoded.length, receiver.discardedCount(DiscardReason.DAMAGED));
        assertNotNull(receiver.decode(encoded), "a discarded datagram does not use up its sequence number");
    }

    @Test
    void eachMessageIsDecodedOnceInAnyOrderAndOldOnesNever() {
        MessageCodec sender = codec(1, 3);
        MessageCodec receiver = codec(1, 0);
        byte[][] sent = new byte[100][];
        for (int i = 0; i < sent.length; i++) {
            sent[i] = sender.encode(MESSAGE);
        }
        for (int i : new int[] {5, 3, 4, 90, 60}) {
            assertNotNull(receiver.decode(sent[i]), "number " + i);
            assertNull(receiver.decode(sent[i]), "number " + i + " again");
        }
        assertNull(receiver.decode(sent[6]), "too far behind");
        assertEquals(6, receiver.discardedCount(DiscardReason.REPEATED));
    }

    @Test
    void messagesWithAnotherMembershipOrKeyAreDiscarded() {
        MessageCodec receiver = codec(1, 0);
        assertNull(receiver.decode(codec(2, 3).encode(MESSAGE)));
        assertEquals(1, receiver.discardedCount(DiscardReason.OTHER_LIST));
        assertNull(receiver.decode(new MessageCodec(new byte[] {1}, 1, 3, 5).encode(MESSAGE)));
        assertEquals(1, receiver.discardedCount(DiscardReason.DAMAGED));
    }
}
