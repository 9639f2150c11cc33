package reedmux.control.consensus;

import java.util.Collection;
import java.util.Set;
import java.util.TreeSet;

/**
 * Which sets of nodes decide: a majority of the members, and at least a given number of them, so that a decision
 * outlives the loss of all disks but one of that number. While the members are being changed, that of the members
 * before and of those after.
 *
 * <p>Invariant: any two sets that decide share a node.
 */
public final class Quorum {
    private final Set<String> members;
    /** Empty where no change is under way. */
    private final Set<String> nextMembers;

    private final int minimumSize;

    private Quorum(Set<String> members, Set<String> nextMembers, int minimumSize) {
        this.members = members;
        this.nextMembers = nextMembers;
        this.minimumSize = minimumSize;
    }

    /**
     * The quorum of members that are not being changed.
     *
     * @param members their ips
     */
    public static Quorum of(Collection<String> members, int minimumSize) {
        return new Quorum(new TreeSet<>(members), Set.of(), minimumSize);
    }

    /** The quorum while {@code members} are being changed to {@code nextMembers}. */
    public static Quorum joint(Collection<String> members, Collection<String> nextMembers, int minimumSize) {
        return new Quorum(new TreeSet<>(members), new TreeSet<>(nextMembers), minimumSize);
    }

    /** Whether these nodes decide. */
    public boolean isReachedBy(Collection<String> nodes) {
        return isReachedIn(members, nodes) && (nextMembers.isEmpty() || isReachedIn(nextMembers, nodes));
    }

    /** Whether no set that decides is without one of these nodes. */
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
