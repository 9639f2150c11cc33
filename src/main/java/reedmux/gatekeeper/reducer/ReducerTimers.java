package reedmux.gatekeeper.reducer;

import java.util.PriorityQueue;

/** The timers of one reducer, by the time at which they are due, and in the order in which they were set. */
final class ReducerTimers {
    private final PriorityQueue<ReducerTimer> queue = new PriorityQueue<>();
    private long lastSequence;

    /** Sets a timer for a time in microseconds. */
    ReducerTimer set(long at, ReducerEvent event) {
        ReducerTimer timer = new ReducerTimer(at, ++lastSequence, event);
        queue.add(timer);
        return timer;
    }

    /** The sequence number of the timer that was set last. */
    long lastSequence() {
        return lastSequence;
    }

    /** Whether the next timer is due at a time, and was set no later than the one of that sequence number. */
    boolean isDue(long now, long upToSequence) {
        ReducerTimer next = queue.peek();
        return next != null && next.dueAt <= now && next.sequence <= upToSequence;
    }

    /** Takes the next timer off; returns its event, or null where it has been cancelled. */
    ReducerEvent poll() {
        return queue.poll().event();
    }

    /**
     * When the next timer is due, in microseconds; the far future if there is none. Cancelled ones are passed over:
     * nearly all of them end that way, and a turn for each would cost more than the request did.
     */
    long nextDue() {
        while (!queue.isEmpty() && queue.peek().event() == null) {
            queue.poll();
        }
        return queue.isEmpty() ? Long.MAX_VALUE : queue.peek().dueAt;
    }
}
