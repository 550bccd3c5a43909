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
 * A sim runner on a plain socket, for crossings that a library would not let happen: it accepts only once it is
 * let, and answers what a script says.
 */
final class RawEndpoint implements AutoCloseable {
    /** A request as it came. */
    record Seen(int connection, String id, String head) {
        /** A header's value, or null. */
        String header(String name) {
            for (String line : head.split("\r\n")) {
                if (line.toLowerCase(Locale.ROOT).startsWith(name.toLowerCase(Locale.ROOT) + ": ")) {
                    return line.substring(name.length() + 2);
                }
            }
            return null;
        }
    }

    /** What to do with a request; may write to the socket or close it. */
    interface Script {
        void handle(Seen request, Socket socket) throws IOException;
    }

    /** Connections held in the listener's queue until the kernel drops the next handshake. */
    private static final int BACKLOG = 1;

    final List<Seen> seen = new CopyOnWriteArrayList<>();
    final List<Socket> accepted = new CopyOnWriteArrayList<>();
    volatile Script script = (request, socket) -> write(socket, served(request.id()));
    private final ServerSocket listener;
    private final List<Socket> fillers = new ArrayList<>();
    private final CountDownLatch opened = new CountDownLatch(1);

    RawEndpoint() throws IOException {
        listener = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
        Thread thread = new Thread(this::accept, "raw-runner");
        thread.setDaemon(true);
        thread.start();
    }

    int port() {
        return listener.getLocalPort();
    }

    /** From now on no connection comes up: the queue is full until {@link #open}. */
    RawEndpoint fillAcceptQueue() throws IOException {
        for (int i = 0; i <= BACKLOG; i++) {
            fillers.add(new Socket(listener.getInetAddress(), port()));
        }
        return this;
    }

    /** Accepts all that waits and comes. */
    RawEndpoint open() {
        opened.countDown();
        return this;
    }

    private void accept() {
        try {
            opened.await();
            while (true) {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                if (fillers.stream().noneMatch(f -> f.getLocalPort() == socket.getPort())) {
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
                Seen plain = new Seen(number, null, head.toString());
                String length = plain.header("content-length");
                in.readNBytes(length == null ? 0 : Integer.parseInt(length));
                Seen request = new Seen(number, plain.header("x-request-id"), plain.head());
                if (request.id() == null) {
                    write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 25\r\n\r\ndepth=0,concurrent=0,x0=4");
                } else {
                    seen.add(request);
                    script.handle(request, socket);
                }
            }
        } catch (IOException e) {
            // The other side has gone.
        }
    }

    static void write(Socket socket, String text) throws IOException {
        OutputStream out = socket.getOutputStream();
        out.write(text.getBytes(StandardCharsets.UTF_8));
        out.flush();
    }

    /** An answer with its one last line, for the request of that id. */
    static String served(String id) {
        return answer("{\"id\":\"" + id + "\",\"from\":\"raw\",\"state\":\"done\",\"result\":\"r-" + id + "\"}\n");
    }

    /** A chunked answer of one chunk. */
    static String answer(String lines) {
        return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(lines.length()) + "\r\n"
                + lines + "\r\n0\r\n\r\n";
    }

    List<String> ids() {
        return seen.stream().map(Seen::id).toList();
    }

    @Override
    public void close() throws IOException {
        opened.countDown();
        listener.close();
        for (Socket socket : fillers) {
            socket.close();
        }
        for (Socket socket : accepted) {
            socket.close();
        }
    }
}
