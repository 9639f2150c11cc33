package reedmux.control.changes;

/** Numbers the changes of all that one process tells to those that pull, in one row. */
public final class ChangeCounter {
    private long last;

    public long next() {
        return ++last;
    }

    public long last() {
        return last;
    }
}
