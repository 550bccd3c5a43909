package nettlewick.ledger;

import inet.ipaddr.IPAddress;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import nettlewick.settings.Block;

/** How ledgers of several dispatchers find each other; times in milliseconds. */
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
