package nettlewick.pcap;

import io.pkts.frame.PcapGlobalHeader;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.net.SocketAddress;
import java.io.BufferedOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.UnknownHostException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.IdentityHashMap;
import java.util.Map;
import nettlewick.core.Clock;
import nettlewick.log.ComponentLogger;
import nettlewick.net.client.TrafficListener;

/**
 * Writes the traffic that a front serves as a classic capture file of raw IP packets. The packets are made
 * from the requests and answers, not taken off the wire: each connection opens, carries both sides' bytes in
 * order and closes, with right sums, so that any reader of captures can follow it.
 */
public final class CaptureWriter implements TrafficListener, Closeable {
    private static final ComponentLogger LOG = ComponentLogger.of("capture");
    private static final int LINK_RAW = 101;
    private static final int MAX_PACKET_BYTES = 65_535;
    private static final int SEGMENT_BYTES = 1400;
    private static final int FIN = 1;
    private static final int SYN = 2;
    private static final int PUSH = 8;
    private static final int ACK = 16;
    private static final int INITIAL_SEQUENCE = 1000;

    private final OutputStream out;
    private final Clock clock;
    private long remainingBytes;
    private boolean stopped;
    private final Map<HttpConnection, RecordedConnection> connections = new IdentityHashMap<>();

    /** {@code most} bounds the file in bytes: where files count as memory, it must not grow for ever. */
    public CaptureWriter(OutputStream to, Clock clock, long most) throws IOException {
        out = new BufferedOutputStream(to, 1 << 14);
        this.clock = clock;
        remainingBytes = most - PcapGlobalHeader.SIZE;
        // The library writes the magic number itself.
        ByteBuffer header = ByteBuffer.allocate(PcapGlobalHeader.SIZE - 4).order(ByteOrder.BIG_ENDIAN);
        header.putShort((short) 2)
                .putShort((short) 4)
                .putInt(0)
                .putInt(0)
                .putInt(MAX_PACKET_BYTES)
                .putInt(LINK_RAW);
        new PcapGlobalHeader(ByteOrder.BIG_ENDIAN, header.array()).write(out);
        out.flush();
    }

    /** A connection as the file shows it: both ends and how far each side's bytes have come. */
    private final class RecordedConnection {
        private final byte[][] hosts;
        private final int[] ports;
        private final int[] seq = {INITIAL_SEQUENCE, INITIAL_SEQUENCE};

        RecordedConnection(SocketAddress client, SocketAddress server) throws UnknownHostException {
            hosts = new byte[][] {
                InetAddress.getByName(client.hostAddress()).getAddress(),
                InetAddress.getByName(server.hostAddress()).getAddress()
            };
            ports = new int[] {client.port(), server.port()};
            packet(0, SYN, new byte[0], 0, 0);
            packet(1, SYN | ACK, new byte[0], 0, 0);
            packet(0, ACK, new byte[0], 0, 0);
        }

        void send(int side, byte[] bytes) {
            for (int at = 0; at < bytes.length; at += SEGMENT_BYTES) {
                int length = Math.min(SEGMENT_BYTES, bytes.length - at);
                packet(side, ACK | (at + length == bytes.length ? PUSH : 0), bytes, at, length);
            }
        }

        void close() {
            packet(0, FIN | ACK, new byte[0], 0, 0);
            packet(1, FIN | ACK, new byte[0], 0, 0);
            packet(0, ACK, new byte[0], 0, 0);
        }

