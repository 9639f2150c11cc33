package reedmux.control.session;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The proxies that a process knows, sorted by node, so that the order is the same in every process. The index of a
 * proxy is also its position in a binary heap; the proxies exchange quota counts with their parent and children in this
 * heap. Immutable.
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

    /** Creates a view of the given sessions. If a node has several, the last one in the collection is used. */
    public static SessionView of(Collection<ProxySession> sessions) {
        Map<String, ProxySession> byNode = new TreeMap<>();
        sessions.forEach(session -> byNode.put(session.node(), session));
        return new SessionView(new ArrayList<>(byNode.values()));
    }

    /** The number of members. */
    public int size() {
        return members.size();
    }

    /** Returns the member at an index, which starts at 0. */
    public ProxySession member(int index) {
        return members.get(index);
    }

    /** Returns all members in order; the list must not be modified. */
    public List<ProxySession> members() {
        return members;
    }

    /** Returns the index of a node, or -1 if the node is not a member. */
    public int indexOf(String node) {
        return indexByNode.getOrDefault(node, NONE);
    }

    /** A hash of the members' nodes and incarnations; processes with equal digests have the same view. */
    public long digest() {
        return digest;
    }

    /** Returns the heap indexes of the parent, the left child and the right child, in this order; -1 if absent. */
    public int[] heapNeighbours(int index) {
        int parent = index <= 0 ? NONE : (index - 1) / 2;
        return new int[] {parent, childOf(index, 1), childOf(index, 2)};
    }

    /** Returns the heap index of child 1 (left) or 2 (right), or -1 if there is none. */
    private int childOf(int index, int childNumber) {
        int child = 2 * index + childNumber;
        return index >= 0 && child < members.size() ? child : NONE;
    }
}
