package reedmux.control.changes;

/** Things in the order of their last change, so that what is newer than a change costs what it comes to. */
public final class ChangeList<T> {
    private final ChangeListNode<T> sentinel = new ChangeListNode<>(null);

    /** A thing's place in the order. */
    public static final class ChangeListNode<T> {
        private final T value;
        private long change;
        private ChangeListNode<T> older = this;
        private ChangeListNode<T> newer = this;

        public ChangeListNode(T thing) {
            this.value = thing;
        }

        public T value() {
            return value;
        }

        public long change() {
            return change;
        }
    }

    /** It has changed, under a number above all others. */
    public void moveToNewest(ChangeListNode<T> node, long change) {
        remove(node);
        node.change = change;
        node.older = sentinel.older;
        node.newer = sentinel;
        sentinel.older.newer = node;
        sentinel.older = node;
    }

    public void remove(ChangeListNode<T> node) {
        node.older.newer = node.newer;
        node.newer.older = node.older;
        node.older = node;
        node.newer = node;
    }

    /** The oldest of those that have changed since, or null. */
    public ChangeListNode<T> firstAfterChange(long change) {
        ChangeListNode<T> first = sentinel;
        while (first.older != sentinel && first.older.change > change) {
            first = first.older;
        }
        return first == sentinel ? null : first;
    }

    /** The next newer one, or null. */
    public ChangeListNode<T> nextNewer(ChangeListNode<T> node) {
        return node.newer == sentinel ? null : node.newer;
    }

    /** The number of the newest change; 0 where there is none. */
    public long lastChange() {
        return sentinel.older.change;
    }

    /** The one whose last change is the oldest, or null. */
    public ChangeListNode<T> oldest() {
        return sentinel.newer == sentinel ? null : sentinel.newer;
    }
}
