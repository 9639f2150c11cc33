package reedmux.fleet;

/** Things in the order of their last change, so that what is newer than a change costs what it comes to. */
public final class Recent<T> {
    private final Node<T> end = new Node<>(null);

    /** A thing's place in the order. */
    public static final class Node<T> {
        private final T thing;
        private long change;
        private Node<T> older = this;
        private Node<T> newer = this;

        public Node(T thing) {
            this.thing = thing;
        }

        public T thing() {
            return thing;
        }

        public long change() {
            return change;
        }
    }

    /** It has changed, under a number above all others. */
    public void changed(Node<T> node, long change) {
        remove(node);
        node.change = change;
        node.older = end.older;
        node.newer = end;
        end.older.newer = node;
        end.older = node;
    }

    public void remove(Node<T> node) {
        node.older.newer = node.newer;
        node.newer.older = node.older;
        node.older = node;
        node.newer = node;
    }

    /** The oldest of those that have changed since, or null. */
    public Node<T> firstSince(long change) {
        Node<T> first = end;
        while (first.older != end && first.older.change > change) {
            first = first.older;
        }
        return first == end ? null : first;
    }

    /** The next newer one, or null. */
    public Node<T> after(Node<T> node) {
        return node.newer == end ? null : node.newer;
    }

    /** The number of the newest change; 0 where there is none. */
    public long last() {
        return end.older.change;
    }

    /** The one whose last change is the oldest, or null. */
    public Node<T> oldest() {
        return end.newer == end ? null : end.newer;
    }
}
