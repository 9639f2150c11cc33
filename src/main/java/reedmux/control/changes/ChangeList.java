package reedmux.control.changes;

/**
 * Values in the order of their last change. The list is doubly linked, so moving a value to the end takes constant
 * time, and reading the values that changed after a given change takes time proportional to their number.
 *
 * @param <T> the type of the values
 */
public final class ChangeList<T> {
    /** Makes the list circular: the next newer node is the oldest one, and the next older node is the newest one. */
    private final ChangeListNode<T> sentinel = new ChangeListNode<>(null);

    /**
     * Holds a value and its links in a list. A node is in at most one list at a time.
     *
     * @param <T> the type of the value
     */
    public static final class ChangeListNode<T> {
        private final T value;
        private long change;
        private ChangeListNode<T> older = this;
        private ChangeListNode<T> newer = this;

        /** Creates a node that is not in a list. */
        public ChangeListNode(T value) {
            this.value = value;
        }

        /** The value. */
        public T value() {
            return value;
        }

        /** The number of the value's last change, or 0 if the node has never been in a list. */
        public long change() {
            return change;
        }
    }

    /**
     * Adds a node as the newest one, or moves it there if it is already in the list. The change number must be higher
     * than all others in the list.
     */
    public void moveToNewest(ChangeListNode<T> node, long change) {
        remove(node);
        node.change = change;
        node.older = sentinel.older;
        node.newer = sentinel;
        sentinel.older.newer = node;
        sentinel.older = node;
    }

    /** Removes a node. Has no effect on a node that is not in a list. */
    public void remove(ChangeListNode<T> node) {
        node.older.newer = node.newer;
        node.newer.older = node.older;
        node.older = node;
        node.newer = node;
    }

    /** Returns the oldest node that changed after the given change, or null if there is none. */
    public ChangeListNode<T> firstAfterChange(long change) {
        ChangeListNode<T> first = sentinel;
        while (first.older != sentinel && first.older.change > change) {
            first = first.older;
        }
        return first == sentinel ? null : first;
    }

    /** Returns the next newer node, or null if this one is the newest. */
    public ChangeListNode<T> nextNewer(ChangeListNode<T> node) {
        return node.newer == sentinel ? null : node.newer;
    }

    /** The number of the newest change, or 0 if the list is empty. */
    public long lastChange() {
        return sentinel.older.change;
    }

    /** Returns the node with the oldest last change, or null if the list is empty. */
    public ChangeListNode<T> oldest() {
        return sentinel.newer == sentinel ? null : sentinel.newer;
    }
}
