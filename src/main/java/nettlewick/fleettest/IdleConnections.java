package nettlewick.fleettest;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** Clients that connect and send nothing, to exhaust the dispatchers' file descriptors. Safe for any thread. */
final class IdleConnections implements AutoCloseable {
    private static final int CONNECT_TIMEOUT_MILLIS = 500;

    private final List<Socket> sockets = new ArrayList<>();
    private boolean closed;

    /** Opens a number of connections to each address, in the background. */
    void open(List<InetSocketAddress> addresses, int connectionsPerAddress) {
        CompletableFuture.runAsync(() -> addresses.forEach(address -> {
            for (int i = 0; i < connectionsPerAddress; i++) {
                connect(address);
            }
        }));
    }

    private void connect(InetSocketAddress address) {
        Socket socket = new Socket();
        try {
            socket.connect(address, CONNECT_TIMEOUT_MILLIS);
            register(socket);
        } catch (IOException e) {
            // A dispatcher may refuse further connections.
        }
    }

    private synchronized void register(Socket socket) throws IOException {
        if (closed) {
            socket.close();
        } else {
            sockets.add(socket);
        }
    }

    /** Closes all connections. */
    @Override
    public synchronized void close() throws IOException {
        closed = true;
        for (Socket socket : sockets) {
            socket.close();
        }
        sockets.clear();
    }
}
