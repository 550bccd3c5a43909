import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** A client's connection to the event-stream front: hands in a job by POST and reads the events of the answer. */
final class Stream implements AutoCloseable {
    private final Socket socket;
    private final Kit.Bench bench;
    private final String label;
    private final List<String> events = new ArrayList<>();
    private final CountDownLatch over = new CountDownLatch(1);
    private volatile String status;
    private volatile String lastEventId;
    private volatile String finalEvent;
    private volatile boolean left;

    /** Sends a request and begins to read its answer. */
    Stream(Kit.Bench bench, String label, int port, String request) throws IOException {
        this.bench = bench;
        this.label = label;
        socket = new Socket(Kit.HOST, port);
        socket.setTcpNoDelay(true);
        socket.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
        Kit.daemon(this::read);
    }

    private void read() {
        try {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            status = Kit.Message.line(in);
            bench.record(label + ": " + status);
            String event = "message";
            // Chunk sizes and comments are lines without a field name, so the lines of the events can be read as such.
            for (String line = Kit.Message.line(in); line != null; line = Kit.Message.line(in)) {
                if (line.startsWith("id: ")) {
                    lastEventId = line.substring(4);
                } else if (line.startsWith("event: ")) {
                    event = line.substring(7);
                } else if (line.startsWith("data: ")) {
                    String text = event + " " + line.substring(6);
                    bench.record(label + ": event " + lastEventId + ": " + text);
                    synchronized (events) {
                        events.add(text);
                    }
                    if (!event.equals("progress")) {
                        finalEvent = text;
                        over.countDown();
                    }
                } else if (line.equals("0")) {
                    break;
                }
            }
        } catch (SocketTimeoutException e) {
            bench.record(label + ": nothing more came");
        } catch (IOException e) {
            if (!left) {
                bench.record(label + ": " + e);
            }
        } finally {
            over.countDown();
        }
    }

    /** Waits for the final event or the end of the connection; returns the final event, or null. */
    String awaitFinal(long millis) throws InterruptedException {
        over.await(millis, TimeUnit.MILLISECONDS);
        return finalEvent;
    }

    /** The status line of the answer; null before it. */
    String status() {
        return status;
    }

    /** The id of the last event that was read; null before the first. */
    String lastEventId() {
        return lastEventId;
    }

    @Override
    public void close() {
        left = true;
        try {
            socket.close();
        } catch (IOException e) {
            // Closed all the same.
        }
    }
}
