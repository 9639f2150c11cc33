package reedmux.core;

/**
 * An event that is due at a time; of those due together the one set first comes first. Nearly all are called
 * off: what they would have told of is let go then, while the timer itself stays in its queue until it is
 * due.
 */
final class Timer implements Comparable<Timer> {
    final long at;
    final long order;
    private Event event;

    Timer(long at, long order, Event event) {
        this.at = at;
        this.order = order;
        this.event = event;
    }

    /** The event, or null where it has been called off. */
    Event event() {
        return event;
    }

    void callOff() {
        event = null;
    }

    @Override
    public int compareTo(Timer other) {
        int byTime = Long.compare(at, other.at);
        return byTime != 0 ? byTime : Long.compare(order, other.order);
    }
}
