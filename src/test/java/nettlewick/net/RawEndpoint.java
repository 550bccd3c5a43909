package nettlewick.net;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;

/**
 * An endpoint on a plain socket, for races that an HTTP library would prevent: it accepts connections only when told
 * to, and responds as a script says.
 */
final class RawEndpoint implements AutoCloseable {
    /** A request as it was received. */
    record ReceivedRequest(int connection, String id, String head) {
        /** The value of a header, or null. */
        String header(String name) {
            for (String line : head.split("\r\n")) {
                if (line.toLowerCase(Locale.ROOT).startsWith(name.toLowerCase(Locale.ROOT) + ": ")) {
                    return line.substring(name.length() + 2);
                }
            }
            return null;
        }
    }

    /** Handles a request; may write to the socket or close it. */
    interface Script {
        void handle(ReceivedRequest request, Socket socket) throws IOException;
    }

    /** Backlog of the listener; when its queue is full, the kernel drops further handshakes. */
    private static final int BACKLOG = 1;

    final List<ReceivedRequest> received = new CopyOnWriteArrayList<>();
    final List<Socket> accepted = new CopyOnWriteArrayList<>();
    volatile Script script = (request, socket) -> write(socket, servedResponse(request.id()));
    private final ServerSocket listener;
    private final List<Socket> queuedConnections = new ArrayList<>();
    private final CountDownLatch acceptStarted = new CountDownLatch(1);

    RawEndpoint() throws IOException {
        listener = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
        Thread thread = new Thread(this::accept, "raw-runner");
        thread.setDaemon(true);
        thread.start();
    }

    int port() {
        return listener.getLocalPort();
    }

    /** Fills the accept queue: no connection is established until {@link #startAccepting}. */
    RawEndpoint fillAcceptQueue() throws IOException {
        for (int i = 0; i <= BACKLOG; i++) {
            queuedConnections.add(new Socket(listener.getInetAddress(), port()));
        }
        return this;
    }

    /** Accepts all waiting and future connections. */
    RawEndpoint startAccepting() {
        acceptStarted.countDown();
        return this;
    }

    private void accept() {
        try {
            acceptStarted.await();
            while (true) {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                if (queuedConnections.stream().noneMatch(f -> f.getLocalPort() == socket.getPort())) {
                    accepted.add(socket);
                }
                int number = accepted.size();
                Thread thread = new Thread(() -> read(socket, number), "raw-connection");
                thread.setDaemon(true);
                thread.start();
            }
        } catch (IOException | InterruptedException e) {
            // The test is over.
        }
    }

    private void read(Socket socket, int number) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            while (true) {
                StringBuilder head = new StringBuilder();
                while (head.indexOf("\r\n\r\n") < 0) {
                    int b = in.read();
                    if (b < 0) {
                        return;
                    }
                    head.append((char) b);
                }
                ReceivedRequest withoutId = new ReceivedRequest(number, null, head.toString());
                String length = withoutId.header("content-length");
                in.readNBytes(length == null ? 0 : Integer.parseInt(length));
                ReceivedRequest request =
                        new ReceivedRequest(number, withoutId.header("x-request-id"), withoutId.head());
                if (request.id() == null) {
                    write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 25\r\n\r\ndepth=0,concurrent=0,x0=4");
                } else {
                    received.add(request);
                    script.handle(request, socket);
                }
            }
        } catch (IOException e) {
            // The dispatcher has closed the connection.
        }
    }

    static void write(Socket socket, String text) throws IOException {
        OutputStream out = socket.getOutputStream();
        out.write(text.getBytes(StandardCharsets.UTF_8));
        out.flush();
    }

    /** A response with a single, final line for the request of this id. */
    static String servedResponse(String id) {
        return chunkedResponse(
                "{\"id\":\"" + id + "\",\"from\":\"raw\",\"state\":\"done\",\"result\":\"r-" + id + "\"}\n");
    }

    /** A response with one chunk. */
    static String chunkedResponse(String lines) {
        return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(lines.length()) + "\r\n"
                + lines + "\r\n0\r\n\r\n";
    }

    List<String> receivedIds() {
        return received.stream().map(ReceivedRequest::id).toList();
    }

    @Override
    public void close() throws IOException {
        acceptStarted.countDown();
        listener.close();
        for (Socket socket : queuedConnections) {
            socket.close();
        }
        for (Socket socket : accepted) {
            socket.close();
        }
    }
}
