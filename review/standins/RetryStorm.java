import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Pattern;

/**
 * A dispatcher with the class of {@code dar-members} that clients wait for longest, two usual clients, and twenty
 * clients that send their request again as soon as it is turned away.
 */
final class RetryStorm {
    private static final int USUAL_CLIENTS = 2;
    private static final int USUAL_REQUESTS = 30;
    private static final int BAD_CLIENTS = 20;
    private static final int BODY_BYTES = 8 * 1024;
    /** Give-up times of two classes of dar-members. */
    private static final double STATEMENT_SECONDS = 10;

    private static final double REBUILD_SECONDS = 25;
    /** A final answer counts for half a second after the client's time; later, the request is lost. */
    private static final double LATE_SECONDS = 0.5;

    private static final long PAUSE_MILLIS = 400;
    /** After this the usual clients begin nothing more. */
    private static final double LONGEST_SECONDS = 45;

    private final Kit.Bench bench;
    private final AtomicBoolean stop = new AtomicBoolean();
    private final AtomicLong again = new AtomicLong();
    private final AtomicInteger lost = new AtomicInteger();
    /** Reset connections; their requests may be unread, so they are not counted as lost. */
    private final AtomicInteger reset = new AtomicInteger();
    private final AtomicInteger answered = new AtomicInteger();
    private final AtomicInteger notTaken = new AtomicInteger();
    private int port;

    private RetryStorm(Kit.Bench bench) {
        this.bench = bench;
    }

    public static void main(String[] args) {
        Kit.run(Path.of(args[0]), Path.of(args[1]), bench -> new RetryStorm(bench).play());
    }

    private int play() throws Exception {
        List<String> hosts = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            Runner runner = new Runner(bench, "box-" + i, 4, 8, false, job -> 800);
            hosts.add(Kit.host(runner.name, runner.port));
        }
        port = Kit.freePort();
        String config = Kit.config(
                port,
                new Kit.Discovery(hosts),
                List.of(
                        Kit.classOf("statement", "retryable", (long) (STATEMENT_SECONDS * 1000)),
                        Kit.classOf("roll-rebuild", "retryable", (long) (REBUILD_SECONDS * 1000))),
                false);
        Kit.Dispatcher dispatcher = new Kit.Dispatcher(bench, "n0", port, config, "");
        dispatcher.awaitReady();
        if (Kit.trouble()) {
            bench.record(BAD_CLIENTS + " clients begin, each sends its request again as soon as it is turned away");
            for (int i = 0; i < BAD_CLIENTS; i++) {
                int client = i;
                Kit.daemon(() -> sendAgainAndAgain(client));
            }
        }
        List<Thread> usual = new ArrayList<>();
        for (int i = 0; i < USUAL_CLIENTS; i++) {
            int client = i;
            usual.add(Kit.daemon(() -> sendAsUsual(client, dispatcher)));
        }
        for (Thread thread : usual) {
            thread.join();
        }
        stop.set(true);
        boolean crashed = !dispatcher.process.isAlive();
        boolean hangs = !crashed && !answersHealth(dispatcher);
        bench.recordLog(dispatcher, Pattern.compile("OutOfMemory|SEVERE"), 6);
        bench.record("usual clients: " + answered + " requests answered, " + lost + " lost, " + reset + " reset, " + notTaken
                + " not taken; " + again + " requests turned away and sent again; the dispatcher "
                + (crashed ? "has ended" : hangs ? "lives and hangs" : "lives"));
        return crashed || hangs || lost.get() > 0 ? Kit.BROKEN : answered.get() > 0 ? Kit.HELD : Kit.COULD_NOT_RUN;
    }

    /** Whether the dispatcher answers its health check, some time after the last bad client has gone. */
    private boolean answersHealth(Kit.Dispatcher dispatcher) {
        try {
            dispatcher.awaitReady();
            return true;
        } catch (IOException e) {
            bench.record("no answer at /_health for 30 s after the bad clients have gone");
            return false;
        }
    }

    private void sendAsUsual(int client, Kit.Dispatcher dispatcher) {
        for (int i = 0; i < USUAL_REQUESTS && lost.get() + reset.get() < 3 && mayGoOn(dispatcher); i++) {
            send(String.format(Locale.ROOT, "aaaa%04x%08x", client, i));
            Kit.sleep(PAUSE_MILLIS);
        }
    }

    private boolean mayGoOn(Kit.Dispatcher dispatcher) {
        return dispatcher.process.isAlive() && bench.seconds() < LONGEST_SECONDS;
    }

    private void send(String id) {
        AtomicInteger counter = notTaken;
        long startedAt = System.nanoTime();
        String outcome;
        try (Socket socket = new Socket(Kit.HOST, port)) {
            socket.setSoTimeout((int) ((STATEMENT_SECONDS + LATE_SECONDS) * 1000));
            byte[] head = Kit.job(id, "statement", STATEMENT_SECONDS, 2, "").getBytes(StandardCharsets.US_ASCII);
            socket.getOutputStream().write(head);
            socket.getOutputStream().write(new byte[] {'{', '}'});
            counter = reset;
            Kit.Message answer = Kit.Message.read(new BufferedInputStream(socket.getInputStream()));
            counter = answer == null ? lost : answered;
            outcome = answer == null ? "LOST, closed without an answer" : answer.first();
        } catch (SocketTimeoutException e) {
            counter = lost;
            outcome = "LOST, no answer half a second past its time, connection open";
        } catch (IOException e) {
            outcome = e.getMessage();
        }
        counter.incrementAndGet();
        double seconds = (System.nanoTime() - startedAt) / 1e9;
        bench.record(String.format(Locale.ROOT, "request %s: %s after %.2f s", id, outcome, seconds));
    }

    private void sendAgainAndAgain(int client) {
        byte[] body = "x".repeat(BODY_BYTES).getBytes(StandardCharsets.US_ASCII);
        int number = 0;
        while (!stop.get()) {
            try (Socket socket = new Socket(Kit.HOST, port)) {
                socket.setTcpNoDelay(true);
                socket.setSoTimeout((int) ((REBUILD_SECONDS + LATE_SECONDS) * 1000));
                InputStream in = new BufferedInputStream(socket.getInputStream());
                for (Kit.Message answer = null; !stop.get(); ) {
                    String id = String.format(Locale.ROOT, "bb%06x%08x", client, number++);
                    String head = Kit.job(id, "roll-rebuild", REBUILD_SECONDS, BODY_BYTES, "");
                    socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
                    socket.getOutputStream().write(body);
                    answer = Kit.Message.read(in);
                    if (answer == null || "close".equalsIgnoreCase(answer.headers().get("connection"))) {
                        break;
                    }
                    if (answer.status() == 503 || answer.status() == 429) {
                        again.incrementAndGet();
                    }
                }
            } catch (IOException e) {
                Kit.sleep(100);
            }
        }
    }
}
