package reedmux.gatekeeper.reducer;

import java.util.PriorityQueue;

/** The timers of one reducer, ordered by due time and then by the order in which they were set. */
final class ReducerTimers {
    private final PriorityQueue<ReducerTimer> queue = new PriorityQueue<>();
    private long lastSequence;

    /** Sets a timer that raises {@code event} at {@code dueAt}, in microseconds. */
    ReducerTimer set(long dueAt, ReducerEvent event) {
        ReducerTimer timer = new ReducerTimer(dueAt, ++lastSequence, event);
        queue.add(timer);
        return timer;
    }

    /** Returns the sequence number of the most recently set timer. */
    long lastSequence() {
        return lastSequence;
    }

    /** Returns whether the next timer is due at {@code now} and its sequence number is at most {@code upToSequence}. */
    boolean isDue(long now, long upToSequence) {
        ReducerTimer next = queue.peek();
        return next != null && next.dueAt <= now && next.sequence <= upToSequence;
    }

    /** Removes the next timer and returns its event, or null if the timer was cancelled. */
    ReducerEvent poll() {
        return queue.poll().event();
    }

    /**
     * Returns the due time of the next timer in microseconds, or {@link Long#MAX_VALUE} if no timer is set. Removes
     * cancelled timers from the head of the queue: nearly all timers are cancelled, and an iteration of the event loop
     * for each of them would cost more than the request itself.
     */
    long nextDue() {
        while (!queue.isEmpty() && queue.peek().event() == null) {
            queue.poll();
        }
        return queue.isEmpty() ? Long.MAX_VALUE : queue.peek().dueAt;
    }
}
