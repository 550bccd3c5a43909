package nettlewick.lease;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.IntStream;
import nettlewick.settings.Block;

/**
 * The block {@code duty}, checked.
 *
 * @param number this dispatcher's place in the list
 * @param listen where this process hears of duties
 * @param all    where each dispatcher is reached
 * @param voters the numbers of those that grant
 * @param duties names, in the order of the file
 * @param folder where a voter keeps what it promised and accepted; null: in memory alone
 */
public record LeaseSettings(
        int dispatcher,
        InetSocketAddress listenAddress,
        List<InetSocketAddress> dispatchers,
        List<Integer> voters,
        LeaseTerms terms,
        byte[] sharedKey,
        List<String> leaseNames,
        Path voterFolder) {
    private static final int MIN_KEY_BYTES = 32;
    private static final double PERCENT = 100;

    /** @throws nettlewick.settings.BadSettings where the lines do not fit one another */
    public static LeaseSettings of(Block block) {
        List<String> duties =
                block.all("name").stream().map(v -> v.<String>part(0)).toList();
        List<InetSocketAddress> all = block.all("dispatcher").stream()
                .map(v -> v.<InetSocketAddress>part(0))
                .toList();
        int number = block.has("number") ? (int) block.whole("number") : all.indexOf(block.address("listen"));
        if (number < 0 || number >= all.size()) {
            throw block.has("number")
                    ? block.bad("number", "below " + all.size())
                    : block.bad("listen", "the address of one `dispatcher`, or `number` has to be set");
        }
        if (duties.stream().distinct().count() < duties.size()) {
            throw block.bad("name", "there once only");
        }
        int voters = (int) Math.min(block.whole("voters"), all.size());
        if (duties.stream()
                .anyMatch(d ->
                        d.getBytes(java.nio.charset.StandardCharsets.UTF_8).length > MessageCodec.MAX_NAME_BYTES)) {
            throw block.bad("name", "of " + MessageCodec.MAX_NAME_BYTES + " bytes at most");
        }
        List<Integer> first = IntStream.range(0, voters).boxed().toList();
        return new LeaseSettings(
                number,
                block.address("listen"),
                all,
                first,
                new LeaseTerms(block.span("lease"), block.whole("drift") / PERCENT),
                key(block),
                duties,
                block.has("folder") ? block.get("folder") : null);
    }

    /** Stands for the list of dispatchers and how many of them vote: words under another one never count. */
    int membershipHash() {
        List<String> addresses = dispatchers.stream()
                .map(a -> a.getAddress().getHostAddress() + ":" + a.getPort())
                .toList();
        return addresses.hashCode() * 31 + voters.size();
    }

    private static byte[] key(Block block) {
        try {
            byte[] key = Files.readAllBytes(block.<Path>get("key"));
            if (key.length < MIN_KEY_BYTES) {
                throw block.bad("key", "a file of " + MIN_KEY_BYTES + " bytes at least");
            }
            return key;
        } catch (IOException e) {
            throw block.bad("key", "a file that can be read");
        }
    }
}
