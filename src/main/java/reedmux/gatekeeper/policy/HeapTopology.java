package reedmux.gatekeeper.policy;

/**
 * The members of the group, their reachability, and the heaps formed by the reachable gateways of each customer. A
 * customer's gateways are {@code count} consecutive members starting at number {@code first}, wrapping around at the
 * end of the group.
 *
 * <p>The reachable gateways form a binary tree ordered by number and heap-ordered by a fixed rank of the number, so
 * that the trees of all customers share most of their edges. A parent always outranks its child: edges on which both
 * ends agree form no cycle, whatever each end believes about other members.
 */
final class HeapTopology {
    private static final int NONE = -1;

    private final int self;
    /** By member, the number of changes between reachable and unreachable; odd while it is unreachable. */
    private final int[] versions;
    /** Incremented with each change of reachability, so that accounts know when to recompute their neighbours. */
    private int revision;

    HeapTopology(int self, int groupSize) {
        this.self = self;
        versions = new int[groupSize];
    }

    int size() {
        return versions.length;
    }

    int revision() {
        return revision;
    }

    void advanceRevision() {
        revision++;
    }

    int version(int member) {
        return versions[member];
    }

    void setVersion(int member, int version) {
        versions[member] = version;
    }

    boolean isUnreachable(int member) {
        return isUnreachableVersion(versions[member]);
    }

    static boolean isUnreachableVersion(int version) {
        return (version & 1) == 1;
    }

    /** Whether this gateway is one of a customer's gateways. */
    boolean includesSelf(int first, int count) {
        return includes(self, first, count);
    }

    private boolean includes(int member, int first, int count) {
        return Math.floorMod(member - first, versions.length) < count;
    }

    /** Returns the share of a customer's gateways that are unreachable. */
    double unreachableShare(int first, int count) {
        int unreachable = 0;
        for (int i = 0; i < count; i++) {
            unreachable += versions[(first + i) % versions.length] & 1;
        }
        return (double) unreachable / count;
    }

    /** Returns the number of levels of a heap with that many members. */
    static int depth(int members) {
        return Integer.SIZE - Integer.numberOfLeadingZeros(members);
    }

    /** Returns this gateway's parent, left child and right child among a customer's gateways; -1 for none. */
    int[] neighbours(int first, int count) {
        int[] lower = nearestOnSide(first, count, -1);
        int[] upper = nearestOnSide(first, count, 1);
        int parent = lower[0] < 0 || upper[0] >= 0 && outranks(lower[0], upper[0]) ? upper[0] : lower[0];
        return includesSelf(first, count) ? new int[] {parent, lower[1], upper[1]} : new int[] {NONE, NONE, NONE};
    }

    /**
     * Scans one side of this gateway: returns the nearest member that outranks it, and the highest-ranked member before
     * that one.
     */
    private int[] nearestOnSide(int first, int count, int step) {
        int child = NONE;
        for (int member = self + step; member >= 0 && member < versions.length; member += step) {
            if (includes(member, first, count) && !isUnreachable(member)) {
                if (outranks(member, self)) {
                    return new int[] {member, child};
                }
                child = child < 0 || outranks(member, child) ? member : child;
            }
        }
        return new int[] {NONE, child};
    }

    private static boolean outranks(int first, int second) {
        int firstRank = Integer.numberOfTrailingZeros(first + 1);
        int secondRank = Integer.numberOfTrailingZeros(second + 1);
        return firstRank > secondRank || firstRank == secondRank && first < second;
    }
}
