package nettlewick.net;

import io.vertx.core.Future;
import io.vertx.core.net.SocketAddress;

/** The server on which a dispatcher accepts calls from operators. */
public interface AdminServer {
    /** Creates the server for a dispatcher. */
    interface Factory {
        /** Creates a server for this address that passes calls on to the operations; it does not listen yet. */
        AdminServer create(SocketAddress address, Operations operations);
    }

    /** Starts listening; completes with the port. */
    Future<Integer> listen();

    /** Stops listening and closes all connections. */
    Future<Void> close();
}