        private void packet(int side, int flags, byte[] bytes, int at, int length) {
            byte[] from = hosts[side];
            byte[] to = hosts[1 - side];
            boolean four = from.length == 4;
            int head = four ? 20 : 40;
            ByteBuffer p = ByteBuffer.allocate(head + 20 + length);
            if (four) {
                p.putInt(0x45000000 | p.capacity())
                        .putInt(0x4000)
                        .put((byte) 64)
                        .put((byte) 6)
                        .putShort((short) 0)
                        .put(from)
                        .put(to);
                p.putShort(10, checksum(0, p.array(), 0, head));
            } else {
                p.putInt(0x60000000)
                        .putShort((short) (20 + length))
                        .put((byte) 6)
                        .put((byte) 64)
                        .put(from)
                        .put(to);
            }
            p.putShort((short) ports[side])
                    .putShort((short) ports[1 - side])
                    .putInt(seq[side])
                    .putInt((flags & ACK) != 0 ? seq[1 - side] : 0)
                    .put((byte) 0x50)
                    .put((byte) flags)
                    .putShort((short) MAX_PACKET_BYTES)
                    .putInt(0)
                    .put(bytes, at, length);
            // The sum of TCP counts the addresses, the protocol and the length before the segment itself.
            int pseudo = 6 + 20 + length;
            for (byte[] address : new byte[][] {from, to}) {
                for (int i = 0; i < address.length; i += 2) {
                    pseudo += (address[i] & 0xff) << 8 | address[i + 1] & 0xff;
                }
            }
            p.putShort(head + 16, checksum(pseudo, p.array(), head, p.capacity()));
            seq[side] += length + ((flags & (SYN | FIN)) != 0 ? 1 : 0);
            writePacket(p.array());
        }
    }

    private static short checksum(int start, byte[] bytes, int from, int to) {
        long sum = start;
        for (int i = from; i < to; i += 2) {
            sum += (bytes[i] & 0xff) << 8 | (i + 1 < to ? bytes[i + 1] & 0xff : 0);
        }
        while (sum >> 16 != 0) {
            sum = (sum & 0xffff) + (sum >> 16);
        }
        return (short) ~sum;
    }

    private void writePacket(byte[] packet) {
        if (stopped) {
            return;
        }
        remainingBytes -= packet.length + 16;
        if (remainingBytes < 0) {
            stopped = true;
            LOG.warning("capture-full", "capture file is full; no more is written to it");
            return;
        }
        double now = clock.now();
        ByteBuffer record = ByteBuffer.allocate(16).order(ByteOrder.BIG_ENDIAN);
        record.putInt((int) (now / 1000))
                .putInt((int) (now % 1000 * 1000))
                .putInt(packet.length)
                .putInt(packet.length);
        try {
            out.write(record.array());
            out.write(packet);
            out.flush();
        } catch (IOException e) {
            stopped = true;
            LOG.warning("capture-failed", "capture file cannot be written: " + e.getMessage());
        }
    }

    private RecordedConnection connectionOf(HttpConnection connection) {
        return connections.computeIfAbsent(connection, c -> {
            try {
                return new RecordedConnection(c.remoteAddress(), c.localAddress());
            } catch (UnknownHostException e) {
                throw new IllegalStateException(e);
            }
        });
    }

    @Override
    public void request(HttpServerRequest request, Buffer body) {
        StringBuilder head = new StringBuilder(request.method().name())
                .append(' ')
                .append(request.uri())
                .append(" HTTP/1.1\r\n");
        boolean[] chunked = {false};
        request.headers().forEach((name, value) -> {
            if (name.equalsIgnoreCase("Transfer-Encoding")) {
                chunked[0] = true;
            } else {
                head.append(name).append(": ").append(value).append("\r\n");
            }
        });
        head.append(chunked[0] ? "Content-Length: " + body.length() + "\r\n\r\n" : "\r\n");
        connectionOf(request.connection()).send(0, bytes(head, body));
    }

    @Override
    public void answer(HttpServerRequest request, HttpServerResponse response, Buffer body) {
        StringBuilder head = new StringBuilder("HTTP/1.1 ")
                .append(response.getStatusCode())
                .append(' ')
                .append(response.getStatusMessage())
                .append("\r\n");
        response.headers()
                .forEach((name, value) ->
                        head.append(name).append(": ").append(value).append("\r\n"));
        head.append("Content-Length: ").append(body.length()).append("\r\n\r\n");
        connectionOf(request.connection()).send(1, bytes(head, body));
    }

    @Override
    public void closed(HttpConnection connection) {
        RecordedConnection c = connections.remove(connection);
        if (c != null) {
            c.close();
        }
    }

    private static byte[] bytes(StringBuilder head, Buffer body) {
        byte[] text = head.toString().getBytes(StandardCharsets.ISO_8859_1);
        return Buffer.buffer(text).appendBuffer(body).getBytes();
    }

    @Override
    public void close() throws IOException {
        out.close();
    }
}
