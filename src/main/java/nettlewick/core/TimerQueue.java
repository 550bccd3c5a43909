package nettlewick.core;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.NavigableSet;
import java.util.TreeSet;

/** Scheduled tasks, earliest first; tasks that are due at the same time keep their insertion order. */
final class TimerQueue {
    /**
     * A task in the queue. Whoever schedules a task that refers to a request must cancel it when the request no longer
     * needs it; otherwise the request stays in memory until the task is due.
     */
    final class ScheduledTask {
        private final double dueAtMillis;
        private final long sequence;
        private final Runnable task;

        private ScheduledTask(double dueAtMillis, long sequence, Runnable task) {
            this.dueAtMillis = dueAtMillis;
            this.sequence = sequence;
            this.task = task;
        }

        /** Removes the task from the queue; ignored if it is no longer there. */
        void cancel() {
            tasks.remove(this);
        }
    }

    /** A sorted set instead of a heap, because most tasks are cancelled and a heap is slow to remove from. */
    private final NavigableSet<ScheduledTask> tasks = new TreeSet<>(
            Comparator.<ScheduledTask>comparingDouble(t -> t.dueAtMillis).thenComparingLong(t -> t.sequence));

    private long nextSequence;

    ScheduledTask add(double dueAtMillis, Runnable task) {
        ScheduledTask scheduled = new ScheduledTask(dueAtMillis, nextSequence++, task);
        tasks.add(scheduled);
        return scheduled;
    }

    /** Removes and returns the tasks that are due at {@code nowMillis}, in order. */
    List<Runnable> removeDue(double nowMillis) {
        List<Runnable> due = new ArrayList<>();
        while (!tasks.isEmpty() && tasks.first().dueAtMillis <= nowMillis) {
            due.add(tasks.pollFirst().task);
        }
        return due;
    }

    /** The number of tasks in the queue. */
    int size() {
        return tasks.size();
    }

    /** Milliseconds until the next task is due, never negative; {@code idleMillis} if there is no task. */
    double millisUntilNext(double nowMillis, double idleMillis) {
        return tasks.isEmpty() ? idleMillis : Math.max(0, tasks.first().dueAtMillis - nowMillis);
    }
}
