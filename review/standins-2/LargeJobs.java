import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Hundreds of jobs at once, each with a body and a result of the size that the protocol page allows. */
final class LargeJobs {
    private static final int BODY_BYTES = 64 * 1024;
    private static final int DESCRIPTORS = 1024;
    /** Under a third of the descriptors, which is what clients hold for requests at most. */
    private static final int CLIENTS_AT_ONCE = Integer.getInteger("clients", 335);

    private static final int CLIENTS_IN_TURN = 20;
    private static final int MOST_EACH = 100;
    /** How long clients go on with a next job. */
    private static final long SENDING_NANOS = 45_000_000_000L;

    private static final int RUN_MILLIS = Integer.getInteger("run", 2500);
    private static final int DEADLINE_SECONDS = 10;
    /** Up to half a second after its time an answer only earns nothing; each time limit is 50 ms longer on sockets. */
    private static final int LATE_MILLIS = 550;

    public static void main(String[] args) throws Exception {
        Play.run(args, play -> {
            Runner[] runners = new Runner[10];
            String sample = "{\"t\":\"1.5\",\"v\":\"2\"},";
            String text = sample.repeat(BODY_BYTES / sample.length());
            byte[] body = text.getBytes(StandardCharsets.UTF_8);
            String result = text.replace("\"", "\\\"");
            for (int i = 0; i < runners.length; i++) {
                runners[i] = play.keep(new Runner("s-000000" + (10 + i), null));
                runners[i].slots(60);
                runners[i].behave(job -> job.done(RUN_MILLIS, result));
            }
            Discovery discovery = play.discovery("posta", runners);
            Dispatcher dispatcher =
                    play.keep(Dispatcher.start(play.folder, discovery, DESCRIPTORS, 192, new Settings(), ""));
            int clients = play.trouble ? CLIENTS_AT_ONCE : CLIENTS_IN_TURN;
            AtomicInteger answered = new AtomicInteger();
            AtomicInteger broken = new AtomicInteger();
            long begunAt = System.nanoTime();
            CountDownLatch done = new CountDownLatch(clients);
            for (int c = 0; c < clients; c++) {
                int number = c;
                Thread client = new Thread(() -> {
                    for (int i = 0; i < MOST_EACH && System.nanoTime() - begunAt < SENDING_NANOS && broken.get() == 0; i++) {
                        String id = String.format("%016x", 0x30000 + number * MOST_EACH + i);
                        String more = "X-Cost-Hint: 1000000\r\nIdempotency-Key: " + id + id + "\r\n";
                        byte[] job = Http.job(id, "save-run", "college-nord", DEADLINE_SECONDS, more, body);
                        long sentAt = System.nanoTime();
                        Http.Message answer =
                                Http.exchange(dispatcher.port, job, DEADLINE_SECONDS * 1000 + 2 * LATE_MILLIS);
                        long millis = (System.nanoTime() - sentAt) / 1_000_000;
                        boolean lost = answer == null || millis > DEADLINE_SECONDS * 1000 + LATE_MILLIS;
                        boolean foreign =
                                answer != null && answer.status() == 200 && !answer.text().equals(text);
                        (lost || foreign ? broken : answered).incrementAndGet();
                        play.record.line(id + " of " + job.length + " bytes answered by "
                                + (answer == null ? "nothing" : answer.first + ", " + answer.body.length + " bytes")
                                + " after " + millis + " ms");
                    }
                    done.countDown();
                });
                client.setDaemon(true);
                client.start();
            }
            done.await(65, TimeUnit.SECONDS);
            play.record.line(answered + " jobs answered in time, " + broken + " lost; process alive: "
                    + dispatcher.process().isAlive());
            dispatcher.log().stream().limit(12).forEach(line -> play.record.line("log: " + line));
            return broken.get() == 0 && dispatcher.process().isAlive();
        });
    }
}
