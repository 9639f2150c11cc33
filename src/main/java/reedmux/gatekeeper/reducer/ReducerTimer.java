package reedmux.gatekeeper.reducer;

/**
 * An event that is due at a time, in microseconds; of those due together the one set first comes first. Nearly all are
 * cancelled: what the event refers to can be freed then, while the timer itself stays in its queue until it is due.
 */
public final class ReducerTimer implements Comparable<ReducerTimer> {
    final long dueAt;
    final long sequence;
    private ReducerEvent event;

    ReducerTimer(long at, long order, ReducerEvent event) {
        this.dueAt = at;
        this.sequence = order;
        this.event = event;
    }

    /** The event, or null where it has been cancelled. */
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
