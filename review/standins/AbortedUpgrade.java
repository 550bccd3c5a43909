import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Pattern;

/**
 * A dispatcher serves jobs, one of them long. A new version is started beside it and is killed before it takes clients;
 * the old process goes on alone. Without the disruption the new version takes over and the old one is told to end.
 */
final class AbortedUpgrade {
    private static final double STATEMENT_SECONDS = 10;
    private static final double TRANSFER_SECONDS = 25;
    private static final long STATEMENT_RUN_MILLIS = 700;
    private static final long TRANSFER_RUN_MILLIS = 6000;
    /** When the new process is killed, counted from its start; it takes clients 4.5 s after its start at the latest. */
    private static final long KILL_AFTER_MILLIS = 1500;
    /** From then on nothing may be held: 4.5 s after the start of the new process, and a second. */
    private static final long HOLD_END_MILLIS = 5500;
    /** SIGKILL comes no sooner than this after SIGTERM. */
    private static final long TERM_TO_KILL_MILLIS = 3700;

    private static final int TRANSFERS = 5;
    private static final int JOBS = 24;
    private static final long PAUSE_MILLIS = 500;
    /** A job that waits for so long on an idle fleet is held. */
    private static final double HELD_SECONDS = 4;

    private final Kit.Bench bench;
    private final AtomicInteger held = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();
    private Runner runner;
    private int port;

    private AbortedUpgrade(Kit.Bench bench) {
        this.bench = bench;
    }

    public static void main(String[] args) {
        Kit.run(Path.of(args[0]), Path.of(args[1]), bench -> new AbortedUpgrade(bench).play());
    }

    private int play() throws Exception {
        runner = new Runner(
                bench,
                "box-1",
                8,
                16,
                true,
                job -> job.text().contains("long") ? TRANSFER_RUN_MILLIS : STATEMENT_RUN_MILLIS);
        port = Kit.freePort();
        String config = Kit.config(
                port,
                new Kit.Discovery(List.of(Kit.host(runner.name, runner.port))),
                List.of(
                        Kit.classOf("statement", "retryable", (long) (STATEMENT_SECONDS * 1000)),
                        Kit.classOf("transfer", "fragile", (long) (TRANSFER_SECONDS * 1000))),
                false);
        Kit.Dispatcher old = start("old", config);
        old.awaitReady();
        for (int i = 0; i < 3; i++) {
            send("aaaa" + String.format(Locale.ROOT, "%012x", i), "statement", STATEMENT_SECONDS, "{}", 700_000);
        }
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < TRANSFERS; i++) {
            String id = "cccc" + String.format(Locale.ROOT, "%012x", i);
            clients.add(Kit.daemon(() -> send(id, "transfer", TRANSFER_SECONDS, "long", 6_000_000)));
            Kit.sleep(PAUSE_MILLIS);
        }
        long startedAt = System.nanoTime();
        Kit.Dispatcher next = start("new", config);
        if (Kit.trouble()) {
            Kit.sleep(KILL_AFTER_MILLIS);
            bench.record("the new process is killed; the old one goes on alone");
            next.kill();
        } else {
            awaitServing(next, startedAt);
            bench.record("the new process takes clients; the old one is told to end");
            Kit.daemon(() -> terminate(old));
        }
        Kit.sleep(HOLD_END_MILLIS - (System.nanoTime() - startedAt) / Kit.MS);
        bench.record("from now on no job may be held; " + served + " jobs served so far");
        int before = served.get();
        held.set(0);
        for (int i = 0; i < JOBS; i++) {
            String id = "bbbb" + String.format(Locale.ROOT, "%012x", i);
            clients.add(Kit.daemon(() -> send(id, "statement", STATEMENT_SECONDS, "{}", 700_000)));
            Kit.sleep(PAUSE_MILLIS);
        }
        for (Thread client : clients) {
            client.join();
        }
        if (Kit.trouble()) {
            old.awaitReady();
            bench.record("the old process still says yes at /_health");
        }
        bench.recordLog(old, Pattern.compile("INFO|WARN|SEVERE"), 12);
        bench.record("of " + JOBS + " jobs sent from then on, " + (served.get() - before) + " were served and " + held
                + " were held");
        return held.get() > 0 ? Kit.BROKEN : served.get() - before > JOBS / 2 ? Kit.HELD : Kit.COULD_NOT_RUN;
    }

    private Kit.Dispatcher start(String life, String config) throws IOException {
        Map<String, String> admin = Map.of("ROUTER_ADMIN_ADDR", Kit.HOST + ":" + Kit.freePort());
        return new Kit.Dispatcher(bench, life, "n0", port, config, "", admin);
    }

    /** The new process says yes within 6 s of its start. */
    private void awaitServing(Kit.Dispatcher next, long startedAt) throws Exception {
        while ((System.nanoTime() - startedAt) / Kit.MS < 6000) {
            if (Files.readString(next.log).contains("listens on")) {
                return;
            }
            Kit.sleep(50);
        }
        throw new IOException("the new process does not take clients");
    }

    private void terminate(Kit.Dispatcher old) {
        try {
            old.terminate(TERM_TO_KILL_MILLIS);
            bench.record("the old process has ended");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void send(String id, String requestClass, double seconds, String body, long hintMicros) {
        long startedAt = System.nanoTime();
        String outcome;
        try (Socket socket = new Socket(Kit.HOST, port)) {
            socket.setSoTimeout((int) (seconds * 1000) + 600);
            String head = Kit.job(id, requestClass, seconds, body.length(), "X-Cost-Hint: " + hintMicros + "\r\n");
            socket.getOutputStream().write((head + body).getBytes(StandardCharsets.US_ASCII));
            Kit.Message answer = Kit.Message.read(new BufferedInputStream(socket.getInputStream()));
            outcome = answer == null ? "closed" : answer.first();
            served.addAndGet(answer != null && answer.status() == 200 ? 1 : 0);
        } catch (IOException e) {
            outcome = e.toString();
        }
        double took = (System.nanoTime() - startedAt) / 1e9;
        boolean wasSent = runner.taken.containsKey(id);
        if (!wasSent && took > HELD_SECONDS) {
            held.incrementAndGet();
        }
        bench.record(String.format(
                Locale.ROOT,
                "%s %s: %s after %.2f s, %s",
                requestClass,
                id,
                outcome,
                took,
                wasSent ? "sent to the runner" : "never sent to the runner"));
    }
}
