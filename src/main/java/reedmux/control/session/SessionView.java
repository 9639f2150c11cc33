package reedmux.control.session;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The members that a process knows of, in the order that all agree on. Two views are the same if their tags
 * are.
 */
public final class SessionView {
    private static final long HASH_MULTIPLIER = 0x9E3779B97F4A7C15L;
    private static final int HEAP_NEIGHBOURS = 3;
    private final List<ProxySession> members;
    private final Map<String, Integer> indexByNode = new HashMap<>();
    private final long digest;

    private SessionView(List<ProxySession> members) {
        this.members = members;
        long hash = members.size();
        for (int i = 0; i < members.size(); i++) {
            indexByNode.put(members.get(i).node(), i);
            hash = (hash ^ members.get(i).node().hashCode()) * HASH_MULTIPLIER;
            hash = (hash ^ hash >>> 29 ^ members.get(i).incarnation()) * HASH_MULTIPLIER;
        }
        digest = hash;
    }

    /** Of two lives of one node the one told later stands. */
    public static SessionView of(Collection<ProxySession> sessions) {
        Map<String, ProxySession> byNode = new TreeMap<>();
        sessions.forEach(session -> byNode.put(session.node(), session));
        return new SessionView(new ArrayList<>(byNode.values()));
    }

    public int size() {
        return members.size();
    }

    public ProxySession member(int place) {
        return members.get(place);
    }

    public List<ProxySession> members() {
        return members;
    }

    /** The place of a node in the order, or -1. */
    public int indexOf(String node) {
        return indexByNode.getOrDefault(node, -1);
    }

    public long digest() {
        return digest;
    }

    /** The places of parent, left and right child in the heap, each -1 where there is none. */
    public int[] heapNeighbours(int place) {
        int[] near = new int[HEAP_NEIGHBOURS];
        near[0] = place <= 0 ? -1 : (place - 1) / 2;
        for (int child = 1; child <= 2; child++) {
            int at = 2 * place + child;
            near[child] = place >= 0 && at < members.size() ? at : -1;
        }
        return near;
    }
}
