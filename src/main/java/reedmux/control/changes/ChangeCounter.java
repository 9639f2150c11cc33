package reedmux.control.changes;

/** Numbers all changes of one process in a single sequence that starts at 1. */
public final class ChangeCounter {
    private long last;

    /** Returns the number of the next change. */
    public long next() {
        return ++last;
    }

    /** The number of the last change, or 0 before the first one. */
    public long last() {
        return last;
    }
}
