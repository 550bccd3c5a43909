package nettlewick.ledger;

import inet.ipaddr.IPAddress;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import nettlewick.settings.Block;

/**
 * Settings of the reconciliation with other dispatchers.
 *
 * @param listen           address on which peers are served
 * @param keyFile          file with the shared HMAC key
 * @param admittedNetworks networks from which requests are accepted
 * @param peers            addresses of the peers
 * @param intervalMillis   time between rounds with a peer
 * @param timeoutMillis    time limit of a request to a peer
 * @param chunkEntries     maximum number of entries that are fetched in one request
 */
public record PeerSettings(
        InetSocketAddress listen,
        Path keyFile,
        List<IPAddress> admittedNetworks,
        List<InetSocketAddress> peers,
        double intervalMillis,
        double timeoutMillis,
        int chunkEntries) {
    static PeerSettings of(Block block) {
        return new PeerSettings(
                block.address("listen"),
                block.get("key"),
                block.all("admit").stream().map(v -> v.<IPAddress>argument(0)).toList(),
                block.all("peer").stream()
                        .map(v -> v.<InetSocketAddress>argument(0))
                        .toList(),
                block.durationMillis("every"),
                block.durationMillis("timeout"),
                (int) block.wholeNumber("chunk"));
    }
}
