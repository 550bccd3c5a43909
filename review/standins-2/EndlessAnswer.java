import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** A sim runner whose spoilt answer never ends; every job that the dispatcher takes must get its final answer. */
final class EndlessAnswer {
    private static final int JOBS = 800;
    private static final int PAUSE_MILLIS = 25;
    private static final double DEADLINE_SECONDS = 2;
    private static final long BYTES_PER_SECOND = Long.getLong("pace", 20_000_000);
    private static final int RUNNERS = 8;
    private static final int RUN_MILLIS = 300;
    private static final int MOST_SPOILT = Integer.getInteger("most", 40);
    private static final int LATE_MILLIS = 550;

    public static void main(String[] args) throws Exception {
        Play.run(args, play -> {
            AtomicInteger spoiltAnswers = new AtomicInteger();
            Runner[] runners = new Runner[RUNNERS];
            for (int i = 0; i < RUNNERS; i++) {
                runners[i] = play.keep(new Runner("s-0000000" + (i + 1), null));
                boolean isBad = i == 0 && play.trouble;
                runners[i].behave(job -> {
                    if (!isBad || spoiltAnswers.get() >= MOST_SPOILT) {
                        job.done(RUN_MILLIS, "r" + job.id);
                        return;
                    }
                    spoiltAnswers.incrementAndGet();
                    play.record.line(job.runner() + " begins a spoilt answer that never ends, to " + job.id);
                    endless(play, job);
                });
            }
            Discovery discovery = play.discovery("posta", runners);
            Dispatcher dispatcher = play.keep(Dispatcher.start(play.folder, discovery, 1024, 192, new Settings().deadline("step-view", 5000, 2000), ""));
            AtomicInteger answered = new AtomicInteger();
            AtomicInteger lost = new AtomicInteger();
            CountDownLatch done = new CountDownLatch(JOBS);
            for (int i = 0; i < JOBS; i++) {
                String id = String.format("%016x", 0x1000 + i);
                Thread client = new Thread(() -> {
                    byte[] job = Http.job(
                            id, "step-view", "college-nord", DEADLINE_SECONDS, "", "{}".getBytes(StandardCharsets.UTF_8));
                    long sentAt = System.nanoTime();
                    Http.Message answer =
                            Http.exchange(dispatcher.port, job, (int) (DEADLINE_SECONDS * 1000) + 2 * LATE_MILLIS);
                    long millis = (System.nanoTime() - sentAt) / 1_000_000;
                    boolean isLost = answer == null || millis > DEADLINE_SECONDS * 1000 + LATE_MILLIS;
                    (isLost ? lost : answered).incrementAndGet();
                    play.record.line(id + " answered by " + (answer == null ? "nothing" : answer.first) + " after " + millis
                            + " ms");
                    done.countDown();
                });
                client.setDaemon(true);
                client.start();
                Thread.sleep(PAUSE_MILLIS);
            }
            done.await(20, TimeUnit.SECONDS);
            play.record.line(spoiltAnswers + " answers were spoilt; " + answered + " jobs answered in time, " + lost
                    + " lost; process alive: " + dispatcher.process().isAlive());
            dispatcher.log().stream().limit(12).forEach(line -> play.record.line("log: " + line));
            return lost.get() == 0 && dispatcher.process().isAlive();
        });
    }

    /** Writes at the pace of a slow network until the dispatcher ends the connection. */
    private static void endless(Play play, Runner.Job job) throws Exception {
        byte[] noise = new byte[32 * 1024];
        Arrays.fill(noise, (byte) 'x');
        long sent = 0;
        job.take();
        long begunAt = System.nanoTime();
        try {
            while (true) {
                job.chunk(noise);
                sent += noise.length;
                long aheadMillis = sent * 1000 / BYTES_PER_SECOND - (System.nanoTime() - begunAt) / 1_000_000;
                if (aheadMillis > 0) {
                    Thread.sleep(aheadMillis);
                }
            }
        } finally {
            play.record.line(job.runner() + " had written " + sent + " bytes to " + job.id + " when the connection ended, "
                    + (System.nanoTime() - begunAt) / 1_000_000 + " ms after the first");
        }
    }
}
