package reedmux.member;

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
public final class View {
    private static final long MULTIPLIER = 0x9E3779B97F4A7C15L;
    private static final int NEIGHBOURS = 3;
    private final List<Session> members;
    private final Map<String, Integer> places = new HashMap<>();
    private final long tag;

    private View(List<Session> members) {
        this.members = members;
        long hash = members.size();
        for (int i = 0; i < members.size(); i++) {
            places.put(members.get(i).node(), i);
            hash = (hash ^ members.get(i).node().hashCode()) * MULTIPLIER;
            hash = (hash ^ hash >>> 29 ^ members.get(i).life()) * MULTIPLIER;
        }
        tag = hash;
    }

    /** Of two lives of one node the one told later stands. */
    public static View of(Collection<Session> sessions) {
        Map<String, Session> byNode = new TreeMap<>();
        sessions.forEach(session -> byNode.put(session.node(), session));
        return new View(new ArrayList<>(byNode.values()));
    }

    public int size() {
        return members.size();
    }

    public Session member(int place) {
        return members.get(place);
    }

    public List<Session> members() {
        return members;
    }

    /** The place of a node in the order, or -1. */
    public int place(String node) {
        return places.getOrDefault(node, -1);
    }

    public long tag() {
        return tag;
    }

    /** The places of parent, left and right child in the heap, each -1 where there is none. */
    public int[] neighbours(int place) {
        int[] near = new int[NEIGHBOURS];
        near[0] = place <= 0 ? -1 : (place - 1) / 2;
        for (int child = 1; child <= 2; child++) {
            int at = 2 * place + child;
            near[child] = place >= 0 && at < members.size() ? at : -1;
        }
        return near;
    }
}
