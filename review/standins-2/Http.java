import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** The little of HTTP/1.1 that the stand-ins need, on blocking sockets. */
final class Http {
    private Http() {}

    /** A request or an answer: its first line, its headers with names in lower case, and its body. */
    static final class Message {
        String first;
        final Map<String, String> headers = new LinkedHashMap<>();
        byte[] body = new byte[0];

        String header(String name) {
            return headers.get(name.toLowerCase(Locale.ROOT));
        }

        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }

        String path() {
            return first.split(" ")[1];
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    static Socket connect(int port) throws IOException {
        Socket socket = new Socket();
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress("127.0.0.1", port), 2000);
        return socket;
    }

    /** Reads a line without its end; null at the end of the stream. */
    static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int b = in.read(); ; b = in.read()) {
            if (b < 0) {
                if (line.size() == 0) {
                    return null;
                }
                throw new EOFException("a line that does not end");
            }
            if (b == '\n') {
                String text = line.toString(StandardCharsets.ISO_8859_1);
                return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
            }
            line.write(b);
        }
    }

    /** Reads first line and headers; null at the end of the stream. */
    static Message head(InputStream in) throws IOException {
        Message message = new Message();
        message.first = line(in);
        if (message.first == null) {
            return null;
        }
        for (String header = line(in); header != null && !header.isEmpty(); header = line(in)) {
            int colon = header.indexOf(':');
            message.headers.put(
                    header.substring(0, colon).toLowerCase(Locale.ROOT),
                    header.substring(colon + 1).strip());
        }
        return message;
    }

    /** Reads a whole message; null at the end of the stream. */
    static Message read(InputStream in) throws IOException {
        Message message = head(in);
        if (message == null) {
            return null;
        }
        if ("chunked".equalsIgnoreCase(message.header("Transfer-Encoding"))) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            while (true) {
                int size = Integer.parseInt(line(in).split(";")[0].strip(), 16);
                body.write(in.readNBytes(size));
                line(in);
                if (size == 0) {
                    break;
                }
            }
            message.body = body.toByteArray();
        } else if (message.header("Content-Length") != null) {
            int length = Integer.parseInt(message.header("Content-Length"));
            message.body = in.readNBytes(length);
            if (message.body.length < length) {
                throw new EOFException("a body that does not end");
            }
        }
        return message;
    }

    /** A job as the protocol page has it. */
    static byte[] job(String id, String requestClass, String tenant, double deadlineSeconds, String more, byte[] body) {
        byte[] head = ("POST /api/run HTTP/1.1\r\nHost: backend.local\r\nX-Request-Id: " + id + "\r\nX-Class: "
                        + requestClass + "\r\nX-Tenant: " + tenant + "\r\nX-Deadline: "
                        + String.format(Locale.ROOT, "%.3f", deadlineSeconds) + "\r\nX-Extras: needs=1,mem=0.5\r\n" + more
                        + "Content-Length: " + body.length + "\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = new byte[head.length + body.length];
        System.arraycopy(head, 0, all, 0, head.length);
        System.arraycopy(body, 0, all, head.length, body.length);
        return all;
    }

    /** Sends bytes on a connection of their own and waits for the answer; null if none came in that time. */
    static Message exchange(int port, byte[] request, int timeoutMillis) {
        try (Socket socket = connect(port)) {
            socket.setSoTimeout(timeoutMillis);
            socket.getOutputStream().write(request);
            socket.getOutputStream().flush();
            return read(new BufferedInputStream(socket.getInputStream()));
        } catch (IOException e) {
            return null;
        }
    }
}
