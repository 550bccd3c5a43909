import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A sim runner's answer is spoilt and doesn't end, at a deployment that allows no second copies: while that attempt is
 * out on its open connection, no other attempt of the request may be sent.
 */
final class SecondCopy {
    private static final int JOBS = 20;
    /** How long an earlier attempt's connection has to stay open beside a later attempt to count; a time limit's slack. */
    private static final long SLACK_MILLIS = 50;

    private static final int RUN_MILLIS = 800;

    public static void main(String[] args) throws Exception {
        Play.run(args, play -> {
            AtomicInteger broken = new AtomicInteger();
            AtomicInteger spoiltCount = new AtomicInteger();
            Map<String, Runner.Job> out = new ConcurrentHashMap<>();
            Runner[] runners = new Runner[4];
            for (int i = 0; i < runners.length; i++) {
                runners[i] = play.keep(new Runner("s-0000000" + (i + 1), play.record));
                boolean spoils = i == 0;
                runners[i].behave(job -> {
                    Runner.Job earlier = out.putIfAbsent(job.id, job);
                    if (earlier != null && isOpen(earlier, SLACK_MILLIS)) {
                        broken.incrementAndGet();
                        play.record.line("second copy: " + job.id + " came to " + job.runner() + " while it was out at "
                                + earlier.runner() + " on a connection that was open " + SLACK_MILLIS + " ms later");
                    }
                    if (spoils && play.trouble) {
                        spoiltCount.incrementAndGet();
                        job.take();
                        job.say("started", "");
                        Thread.sleep(50);
                        play.record.line(job.runner() + " writes a line that cannot be read, to " + job.id);
                        job.chunk(("{\"id\":\"" + job.id + "\",\"from\":\"" + job.runner() + "\",\"state\":\"run\n")
                                .getBytes(StandardCharsets.UTF_8));
                        long begunAt = System.nanoTime();
                        while (isOpen(job, 5) && System.nanoTime() - begunAt < 5_000_000_000L) {
                            Thread.sleep(5);
                        }
                        out.remove(job.id, job);
                        play.record.line(job.runner() + ": the connection of " + job.id + " was open for "
                                + (System.nanoTime() - begunAt) / 1_000_000 + " ms after that line");
                        job.socket.close();
                    } else {
                        job.take();
                        job.say("started", "");
                        Thread.sleep(RUN_MILLIS);
                        out.remove(job.id, job);
                        job.say("done", ",\"result\":\"r" + job.id + "\"");
                        job.end();
                    }
                });
            }
            Discovery discovery = play.discovery("posta", runners);
            Dispatcher dispatcher =
                    play.keep(Dispatcher.start(play.folder, discovery, 1024, 192, Settings.darMembers(), ""));
            CountDownLatch done = new CountDownLatch(JOBS);
            for (int i = 0; i < JOBS; i++) {
                String id = String.format("%016x", 0x2000 + i);
                boolean keyed = i % 2 == 1;
                Thread client = new Thread(() -> {
                    byte[] job = Http.job(
                            id,
                            keyed ? "dues-post" : "statement",
                            "gymkhana-dar",
                            keyed ? 20 : 10,
                            "X-Cost-Hint: 800000\r\n" + (keyed ? "Idempotency-Key: " + id + id + "\r\n" : ""),
                            "{}".getBytes(StandardCharsets.UTF_8));
                    Http.Message answer = Http.exchange(dispatcher.port, job, 21_000);
                    play.record.line(id + " answered by " + (answer == null ? "nothing" : answer.first));
                    done.countDown();
                });
                client.setDaemon(true);
                client.start();
                Thread.sleep(400);
            }
            done.await(30, TimeUnit.SECONDS);
            play.record.line(spoiltCount + " answers were spoilt; " + broken + " second copies");
            if (play.trouble && spoiltCount.get() == 0) {
                throw new IOException("no answer was spoilt");
            }
            return broken.get() == 0;
        });
    }

    /** Whether the dispatcher has neither closed the connection nor ended its sending on it after this time. */
    private static boolean isOpen(Runner.Job job, long afterMillis) throws InterruptedException {
        Thread.sleep(afterMillis);
        if (job.socket.isClosed()) {
            return false;
        }
        synchronized (job) {
            try {
                job.socket.setSoTimeout(1);
                return job.socket.getInputStream().read() >= 0;
            } catch (java.net.SocketTimeoutException e) {
                return true;
            } catch (IOException e) {
                return false;
            }
        }
    }
}
