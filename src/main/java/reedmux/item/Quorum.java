package reedmux.item;

import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * Which sets of stores decide: more than half of the members, and at least so many copies as may be lost and
 * one. While a change of the members is under way, that many of those before and of those after. Any two sets
 * that decide share a store. Stores are named by their ip.
 */
public final class Quorum {
    private final Set<String> members;
    private final Set<String> next;
    private final int copies;

    private Quorum(Set<String> members, Set<String> next, int copies) {
        this.members = members;
        this.next = next;
        this.copies = copies;
    }

    public static Quorum of(Collection<String> members, int copies) {
        return new Quorum(new TreeSet<>(members), Set.of(), copies);
    }

    /** While {@code members} are being changed to {@code next}. */
    public static Quorum joint(Collection<String> members, Collection<String> next, int copies) {
        return new Quorum(new TreeSet<>(members), new TreeSet<>(next), copies);
    }

    /** All that have a vote, in the order of their turns. */
    public List<String> members() {
        Set<String> all = new TreeSet<>(members);
        all.addAll(next);
        return List.copyOf(all);
    }

    public boolean has(String store) {
        return members.contains(store) || next.contains(store);
    }

    /** Whether these decide. */
    public boolean reached(Collection<String> stores) {
        return enough(members, stores) && (next.isEmpty() || enough(next, stores));
    }

    /** Whether no set that decides is without one of these. */
    public boolean blocked(Collection<String> stores) {
        return !members.isEmpty() && rest(members, stores) < need(members)
                || !next.isEmpty() && rest(next, stores) < need(next);
    }

    private boolean enough(Set<String> of, Collection<String> stores) {
        return of.size() - rest(of, stores) >= need(of);
    }

    private static int rest(Set<String> of, Collection<String> without) {
        int rest = 0;
        for (String store : of) {
            rest += without.contains(store) ? 0 : 1;
        }
        return rest;
    }

    private int need(Set<String> of) {
        return Math.max(of.size() / 2 + 1, copies);
    }
}
