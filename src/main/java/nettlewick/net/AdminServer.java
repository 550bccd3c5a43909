package nettlewick.net;

import io.vertx.core.Future;
import io.vertx.core.net.SocketAddress;

/** Where operators call a dispatcher. */
public interface AdminServer {
    /** Creates the server for a dispatcher. */
    interface Factory {
        /** Creates a server at that address that carries out what operators ask; it does not listen yet. */
        AdminServer create(SocketAddress address, Operations operations);
    }

    /** Starts listening; completes with the port. */
    Future<Integer> listen();

    /** Stops listening and closes all connections. */
    Future<Void> close();
}
