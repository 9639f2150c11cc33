package reedmux.simulation.region;

import java.util.PriorityQueue;

/** Virtual time, in microseconds: tasks run in the order of their times, equal ones in that of their scheduling. */
public final class VirtualTimeline {
    private record TimelineTask(long at, long order, Runnable what) implements Comparable<TimelineTask> {
        @Override
        public int compareTo(TimelineTask other) {
            int byTime = Long.compare(at, other.at);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    private final PriorityQueue<TimelineTask> tasks = new PriorityQueue<>();
    private long now;
    private long order;

    long now() {
        return now;
    }

    /** Schedules a task for a time, or for now if that has passed. */
    void at(long when, Runnable what) {
        tasks.add(new TimelineTask(Math.max(now, when), ++order, what));
    }

    void in(long micros, Runnable what) {
        at(now + micros, what);
    }

    /** Runs all tasks that are due until a time, which is the present one then. */
    void runUntil(long until) {
        while (!tasks.isEmpty() && tasks.peek().at <= until) {
            TimelineTask task = tasks.poll();
            now = task.at;
            task.what.run();
        }
        now = Math.max(now, until);
    }
}
