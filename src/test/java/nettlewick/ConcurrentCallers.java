package nettlewick;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/** Runs a task on more threads than there are cores, so that threads are preempted at any point of it. */
public final class ConcurrentCallers {
    private static final int THREADS_PER_CORE = 4;

    private ConcurrentCallers() {}

    /** Runs the task once on each thread and returns the concatenated results. */
    public static <T> List<T> runOnEach(Callable<List<T>> task) throws Exception {
        int threads = THREADS_PER_CORE * Runtime.getRuntime().availableProcessors();
        ExecutorService executor = Executors.newFixedThreadPool(threads);
        try {
            List<Future<List<T>>> pending = new ArrayList<>();
            for (int i = 0; i < threads; i++) {
                pending.add(executor.submit(task));
            }
            List<T> results = new ArrayList<>();
            for (Future<List<T>> future : pending) {
                results.addAll(future.get());
            }
            return results;
        } finally {
            executor.shutdownNow();
        }
    }
}
