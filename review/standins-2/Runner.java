import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/** A sim runner as the protocol page has it; a behaviour says how it serves a job. */
final class Runner implements AutoCloseable {
    /** Serves one job that has come whole. */
    interface Behaviour {
        void serve(Job job) throws Exception;
    }

    private final String name;
    private final Record record;
    private final ServerSocket listener;
    private final List<Socket> open = new CopyOnWriteArrayList<>();
    private final AtomicInteger inWork = new AtomicInteger();
    private volatile Behaviour behaviour = job -> job.done(20, "result of " + job.id);
    private volatile int slots = 8;

    /** A job that has come whole, and the connection that it came on. */
    final class Job {
        final String id;
        final Http.Message request;
        final Socket socket;
        final OutputStream out;

        Job(Http.Message request, Socket socket) throws IOException {
            this.request = request;
            this.socket = socket;
            id = request.header("X-Request-Id");
            out = socket.getOutputStream();
        }

        String runner() {
            return name;
        }

        /** The head of the answer: the job is taken. */
        void take() throws IOException {
            out.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            out.flush();
        }

        void chunk(byte[] bytes) throws IOException {
            out.write((Integer.toHexString(bytes.length) + "\r\n").getBytes(StandardCharsets.US_ASCII));
            out.write(bytes);
            out.write("\r\n".getBytes(StandardCharsets.US_ASCII));
            out.flush();
        }

        void say(String state, String more) throws IOException {
            chunk(("{\"id\":\"" + id + "\",\"from\":\"" + name + "\",\"state\":\"" + state + "\"" + more + "}\n")
                    .getBytes(StandardCharsets.UTF_8));
        }

        void end() throws IOException {
            out.write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            out.flush();
        }

        /** Serves the job soundly. */
        void done(long millis, String result) throws Exception {
            take();
            say("started", "");
            Thread.sleep(millis);
            say("done", ",\"result\":\"" + result + "\"");
            end();
        }
    }

    Runner(String name, Record record) throws IOException {
        this.name = name;
        this.record = record;
        listener = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
        Thread acceptor = new Thread(this::accept, name);
        acceptor.setDaemon(true);
        acceptor.start();
    }

    String name() {
        return name;
    }

    int port() {
        return listener.getLocalPort();
    }

    void behave(Behaviour next) {
        behaviour = next;
    }

    void slots(int next) {
        slots = next;
    }

    /** Its entry in discovery's list. */
    String entry(String zone, String kind, String health) {
        return "{\"host\":\"" + name + "\",\"dial\":\"127.0.0.1:" + port() + "\",\"site\":\"" + zone + "\",\"class\":\""
                + kind + "\",\"block\":0,\"health\":\"" + health + "\",\"share\":1.0,\"born_ms\":0}";
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket socket = listener.accept();
                open.add(socket);
                Thread thread = new Thread(() -> serve(socket), name + "-connection");
                thread.setDaemon(true);
                thread.start();
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            for (Http.Message request = Http.read(in); request != null; request = Http.read(in)) {
                if (request.path().equals("/_load") || request.path().equals("/ping")) {
                    int held = inWork.get();
                    String load = "depth=0,concurrent=" + held + ",x0=" + Math.max(0, slots - held) + ",x1="
                            + Math.max(0, slots - held);
                    socket.getOutputStream()
                            .write(("HTTP/1.1 200 OK\r\nContent-Length: " + load.length() + "\r\n\r\n" + load)
                                    .getBytes(StandardCharsets.US_ASCII));
                    continue;
                }
                if (record != null) {
                    record.line(name + " got " + request.header("X-Request-Id") + " " + request.header("X-Class"));
                }
                inWork.incrementAndGet();
                try {
                    behaviour.serve(new Job(request, socket));
                } finally {
                    inWork.decrementAndGet();
                }
            }
        } catch (Exception e) {
            // The dispatcher has ended the connection.
        } finally {
            open.remove(socket);
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (Socket socket : open) {
            socket.close();
        }
    }
}
