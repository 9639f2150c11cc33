package reedmux.simulation.region;

import java.util.PriorityQueue;

/** Virtual time: what is due next happens next, and of things due together what was asked for first. */
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

    /** Has something happen at a time, or now if that has passed. */
    void at(long when, Runnable what) {
        tasks.add(new TimelineTask(Math.max(now, when), ++order, what));
    }

    void in(long micros, Runnable what) {
        at(now + micros, what);
    }

    /** Lets happen what is due until then. */
    void runUntil(long until) {
        while (!tasks.isEmpty() && tasks.peek().at <= until) {
            TimelineTask task = tasks.poll();
            now = task.at;
            task.what.run();
        }
        now = Math.max(now, until);
    }
}
