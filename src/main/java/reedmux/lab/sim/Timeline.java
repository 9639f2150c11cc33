package reedmux.lab.sim;

import java.util.PriorityQueue;

/** Virtual time: what is due next happens next, and of things due together what was asked for first. */
final class Timeline {
    private record Task(long at, long order, Runnable what) implements Comparable<Task> {
        @Override
        public int compareTo(Task other) {
            int byTime = Long.compare(at, other.at);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    private final PriorityQueue<Task> tasks = new PriorityQueue<>();
    private long now;
    private long order;

    long now() {
        return now;
    }

    /** Has something happen at a time, or now if that has passed. */
    void at(long when, Runnable what) {
        tasks.add(new Task(Math.max(now, when), ++order, what));
    }

    void in(long micros, Runnable what) {
        at(now + micros, what);
    }

    /** Lets happen what is due until then. */
    void run(long until) {
        while (!tasks.isEmpty() && tasks.peek().at <= until) {
            Task task = tasks.poll();
            now = task.at;
            task.what.run();
        }
        now = Math.max(now, until);
    }
}
