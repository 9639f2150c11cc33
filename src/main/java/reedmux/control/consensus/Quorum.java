package reedmux.control.consensus;

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
    private final Set<String> nextMembers;
    private final int minimumSize;

    private Quorum(Set<String> members, Set<String> next, int copies) {
        this.members = members;
        this.nextMembers = next;
        this.minimumSize = copies;
    }

    public static Quorum of(Collection<String> members, int copies) {
        return new Quorum(new TreeSet<>(members), Set.of(), copies);
    }

    /** While {@code members} are being changed to {@code nextMembers}. */
    public static Quorum joint(Collection<String> members, Collection<String> next, int copies) {
        return new Quorum(new TreeSet<>(members), new TreeSet<>(next), copies);
    }

    /** All that have a vote, in the order of their turns. */
    public List<String> members() {
        Set<String> all = new TreeSet<>(members);
        all.addAll(nextMembers);
        return List.copyOf(all);
    }

    public boolean contains(String store) {
        return members.contains(store) || nextMembers.contains(store);
    }

    /** Whether these decide. */
    public boolean isReachedBy(Collection<String> stores) {
        return hasEnough(members, stores) && (nextMembers.isEmpty() || hasEnough(nextMembers, stores));
    }

    /** Whether no set that decides is without one of these. */
    public boolean isBlockedBy(Collection<String> stores) {
        return !members.isEmpty() && countWithout(members, stores) < requiredSize(members)
                || !nextMembers.isEmpty() && countWithout(nextMembers, stores) < requiredSize(nextMembers);
    }

    private boolean hasEnough(Set<String> of, Collection<String> stores) {
        return of.size() - countWithout(of, stores) >= requiredSize(of);
    }

    private static int countWithout(Set<String> of, Collection<String> without) {
        int rest = 0;
        for (String store : of) {
            rest += without.contains(store) ? 0 : 1;
        }
        return rest;
    }

    private int requiredSize(Set<String> of) {
        return Math.max(of.size() / 2 + 1, minimumSize);
    }
}
