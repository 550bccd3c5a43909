package nettlewick.pcap;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.io.Closeable;
import java.io.IOException;
import java.io.OutputStream;
import java.net.UnknownHostException;
import java.nio.charset.StandardCharsets;
import java.util.IdentityHashMap;
import java.util.Map;
import nettlewick.core.Clock;
import nettlewick.net.client.TrafficListener;
import nettlewick.pcap.RecordedConnection.Side;

/**
 * Writes the traffic of a frontend to a pcap file of raw IP packets. The packets are synthesized from the requests and
 * responses rather than captured on the network, so that any pcap reader can process the file. Confined to the event
 * loop.
 */
public final class CaptureWriter implements TrafficListener, Closeable {
    private static final String LINE_END = "\r\n";

    private final CaptureFileWriter file;
    private final Map<HttpConnection, RecordedConnection> connections = new IdentityHashMap<>();

    /**
     * Writes the file header immediately.
     *
     * @param target   the output; closed together with the writer
     * @param maxBytes the maximum size of the file; packets beyond it are dropped
     */
    public CaptureWriter(OutputStream target, Clock clock, long maxBytes) throws IOException {
        file = new CaptureFileWriter(target, clock, maxBytes);
    }

    @Override
    public void requestReceived(HttpServerRequest request, Buffer body) {
        StringBuilder head = new StringBuilder(request.method().name())
                .append(' ')
                .append(request.uri())
                .append(" HTTP/1.1")
                .append(LINE_END);
        boolean[] isChunked = {false};
        request.headers().forEach((name, value) -> {
            if (name.equalsIgnoreCase("Transfer-Encoding")) {
                isChunked[0] = true;
            } else {
                appendHeader(head, name, value);
            }
        });
        if (isChunked[0]) {
            appendContentLength(head, body);
        }
        head.append(LINE_END);
        connectionOf(request).send(Side.CLIENT, toBytes(head, body));
    }

    @Override
    public void responseStarting(HttpServerRequest request, HttpServerResponse response, Buffer body) {
        StringBuilder head = new StringBuilder("HTTP/1.1 ")
                .append(response.getStatusCode())
                .append(' ')
                .append(response.getStatusMessage())
                .append(LINE_END);
        response.headers().forEach((name, value) -> appendHeader(head, name, value));
        appendContentLength(head, body);
        head.append(LINE_END);
        connectionOf(request).send(Side.SERVER, toBytes(head, body));
    }

    private static void appendContentLength(StringBuilder head, Buffer body) {
        appendHeader(head, "Content-Length", Integer.toString(body.length()));
    }

    private static void appendHeader(StringBuilder head, String name, String value) {
        head.append(name).append(": ").append(value).append(LINE_END);
    }

    private static byte[] toBytes(StringBuilder head, Buffer body) {
        byte[] headBytes = head.toString().getBytes(StandardCharsets.ISO_8859_1);
        return Buffer.buffer(headBytes).appendBuffer(body).getBytes();
    }

    private RecordedConnection connectionOf(HttpServerRequest request) {
        return connections.computeIfAbsent(request.connection(), connection -> {
            try {
                return new RecordedConnection(file, connection.remoteAddress(), connection.localAddress());
            } catch (UnknownHostException e) {
                throw new IllegalStateException("a connection's address is not numeric", e);
            }
        });
    }

    @Override
    public void connectionClosed(HttpConnection connection) {
        RecordedConnection recorded = connections.remove(connection);
        if (recorded != null) {
            recorded.close();
        }
    }

    @Override
    public void close() throws IOException {
        file.close();
    }
}
