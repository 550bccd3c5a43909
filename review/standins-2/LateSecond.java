import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/** Overloaded sim runners turn jobs away, and some of these answers come a second time some milliseconds later. */
final class LateSecond {
    private static final int CLIENTS = Integer.getInteger("clients", 40);
    private static final int SECONDS = Integer.getInteger("secs", 30);

    private static final double P503 = Double.parseDouble(System.getProperty("p503", "0.25"));
    private static final double P504 = Double.parseDouble(System.getProperty("p504", "0.25"));
    private static final double SPOILT = Double.parseDouble(System.getProperty("spoilt", "0.5"));

    private static boolean spoilt(SplittableRandom random) {
        synchronized (random) {
            return random.nextDouble() < SPOILT;
        }
    }

    public static void main(String[] args) throws Exception {
        Play.run(args, play -> {
            Map<String, List<String>> runs = new ConcurrentHashMap<>();
            AtomicInteger again = new AtomicInteger();
            Runner[] runners = new Runner[4];
            for (int i = 0; i < runners.length; i++) {
                runners[i] = play.keep(new Runner("s-0000000" + (i + 1), null));
                SplittableRandom random = new SplittableRandom(i);
                runners[i].behave(job -> {
                    double x;
                    synchronized (random) {
                        x = random.nextDouble();
                    }
                    boolean unsafe = "mark-submit".equals(job.request.header("X-Class"));
                    if (unsafe) {
                        runs.computeIfAbsent(job.id, k -> new CopyOnWriteArrayList<>()).add(job.runner());
                        job.done(40, "r" + job.id);
                    } else if (x < P503) {
                        turnAway(job, "503 Service Unavailable");
                        if (play.trouble && spoilt(random)) {
                            Thread.sleep(5);
                            again.incrementAndGet();
                            turnAway(job, "503 Service Unavailable");
                        }
                    } else if (x < P503 + P504) {
                        Thread.sleep(300);
                        turnAway(job, "504 Gateway Timeout");
                    } else {
                        job.done(40, "r" + job.id);
                    }
                });
            }
            Discovery discovery = play.discovery("posta", runners);
            Dispatcher dispatcher = play.keep(Dispatcher.start(play.folder, discovery, 1024, 192, new Settings(), ""));
            AtomicInteger broken = new AtomicInteger();
            AtomicInteger jobs = new AtomicInteger();
            AtomicInteger[] by = {new AtomicInteger(), new AtomicInteger(), new AtomicInteger()};
            Thread[] clients = new Thread[CLIENTS];
            long end = System.nanoTime() + SECONDS * 1_000_000_000L;
            for (int c = 0; c < CLIENTS; c++) {
                SplittableRandom random = new SplittableRandom(100 + c);
                clients[c] = new Thread(() -> {
                    while (System.nanoTime() < end) {
                        String id = String.format("%016x", 0x9000 + jobs.incrementAndGet());
                        boolean unsafe = random.nextInt(4) == 0;
                        byte[] job = Http.job(
                                id,
                                unsafe ? "mark-submit" : "step-view",
                                "college-nord",
                                5,
                                "X-Cost-Hint: 40000\r\n",
                                "{}".getBytes(StandardCharsets.UTF_8));
                        Http.Message answer = Http.exchange(dispatcher.port, job, 6000);
                        int status = answer == null ? 0 : answer.status();
                        by[status == 200 ? 0 : status == 503 ? 1 : 2].incrementAndGet();
                        if (unsafe) {
                            try {
                                Thread.sleep(60);
                            } catch (InterruptedException e) {
                                return;
                            }
                            List<String> at = runs.getOrDefault(id, List.of());
                            if (at.size() > 1 || status == 503 && !at.isEmpty()) {
                                broken.incrementAndGet();
                                play.record.line("broken: mark-submit " + id + " was run at " + at + " and answered " + status);
                            }
                        }
                    }
                });
                clients[c].start();
            }
            for (Thread client : clients) {
                client.join();
            }
            for (Map.Entry<String, List<String>> run : runs.entrySet()) {
                if (run.getValue().size() > 1) {
                    play.record.line(run.getKey() + " run at " + run.getValue());
                }
            }
            long twice = runs.values().stream().filter(l -> l.size() > 1).count();
            play.record.line(jobs + " jobs, " + runs.size() + " mark-submits run, " + twice + " of them twice, " + broken
                    + " broken; " + again + " answers came twice; 200 " + by[0] + " 503 " + by[1] + " other " + by[2]);
            return broken.get() == 0 && twice == 0;
        });
    }

    private static void turnAway(Runner.Job job, String status) throws java.io.IOException {
        job.out.write(("HTTP/1.1 " + status + "\r\nX-Not-Run: 1\r\nContent-Length: 3\r\n\r\nno\n")
                .getBytes(StandardCharsets.US_ASCII));
        job.out.flush();
    }
}
