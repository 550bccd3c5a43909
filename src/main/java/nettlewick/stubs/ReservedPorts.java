package nettlewick.stubs;

import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.SocketException;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Ports for processes that are started, ended and started again at the same address. They lie below the range from
 * which the kernel draws ports, so no other socket takes one by chance, and each is reserved among processes that use
 * this class by the UDP port of the same number, which stays bound until this process ends. Safe for any thread.
 */
public final class ReservedPorts {
    private static final int FIRST_PORT = 12_000;
    private static final int LAST_PORT = 31_999;
    private static final int MAX_TRIES = 1000;

    /** A loopback address that nothing else uses. */
    private static final String RESERVING_ADDRESS = "127.255.255.254";

    private static final RandomGenerator RANDOM = new SecureRandom();
    /** Kept so that they stay bound. */
    private static final List<DatagramSocket> RESERVATIONS = new ArrayList<>();

    private ReservedPorts() {}

    /**
     * Reserves a port on which nobody listens.
     *
     * @throws IOException if none was found
     */
    public static synchronized int reserve() throws IOException {
        for (int tries = 0; tries < MAX_TRIES; tries++) {
            int port = RANDOM.nextInt(FIRST_PORT, LAST_PORT + 1);
            if (reserve(port)) {
                return port;
            }
        }
        throw new IOException("no free port from " + FIRST_PORT + " to " + LAST_PORT);
    }

    private static boolean reserve(int port) {
        try {
            DatagramSocket reservation = new DatagramSocket(new InetSocketAddress(RESERVING_ADDRESS, port));
            if (isFree(port)) {
                RESERVATIONS.add(reservation);
                return true;
            }
            reservation.close();
            return false;
        } catch (SocketException e) {
            return false;
        }
    }

    private static boolean isFree(int port) {
        try (ServerSocket probe = new ServerSocket(port)) {
            return probe.isBound();
        } catch (IOException e) {
            return false;
        }
    }
}
