package reedmux.gatekeeper.reducer;

/**
 * A timer that raises an event at {@code dueAt}, in microseconds. Timers with the same due time expire in the order in
 * which they were set. Nearly all timers are cancelled: cancellation drops the event, so that the objects it references
 * can be garbage collected, but the timer itself remains in its queue until it is due.
 */
public final class ReducerTimer implements Comparable<ReducerTimer> {
    final long dueAt;
    final long sequence;
    private ReducerEvent event;

    ReducerTimer(long dueAt, long sequence, ReducerEvent event) {
        this.dueAt = dueAt;
        this.sequence = sequence;
        this.event = event;
    }

    /** Returns the event, or null if the timer was cancelled. */
    ReducerEvent event() {
        return event;
    }

    void cancel() {
        event = null;
    }

    @Override
    public int compareTo(ReducerTimer other) {
        int byTime = Long.compare(dueAt, other.dueAt);
        return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
    }
}
