package nettlewick.lease;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.IntStream;
import nettlewick.settings.Block;

/**
 * The validated settings block {@code duty}.
 *
 * @param dispatcher    this dispatcher's number, which is its index in {@code dispatchers}
 * @param listenAddress where this process receives lease messages
 * @param dispatchers   the address of each dispatcher, by its number
 * @param voters        the numbers of the dispatchers that vote
 * @param parameters    the duration of a lease and the maximum clock drift
 * @param sharedKey     authenticates the messages
 * @param leaseNames    in the order of the file
 * @param voterFolder   where a voter stores its records; null to keep them in memory only
 */
public record LeaseSettings(
        int dispatcher,
        InetSocketAddress listenAddress,
        List<InetSocketAddress> dispatchers,
        List<Integer> voters,
        LeaseParameters parameters,
        byte[] sharedKey,
        List<String> leaseNames,
        Path voterFolder) {
    private static final int MIN_KEY_BYTES = 32;
    private static final double PERCENT = 100;

    /**
     * Reads the block and the key file that it names.
     *
     * @throws nettlewick.settings.InvalidSettingsException if the settings contradict each other or the key cannot be
     *                                                      read
     */
    public static LeaseSettings of(Block block) {
        List<InetSocketAddress> dispatchers = block.all("dispatcher").stream()
                .map(value -> value.<InetSocketAddress>argument(0))
                .toList();
        int dispatcher = dispatcherNumber(block, dispatchers);
        List<String> leaseNames = leaseNames(block);
        int voterCount = (int) Math.min(block.wholeNumber("voters"), dispatchers.size());
        return new LeaseSettings(
                dispatcher,
                block.address("listen"),
                dispatchers,
                IntStream.range(0, voterCount).boxed().toList(),
                new LeaseParameters(block.durationMillis("lease"), block.wholeNumber("drift") / PERCENT),
                readKey(block),
                leaseNames,
                block.has("folder") ? block.get("folder") : null);
    }

    private static int dispatcherNumber(Block block, List<InetSocketAddress> dispatchers) {
        boolean isSet = block.has("number");
        int number = isSet ? (int) block.wholeNumber("number") : dispatchers.indexOf(block.address("listen"));
        if (number >= 0 && number < dispatchers.size()) {
            return number;
        }
        throw isSet
                ? block.invalidValue("number", "below " + dispatchers.size())
                : block.invalidValue("listen", "the address of one `dispatcher`, or `number` has to be set");
    }

    private static List<String> leaseNames(Block block) {
        List<String> names = block.all("name").stream()
                .map(value -> value.<String>argument(0))
                .toList();
        if (names.stream().distinct().count() < names.size()) {
            throw block.invalidValue("name", "unique");
        }
        if (names.stream().anyMatch(name -> name.getBytes(UTF_8).length > MessageCodec.MAX_NAME_BYTES)) {
            throw block.invalidValue("name", "at most " + MessageCodec.MAX_NAME_BYTES + " bytes long");
        }
        return names;
    }

    /**
     * A hash of the addresses of the dispatchers and the number of voters. Dispatchers whose hashes differ discard each
     * other's messages.
     */
    int membershipHash() {
        List<String> addresses = dispatchers.stream()
                .map(address -> address.getAddress().getHostAddress() + ":" + address.getPort())
                .toList();
        return addresses.hashCode() * 31 + voters.size();
    }

    private static byte[] readKey(Block block) {
        try {
            byte[] key = Files.readAllBytes(block.<Path>get("key"));
            if (key.length < MIN_KEY_BYTES) {
                throw block.invalidValue("key", "a file of at least " + MIN_KEY_BYTES + " bytes");
            }
            return key;
        } catch (IOException e) {
            throw block.invalidValue("key", "a readable file");
        }
    }
}
