package nettlewick.fleettest;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;
import java.util.stream.Stream;

/**
 * Measures how long the machine stalled this process and each dispatcher, so that such delays are not attributed to a
 * dispatcher. Samples on its own thread; times in milliseconds of the run's clock. Safe for any thread.
 */
final class StallMonitor implements AutoCloseable {
    /** A time in which a process or loop was not scheduled. */
    record Stall(String subject, double from, double to) {
        private boolean overlaps(double begin, double end) {
            return from <= end && to >= begin;
        }

        private String text() {
            return String.format("%s held up from %.0f to %.0f ms", subject, from, to);
        }
    }

    private static final long SAMPLE_MILLIS = 10;
    private static final double MIN_STALL_MILLIS = 50;
    /**
     * How often the dispatchers' run queue waits are sampled; a wait of {@link #MIN_WAIT_FRACTION} of that time is a
     * stall.
     */
    private static final double WAIT_SAMPLE_MILLIS = 500;

    private static final double MIN_WAIT_FRACTION = 0.2;
    private static final double NANOS_PER_MILLI = 1e6;

    private final DoubleSupplier clock;
    private final Fleet fleet;
    private final List<Stall> stalls = new ArrayList<>();
    private final double[] previousWaitMillis;
    private final long[] sampledPids;
    private final Thread sampler = new Thread(this::sample, "hold-ups");
    private double waitsSampledAt;
    private volatile boolean stopped;

    StallMonitor(DoubleSupplier clock, Fleet fleet) {
        this.clock = clock;
        this.fleet = fleet;
        previousWaitMillis = new double[fleet.dispatchers.size()];
        sampledPids = new long[fleet.dispatchers.size()];
        sampler.setDaemon(true);
        sampler.start();
    }

    private void sample() {
        double before = clock.getAsDouble();
        try {
            while (!stopped) {
                TimeUnit.MILLISECONDS.sleep(SAMPLE_MILLIS);
                double now = clock.getAsDouble();
                recordStall("the test's own process", before, now);
                if (now - waitsSampledAt >= WAIT_SAMPLE_MILLIS) {
                    sampleWaits(now);
                }
                before = clock.getAsDouble();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Records a stall if too much time passed between two iterations of a loop. */
    synchronized void recordStall(String subject, double before, double now) {
        if (now - before > MIN_STALL_MILLIS) {
            stalls.add(new Stall(subject, before, now));
        }
    }

    private void sampleWaits(double now) {
        double elapsed = now - waitsSampledAt;
        for (Fleet.DispatcherProcess dispatcher : fleet.dispatchers) {
            Process process = dispatcher.process;
            if (process == null || !process.isAlive()) {
                continue;
            }
            double waited = runQueueWaitMillis(process.pid());
            boolean isSameProcess = sampledPids[dispatcher.number] == process.pid();
            double wait = waited - previousWaitMillis[dispatcher.number];
            if (isSameProcess && wait > MIN_WAIT_FRACTION * elapsed) {
                add(new Stall(
                        String.format("n%d (threads waited %.0f ms for a core)", dispatcher.number, wait),
                        waitsSampledAt,
                        now));
            }
            sampledPids[dispatcher.number] = process.pid();
            previousWaitMillis[dispatcher.number] = waited;
        }
        waitsSampledAt = now;
    }

    private synchronized void add(Stall stall) {
        stalls.add(stall);
    }

    /** Returns how long the threads of a process have waited for a core, in total; 0 if that cannot be read. */
    private static double runQueueWaitMillis(long pid) {
        try (Stream<Path> threads = Files.list(Path.of("/proc/" + pid + "/task"))) {
            return threads.mapToDouble(StallMonitor::threadWaitNanos).sum() / NANOS_PER_MILLI;
        } catch (IOException e) {
            return 0;
        }
    }

    private static double threadWaitNanos(Path thread) {
        try {
            return Double.parseDouble(
                    Files.readString(thread.resolve("schedstat")).split(" ")[1]);
        } catch (IOException | NumberFormatException | ArrayIndexOutOfBoundsException e) {
            return 0;
        }
    }

    /** Describes the stalls of this process and of one dispatcher between two times. */
    synchronized List<String> overlapping(double from, double to, int dispatcher) {
        return stalls.stream()
                .filter(stall -> stall.overlaps(from, to))
                .filter(stall ->
                        !stall.subject().startsWith("n") || stall.subject().startsWith("n" + dispatcher + " "))
                .map(Stall::text)
                .toList();
    }

    /** Returns the longest stall of this process, in milliseconds. */
    synchronized double longestOwnStallMillis() {
        return stalls.stream()
                .filter(stall -> !stall.subject().startsWith("n"))
                .mapToDouble(stall -> stall.to() - stall.from())
                .max()
                .orElse(0);
    }

    @Override
    public void close() {
        stopped = true;
        sampler.interrupt();
    }
}
