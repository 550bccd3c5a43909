package nettlewick.golden;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** An HTTP server on a plain socket that records the bytes of every request and responds according to a script. */
final class RecordingServer implements AutoCloseable {
    /** Responds to a request; it may close the socket instead. */
    interface Script {
        void respond(String request, Socket socket) throws IOException;
    }

    private static final Pattern CONTENT_LENGTH = Pattern.compile("(?i)\r\ncontent-length: *(\\d+)");

    /** Requests in order of completion, decoded as one character per byte. */
    final List<String> requests = new CopyOnWriteArrayList<>();

    private final List<Socket> connections = new CopyOnWriteArrayList<>();
    private final ServerSocket listener = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
    private final Script script;

    RecordingServer(Script script) throws IOException {
        this.script = script;
        startDaemon(this::accept);
    }

    int port() {
        return listener.getLocalPort();
    }

    private static void startDaemon(Runnable task) {
        Thread thread = new Thread(task, "recording-server");
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = listener.accept();
                connections.add(socket);
                startDaemon(() -> readRequests(socket));
            }
        } catch (IOException e) {
            // The listener was closed at the end of the test.
        }
    }

    private void readRequests(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            while (true) {
                StringBuilder request = new StringBuilder();
                while (request.indexOf("\r\n\r\n") < 0) {
                    int b = in.read();
                    if (b < 0) {
                        return;
                    }
                    request.append((char) b);
                }
                Matcher length = CONTENT_LENGTH.matcher(request);
                if (length.find()) {
                    request.append(
                            new String(in.readNBytes(Integer.parseInt(length.group(1))), StandardCharsets.ISO_8859_1));
                }
                requests.add(request.toString());
                script.respond(request.toString(), socket);
            }
        } catch (IOException e) {
            // The dispatcher closed the connection.
        }
    }

    static void write(Socket socket, String text) throws IOException {
        OutputStream out = socket.getOutputStream();
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (Socket socket : connections) {
            socket.close();
        }
    }
}
