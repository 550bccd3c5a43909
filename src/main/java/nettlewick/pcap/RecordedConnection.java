package nettlewick.pcap;

import io.vertx.core.net.SocketAddress;
import java.net.InetAddress;
import java.net.UnknownHostException;

/**
 * Writes a TCP connection to a capture file: the handshake, both sides' bytes in order, and the close. Confined to the
 * event loop.
 */
final class RecordedConnection {
    /** The two ends of a connection. */
    enum Side {
        CLIENT,
        SERVER
    }

    private static final int MAX_SEGMENT_BYTES = 1400;
    private static final int INITIAL_SEQUENCE_NUMBER = 1000;
    private static final byte[] NO_BYTES = {};

    /** One side of the connection as a sender. */
    private static final class Sender {
        private final TcpPacketBuilder packetBuilder;
        private int nextSequenceNumber = INITIAL_SEQUENCE_NUMBER;

        Sender(TcpPacketBuilder packetBuilder) {
            this.packetBuilder = packetBuilder;
        }
    }

    private final CaptureFileWriter file;
    private final Sender client;
    private final Sender server;

    /** Writes the handshake immediately. */
    RecordedConnection(CaptureFileWriter file, SocketAddress clientAddress, SocketAddress serverAddress)
            throws UnknownHostException {
        this.file = file;
        byte[] clientHost = InetAddress.getByName(clientAddress.hostAddress()).getAddress();
        byte[] serverHost = InetAddress.getByName(serverAddress.hostAddress()).getAddress();
        client = new Sender(new TcpPacketBuilder(clientHost, clientAddress.port(), serverHost, serverAddress.port()));
        server = new Sender(new TcpPacketBuilder(serverHost, serverAddress.port(), clientHost, clientAddress.port()));
        writeControl(Side.CLIENT, TcpPacketBuilder.SYN);
        writeControl(Side.SERVER, TcpPacketBuilder.SYN | TcpPacketBuilder.ACK);
        writeControl(Side.CLIENT, TcpPacketBuilder.ACK);
    }

    /** Writes bytes sent by one side, split into segments. */
    void send(Side side, byte[] bytes) {
        for (int offset = 0; offset < bytes.length; offset += MAX_SEGMENT_BYTES) {
            int length = Math.min(MAX_SEGMENT_BYTES, bytes.length - offset);
            boolean isLast = offset + length == bytes.length;
            int flags = TcpPacketBuilder.ACK | (isLast ? TcpPacketBuilder.PUSH : 0);
            write(side, flags, bytes, offset, length);
        }
    }

    /** Writes the close of the connection. */
    void close() {
        writeControl(Side.CLIENT, TcpPacketBuilder.FIN | TcpPacketBuilder.ACK);
        writeControl(Side.SERVER, TcpPacketBuilder.FIN | TcpPacketBuilder.ACK);
        writeControl(Side.CLIENT, TcpPacketBuilder.ACK);
    }

    private void writeControl(Side side, int flags) {
        write(side, flags, NO_BYTES, 0, 0);
    }

    private void write(Side side, int flags, byte[] bytes, int offset, int length) {
        Sender sender = side == Side.CLIENT ? client : server;
        Sender receiver = side == Side.CLIENT ? server : client;
        int acknowledgmentNumber = (flags & TcpPacketBuilder.ACK) != 0 ? receiver.nextSequenceNumber : 0;
        byte[] packet = sender.packetBuilder.build(
                flags, sender.nextSequenceNumber, acknowledgmentNumber, bytes, offset, length);
        boolean consumesSequenceNumber = (flags & (TcpPacketBuilder.SYN | TcpPacketBuilder.FIN)) != 0;
        sender.nextSequenceNumber += length + (consumesSequenceNumber ? 1 : 0);
        file.writePacket(packet);
    }
}
