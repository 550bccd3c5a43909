package nettlewick.core;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import nettlewick.core.Metrics.CoreBacklog;
import nettlewick.core.TimerQueue.ScheduledTask;
import nettlewick.decision.Action;
import nettlewick.decision.Dispatcher;
import nettlewick.decision.Event;
import nettlewick.log.ComponentLogger;

/**
 * The event loop of the core thread. It owns the decision module: it runs queued tasks and due timers, passes the
 * events that they add to the module in batches, and executes the resulting actions.
 *
 * <p>{@link #post} and {@link #stop} may be called on any thread. All other methods must be called on the core thread,
 * which is the first thread to run the loop; assertions check this.
 */
final class CoreLoop implements Runnable {
    static final ComponentLogger LOG = ComponentLogger.of("core");
    private static final int MAX_TASKS_PER_ITERATION = 512;
    private static final double MAX_IDLE_MILLIS = 1000;
    private static final double MICROS_PER_MILLI = 1000;

    private final Clock clock;
    private final Dispatcher module;
    private final ModuleStatsSampler statsSampler;
    private final Consumer<Action> actionExecutor;
    private final BlockingQueue<Runnable> queue = new LinkedBlockingQueue<>();
    private final TimerQueue timers = new TimerQueue();
    private List<Event> pendingEvents = new ArrayList<>();
    private double nowMillis;
    private Thread coreThread;
    private volatile boolean stopped;

    CoreLoop(Clock clock, Dispatcher module, Metrics metrics, Consumer<Action> actionExecutor) {
        this.clock = clock;
        this.module = module;
        this.actionExecutor = actionExecutor;
        statsSampler = new ModuleStatsSampler(module, metrics);
        nowMillis = clock.nowMillis();
    }

    /** Queues a task for the core thread. Thread-safe. */
    void post(Runnable task) {
        queue.add(task);
    }

    /** Ends {@link #run} after the tasks that are already queued. Thread-safe. */
    void stop() {
        post(() -> stopped = true);
    }

    /** The time at which the current iteration started. */
    double nowMillis() {
        assert isCoreThread();
        return nowMillis;
    }

    /** Adds an event to the next batch for the module. */
    void addEvent(Event event) {
        assert isCoreThread();
        pendingEvents.add(event);
    }

    boolean hasPendingEvents() {
        assert isCoreThread();
        return !pendingEvents.isEmpty();
    }

    /** Runs the task in the first iteration that starts at or after {@code dueAtMillis}, unless it is cancelled. */
    ScheduledTask schedule(double dueAtMillis, Runnable task) {
        assert isCoreThread();
        return timers.add(dueAtMillis, task);
    }

    @Override
    public void run() {
        claimCoreThread();
        decide();
        while (!stopped) {
            try {
                runIteration(millisUntilWork());
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            } catch (OutOfMemoryError e) {
                logFailure("iteration-failed", "an iteration of the core thread ran out of memory", e);
            }
        }
    }

    private double millisUntilWork() {
        return pendingEvents.isEmpty() ? timers.millisUntilNext(clock.nowMillis(), MAX_IDLE_MILLIS) : 0;
    }

    /** Waits up to {@code maxWaitMillis} for a task, runs all ready tasks, then passes their events to the module. */
    void runIteration(double maxWaitMillis) throws InterruptedException {
        claimCoreThread();
        Runnable first = queue.poll((long) Math.ceil(maxWaitMillis * MICROS_PER_MILLI), TimeUnit.MICROSECONDS);
        nowMillis = clock.nowMillis();
        runQueued(first);
        timers.removeDue(nowMillis).forEach(CoreLoop::runGuarded);
        while (!pendingEvents.isEmpty()) {
            decide();
        }
        statsSampler.sampleIfDue(nowMillis, new CoreBacklog(queue.size(), timers.size()));
    }

    private void runQueued(Runnable first) {
        Runnable task = first;
        int taken = 0;
        while (task != null) {
            runGuarded(task);
            taken++;
            task = taken < MAX_TASKS_PER_ITERATION ? queue.poll() : null;
        }
    }

    private void decide() {
        List<Event> events = pendingEvents;
        pendingEvents = new ArrayList<>();
        List<Action> actions;
        try {
            actions = module.handle(ModuleTime.toNanos(nowMillis), events);
        } catch (RuntimeException | VirtualMachineError e) {
            logFailure("module-failed", "decision module failed to handle a batch of events", e);
            return;
        }
        for (Action action : actions) {
            runGuarded(() -> actionExecutor.accept(action));
        }
    }

    /**
     * Logs exceptions: a failing task must not terminate the core thread, on which all requests depend. After an
     * {@link OutOfMemoryError} the deadline guard still answers the requests that the task was to serve.
     */
    private static void runGuarded(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException | VirtualMachineError e) {
            logFailure("task-failed", "task on the core thread failed", e);
        }
    }

    private static void logFailure(String event, String message, Throwable failure) {
        try {
            LOG.error(event, message, failure);
        } catch (OutOfMemoryError e) {
            // Nothing is left to log with.
        }
    }

    private void claimCoreThread() {
        if (coreThread == null) {
            coreThread = Thread.currentThread();
        }
        assert isCoreThread();
    }

    private boolean isCoreThread() {
        return coreThread == Thread.currentThread();
    }
}
