package reedmux.control.session;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The proxies that a process knows of, in an order that is the same in every process: by node. The position in that
 * order is also the position in a binary heap, by which the proxies exchange quota counts with their parent and
 * children. Immutable.
 */
public final class SessionView {
    /** 2^64 divided by the golden ratio, as in Fibonacci hashing. */
    private static final long HASH_MULTIPLIER = 0x9E3779B97F4A7C15L;

    private static final int NONE = -1;

    private final List<ProxySession> members;
    private final Map<String, Integer> indexByNode = new HashMap<>();
    private final long digest;

    private SessionView(List<ProxySession> members) {
        this.members = members;
        long hash = members.size();
        for (int i = 0; i < members.size(); i++) {
            ProxySession member = members.get(i);
            indexByNode.put(member.node(), i);
            hash = (hash ^ member.node().hashCode()) * HASH_MULTIPLIER;
            hash = (hash ^ hash >>> 29 ^ member.incarnation()) * HASH_MULTIPLIER;
        }
        digest = hash;
    }

    /** Creates the view of some sessions; of two sessions of one node the later in the collection counts. */
    public static SessionView of(Collection<ProxySession> sessions) {
        Map<String, ProxySession> byNode = new TreeMap<>();
        sessions.forEach(session -> byNode.put(session.node(), session));
        return new SessionView(new ArrayList<>(byNode.values()));
    }

    /** How many members there are. */
    public int size() {
        return members.size();
    }

    /** The member at an index, from 0. */
    public ProxySession member(int index) {
        return members.get(index);
    }

    /** All members in their order; not to be changed. */
    public List<ProxySession> members() {
        return members;
    }

    /** The index of a node, or -1 where it is no member. */
    public int indexOf(String node) {
        return indexByNode.getOrDefault(node, NONE);
    }

    /** A hash of the members' nodes and incarnations: two processes have the same view if their digests are equal. */
    public long digest() {
        return digest;
    }

    /** The indexes of the parent, the left and the right child in the heap, in this order; -1 where there is none. */
    public int[] heapNeighbours(int index) {
        int parent = index <= 0 ? NONE : (index - 1) / 2;
        return new int[] {parent, childOf(index, 1), childOf(index, 2)};
    }

    private int childOf(int index, int childNumber) {
        int child = 2 * index + childNumber;
        return index >= 0 && child < members.size() ? child : NONE;
    }
}
