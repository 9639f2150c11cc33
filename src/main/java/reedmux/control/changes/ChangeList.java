package reedmux.control.changes;

/**
 * Values in the order of their last change: a doubly linked list, so that moving a value to the end takes constant
 * time, and reading what is newer than a change takes time in proportion to what there is.
 *
 * @param <T> the type of the values
 */
public final class ChangeList<T> {
    /** Closes the list to a ring: its newer neighbour is the oldest node, its older neighbour the newest one. */
    private final ChangeListNode<T> sentinel = new ChangeListNode<>(null);

    /**
     * A value's place in at most one list.
     *
     * @param <T> the type of the value
     */
    public static final class ChangeListNode<T> {
        private final T value;
        private long change;
        private ChangeListNode<T> older = this;
        private ChangeListNode<T> newer = this;

        /** Creates a node that is in no list yet. */
        public ChangeListNode(T value) {
            this.value = value;
        }

        /** The value. */
        public T value() {
            return value;
        }

        /** The number of the value's last change; 0 before it is in a list. */
        public long change() {
            return change;
        }
    }

    /** Makes a node the newest one, whether it was in the list or not; the change has to be above all others. */
    public void moveToNewest(ChangeListNode<T> node, long change) {
        remove(node);
        node.change = change;
        node.older = sentinel.older;
        node.newer = sentinel;
        sentinel.older.newer = node;
        sentinel.older = node;
    }

    /** Removes a node; without effect on one that is in no list. */
    public void remove(ChangeListNode<T> node) {
        node.older.newer = node.newer;
        node.newer.older = node.older;
        node.older = node;
        node.newer = node;
    }

    /** Returns the oldest of the nodes that have changed after a change, or null. */
    public ChangeListNode<T> firstAfterChange(long change) {
        ChangeListNode<T> first = sentinel;
        while (first.older != sentinel && first.older.change > change) {
            first = first.older;
        }
        return first == sentinel ? null : first;
    }

    /** Returns the next newer node, or null. */
    public ChangeListNode<T> nextNewer(ChangeListNode<T> node) {
        return node.newer == sentinel ? null : node.newer;
    }

    /** The number of the newest change; 0 where there is none. */
    public long lastChange() {
        return sentinel.older.change;
    }

    /** Returns the node whose last change is the oldest, or null. */
    public ChangeListNode<T> oldest() {
        return sentinel.newer == sentinel ? null : sentinel.newer;
    }
}
