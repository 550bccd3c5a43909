import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Discovery: answers each watch with the whole list, then with each change, and an empty line every 2 s. */
final class Discovery implements AutoCloseable {
    private final ServerSocket listener;
    private final List<OutputStream> watches = new ArrayList<>();
    private List<String> entries = List.of();
    private int seq = 1;

    Discovery() throws IOException {
        listener = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        thread(this::accept);
        thread(this::beat);
    }

    private static void thread(Runnable task) {
        Thread thread = new Thread(task, "discovery");
        thread.setDaemon(true);
        thread.start();
    }

    int port() {
        return listener.getLocalPort();
    }

    String list() {
        return "{\"seq\":" + seq + ",\"whole\":true,\"hosts\":[" + String.join(",", entries) + "]}";
    }

    /** Sets the whole list. */
    synchronized void set(List<String> next) {
        entries = List.copyOf(next);
        seq++;
        send(list() + "\n");
    }

    private synchronized void send(String text) {
        watches.removeIf(out -> {
            try {
                write(out, text);
                return false;
            } catch (IOException e) {
                return true;
            }
        });
    }

    private static void write(OutputStream out, String text) throws IOException {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        out.write((Integer.toHexString(bytes.length) + "\r\n" + text + "\r\n").getBytes(StandardCharsets.UTF_8));
        out.flush();
    }

    private void beat() {
        while (!listener.isClosed()) {
            try {
                Thread.sleep(2000);
            } catch (InterruptedException e) {
                return;
            }
            send("\n");
        }
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket socket = listener.accept();
                thread(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try {
            socket.setTcpNoDelay(true);
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            for (Http.Message request = Http.read(in); request != null; request = Http.read(in)) {
                OutputStream out = socket.getOutputStream();
                synchronized (this) {
                    if (request.path().contains("watch=1")) {
                        out.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                                .getBytes(StandardCharsets.US_ASCII));
                        write(out, list() + "\n");
                        watches.add(out);
                    } else {
                        byte[] body = list().getBytes(StandardCharsets.UTF_8);
                        out.write(("HTTP/1.1 200 OK\r\nContent-Length: " + body.length + "\r\n\r\n")
                                .getBytes(StandardCharsets.US_ASCII));
                        out.write(body);
                        out.flush();
                    }
                }
            }
        } catch (IOException e) {
            // The dispatcher has gone.
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
