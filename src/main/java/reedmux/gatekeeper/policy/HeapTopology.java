package reedmux.gatekeeper.policy;

/**
 * The members of the group, which of them are reachable, and the heaps that the reachable gateways of each customer
 * form. A customer's gateways are {@code count} members in a row, from number {@code first} on and round the end.
 *
 * <p>The reachable ones form a binary tree ordered by number and heap-ordered by a fixed rank of the number, so that
 * the trees of all customers share most of their edges. A parent always outranks its child: edges that both ends agree
 * on form no ring, whatever each of them thinks of third members.
 */
final class HeapTopology {
    private static final int NONE = -1;

    private final int self;
    /** How often each member has changed between reachable and silent; odd while it is silent. */
    private final int[] versions;
    /** Counts the changes of who is reachable, so that accounts know when their neighbours may be others. */
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

    /** Whether this gateway is one of a customer's. */
    boolean includesSelf(int first, int count) {
        return includes(self, first, count);
    }

    private boolean includes(int member, int first, int count) {
        return Math.floorMod(member - first, versions.length) < count;
    }

    /** The share of a customer's gateways that are silent. */
    double unreachableShare(int first, int count) {
        int unreachable = 0;
        for (int i = 0; i < count; i++) {
            unreachable += versions[(first + i) % versions.length] & 1;
        }
        return (double) unreachable / count;
    }

    /** Levels of a heap of so many members. */
    static int depth(int members) {
        return Integer.SIZE - Integer.numberOfLeadingZeros(members);
    }

    /** This gateway's parent, left and right child among a customer's gateways; -1 for none. */
    int[] neighbours(int first, int count) {
        int[] lower = nearestOnSide(first, count, -1);
        int[] upper = nearestOnSide(first, count, 1);
        int parent = lower[0] < 0 || upper[0] >= 0 && outranks(lower[0], upper[0]) ? upper[0] : lower[0];
        return includesSelf(first, count) ? new int[] {parent, lower[1], upper[1]} : new int[] {NONE, NONE, NONE};
    }

    /** On one side of this gateway: the nearest member that outranks it, and the highest of those before that one. */
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
