package nettlewick.lease;

import static nettlewick.golden.GoldenFile.assertMatches;
import static nettlewick.golden.GoldenFile.hex;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** The encoded bytes of each kind of message, which different builds in one fleet exchange, with the HMAC. */
class LeaseMessageGoldenTest {
    private static final byte[] KEY = "0123456789abcdef0123456789abcdef".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] STATE = "version=7;pool=a,b".getBytes(StandardCharsets.UTF_8);

    private static LeaseMessage message(LeaseMessage.Kind kind) {
        return new LeaseMessage(
                kind,
                "pool:ecole-é",
                3,
                7_000_000_007L,
                Ballot.of(5, 77, 3),
                Ballot.of(6, 78, 2),
                12.625,
                Ballot.of(4, 76, 1),
                19,
                kind.ordinal() % 2 == 0 ? STATE : LeaseMessage.EMPTY_STATE);
    }

    @Test
    void eachKindHasTheRecordedBytes() {
        MessageCodec sender = new MessageCodec(KEY, 0x1234_5678, 3, 424_242);
        MessageCodec receiver = new MessageCodec(KEY, 0x1234_5678, 1, 99);
        StringBuilder text = new StringBuilder();
        for (LeaseMessage.Kind kind : LeaseMessage.Kind.values()) {
            byte[] sent = sender.encode(message(kind));
            text.append(kind.ordinal()).append('\n').append(hex(sent));
            LeaseMessage read = receiver.decode(sent);
            assertNotNull(read);
            assertEquals(message(kind).ballot(), read.ballot());
        }
        assertMatches("lease/messages.txt", text.toString());
    }
}
