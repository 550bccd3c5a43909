package nettlewick.net;

import io.vertx.core.buffer.Buffer;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A client on a plain socket, which reads responses one by one. */
public final class RawClient implements AutoCloseable {
    private static final Pattern LENGTH = Pattern.compile("(?i)content-length: (\\d+)");

    /** A complete response. */
    public record Response(int status, String head, String body) {
        public boolean closesConnection() {
            return head.toLowerCase(java.util.Locale.ROOT).contains("connection: close");
        }
    }

    private final Socket socket;
    private final InputStream in;

    public RawClient(int port) throws IOException {
        socket = new Socket("127.0.0.1", port);
        socket.setTcpNoDelay(true);
        in = new BufferedInputStream(socket.getInputStream());
    }

    public RawClient send(Buffer... requests) throws IOException {
        Buffer all = Buffer.buffer();
        for (Buffer request : requests) {
            all.appendBuffer(request);
        }
        return send(all.toString(StandardCharsets.ISO_8859_1));
    }

    public RawClient send(String bytes) throws IOException {
        socket.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
        return this;
    }

    /** Reads the next response; null if the connection was closed before it. A reset is an exception. */
    public Response read() throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int b = in.read();
            if (b < 0) {
                if (head.length() > 0) {
                    throw new IOException("cut off: " + head);
                }
                return null;
            }
            head.append((char) b);
        }
        Matcher length = LENGTH.matcher(head);
        byte[] body = in.readNBytes(length.find() ? Integer.parseInt(length.group(1)) : 0);
        return new Response(
                Integer.parseInt(head.substring(9, 12)), head.toString(), new String(body, StandardCharsets.UTF_8));
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
