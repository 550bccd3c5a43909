import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * On the second front, bad clients send other jobs under the id of another client's open request. They are owed an
 * error or a close; the client of the open request is owed its one final event.
 */
final class StreamForeign {
    private static final int VICTIMS = 5;
    private static final int BAD_EACH = 5;
    private static final int RUN_MILLIS = 2000;

    public static void main(String[] args) throws Exception {
        Play.run(args, play -> {
            Runner runner = play.keep(new Runner("s-00000001", play.record));
            runner.behave(job -> job.done(RUN_MILLIS, "marks of " + job.request.text()));
            Discovery discovery = play.discovery("posta", runner);
            int edge = Http.freePort();
            Path settings = play.folder.resolve("edge.conf");
            Files.writeString(settings, "edge {\n    listen 127.0.0.1:" + edge + "\n    retry 1s\n    heartbeat 5s\n}\n");
            play.keep(Dispatcher.start(play.folder, discovery, 1024, 192, new Settings(), " --settings " + settings));
            AtomicInteger broken = new AtomicInteger();
            Thread[] victims = new Thread[VICTIMS];
            for (int v = 0; v < VICTIMS; v++) {
                String id = String.format("%016x", 0x6000 + v);
                victims[v] = new Thread(() -> {
                    String got = stream(edge, id, "user=7f3a9c21e0b4d655", "pupil-" + id, 5000);
                    play.record.line("the client of " + id + " read: " + got);
                    if (!got.contains("event: result") || !got.contains("pupil-" + id)) {
                        broken.incrementAndGet();
                        play.record.line("broken: the client of " + id + " got no final event of its job");
                    }
                });
                victims[v].start();
                Thread.sleep(300);
                if (play.trouble) {
                    for (int b = 0; b < BAD_EACH; b++) {
                        String body = "bad-" + b + "-" + id;
                        Thread bad = new Thread(() -> {
                            String got = stream(edge, id, "user=0000000000000bad", body, 3000);
                            play.record.line("the bad client " + body + " read: " + got);
                            if (got.contains("event: result")) {
                                broken.incrementAndGet();
                                play.record.line("broken: " + body + " was served with the result of another job");
                            }
                        });
                        bad.setDaemon(true);
                        bad.start();
                        Thread.sleep(20);
                    }
                }
                victims[v].join();
                Thread.sleep(300);
            }
            return broken.get() == 0;
        });
    }

    /** Sends a job to the second front and returns what came until the end of the answer, on one line. */
    private static String stream(int port, String id, String cookie, String body, int millis) {
        StringBuilder got = new StringBuilder();
        try (Socket socket = Http.connect(port)) {
            socket.getOutputStream()
                    .write(Http.job(
                            id,
                            "mark-submit",
                            "college-nord",
                            5,
                            "Cookie: " + cookie + "\r\n",
                            body.getBytes(StandardCharsets.UTF_8)));
            socket.getOutputStream().flush();
            InputStream in = new BufferedInputStream(socket.getInputStream());
            long end = System.nanoTime() + millis * 1_000_000L;
            while (System.nanoTime() < end) {
                socket.setSoTimeout((int) Math.max(1, (end - System.nanoTime()) / 1_000_000));
                int b = in.read();
                if (b < 0) {
                    got.append("[closed]");
                    break;
                }
                got.append((char) b);
                if (got.toString().endsWith("0\r\n\r\n")) {
                    break;
                }
            }
        } catch (SocketTimeoutException e) {
            got.append("[nothing more]");
        } catch (IOException e) {
            got.append("[").append(e.getMessage()).append("]");
        }
        return got.toString().replaceAll("[\\r\\n]+", " | ");
    }
}
