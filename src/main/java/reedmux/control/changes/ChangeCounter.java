package reedmux.control.changes;

/** Numbers all changes of one process, from 1 on, in one sequence. */
public final class ChangeCounter {
    private long last;

    /** Returns the number of the next change. */
    public long next() {
        return ++last;
    }

    /** The number of the last change; 0 before the first one. */
    public long last() {
        return last;
    }
}
