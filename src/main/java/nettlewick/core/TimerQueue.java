package nettlewick.core;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;

/** Scheduled tasks, earliest first; tasks that are due at the same time keep their insertion order. */
final class TimerQueue {
    private record ScheduledTask(double dueAtMillis, long sequence, Runnable task)
            implements Comparable<ScheduledTask> {
        @Override
        public int compareTo(ScheduledTask other) {
            int order = Double.compare(dueAtMillis, other.dueAtMillis);
            return order != 0 ? order : Long.compare(sequence, other.sequence);
        }
    }

    private final PriorityQueue<ScheduledTask> tasks = new PriorityQueue<>();
    private long nextSequence;

    void add(double dueAtMillis, Runnable task) {
        tasks.add(new ScheduledTask(dueAtMillis, nextSequence++, task));
    }

    /** Removes and returns the tasks that are due at {@code nowMillis}, in order. */
    List<Runnable> removeDue(double nowMillis) {
        List<Runnable> due = new ArrayList<>();
        while (!tasks.isEmpty() && tasks.peek().dueAtMillis() <= nowMillis) {
            due.add(tasks.poll().task());
        }
        return due;
    }

    /** The number of tasks in the queue. */
    int size() {
        return tasks.size();
    }

    /** Milliseconds until the next task is due, never negative; {@code idleMillis} if there is no task. */
    double millisUntilNext(double nowMillis, double idleMillis) {
        return tasks.isEmpty() ? idleMillis : Math.max(0, tasks.peek().dueAtMillis() - nowMillis);
    }
}
