package reedmux.control.consensus;

import java.util.Collection;
import java.util.Set;
import java.util.TreeSet;

/**
 * Determines which sets of nodes form a quorum: a majority of the members that contains at least a minimum number of
 * them, so that a decision survives the loss of all but one of that many disks. During a membership change, a quorum of
 * both the old and the new members is required.
 *
 * <p>Invariant: any two quorums share a node.
 */
public final class Quorum {
    private final Set<String> members;
    /** Empty unless a membership change is in progress. */
    private final Set<String> nextMembers;

    private final int minimumSize;

    private Quorum(Set<String> members, Set<String> nextMembers, int minimumSize) {
        this.members = members;
        this.nextMembers = nextMembers;
        this.minimumSize = minimumSize;
    }

    /**
     * Returns the quorum of a fixed set of members.
     *
     * @param members the IP addresses of the members
     * @param minimumSize the least number of members in a quorum
     */
    public static Quorum of(Collection<String> members, int minimumSize) {
        return new Quorum(new TreeSet<>(members), Set.of(), minimumSize);
    }

    /** Returns the joint quorum for a change from {@code members} to {@code nextMembers}. */
    public static Quorum joint(Collection<String> members, Collection<String> nextMembers, int minimumSize) {
        return new Quorum(new TreeSet<>(members), new TreeSet<>(nextMembers), minimumSize);
    }

    /** Returns whether these nodes form a quorum. */
    public boolean isReachedBy(Collection<String> nodes) {
        return isReachedIn(members, nodes) && (nextMembers.isEmpty() || isReachedIn(nextMembers, nodes));
    }

    /** Returns whether every quorum contains at least one of these nodes. */
    public boolean isBlockedBy(Collection<String> nodes) {
        return isBlockedIn(members, nodes) || isBlockedIn(nextMembers, nodes);
    }

    private boolean isReachedIn(Set<String> group, Collection<String> nodes) {
        return group.size() - countExcluding(group, nodes) >= requiredSize(group);
    }

    private boolean isBlockedIn(Set<String> group, Collection<String> nodes) {
        return !group.isEmpty() && countExcluding(group, nodes) < requiredSize(group);
    }

    private static int countExcluding(Set<String> group, Collection<String> excluded) {
        int count = 0;
        for (String node : group) {
            if (!excluded.contains(node)) {
                count++;
            }
        }
        return count;
    }

    private int requiredSize(Set<String> group) {
        return Math.max(group.size() / 2 + 1, minimumSize);
    }
}
