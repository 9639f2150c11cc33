package reedmux.common.quota;

/**
 * One customer's counters at one member of DESIGN's heap: one for each neighbour, of what that has still to
 * be told, and {@code localCount}, of what is used over all members. What one neighbour tells enters all
 * counters but the one facing it. Shared by the gatekeeper and the proxy; pure.
 */
public class HeapCounter {
    /** In place of a neighbour: what comes from ourselves. */
    public static final int LOCAL = -2;
    /** A number beyond all members, for one that is none any more. */
    private static final int DEPARTED_INDEX = 1_000_000;

    private static final int NEIGHBOUR_COUNT = 3;

    /** The numbers of parent, left and right, each below nought where there is none. */
    public int[] neighbours = {-1, -1, -1};
    /** What each of them has still to be told. */
    public double[] pending = new double[NEIGHBOUR_COUNT];

    public double localCount;

    /** Adds to all counters but the one facing {@code from}. */
    public void add(double units, int from) {
        localCount += units;
        for (int i = 0; i < NEIGHBOUR_COUNT; i++) {
            pending[i] += neighbours[i] >= 0 && neighbours[i] != from ? units : 0;
        }
    }

    /** Counts what goes no further. */
    public void addWithoutForwarding(double units) {
        localCount += units;
    }

    /** What has drained; never below nought. */
    public void drain(double units) {
        localCount = Math.max(0, localCount - units);
    }

    /** Somebody who knows more counts so much. */
    public void raiseTo(double count) {
        localCount = Math.max(localCount, count);
    }

    /** No more is counted than that. */
    public void capAt(double count) {
        localCount = Math.min(localCount, count);
    }

    public double localCount() {
        return localCount;
    }

    /** Takes all that a neighbour has still to be told. */
    public double takePending(int slot) {
        double units = pending[slot];
        pending[slot] = 0;
        return units;
    }

    /** Nobody is told what waits. */
    public void clearPending() {
        pending = new double[NEIGHBOUR_COUNT];
    }

    public int neighbour(int slot) {
        return neighbours[slot];
    }

    /** The link that leads to a member, or -1. */
    public int slotOf(int peer) {
        return neighbours[0] == peer ? 0 : neighbours[1] == peer ? 1 : neighbours[2] == peer ? 2 : -1;
    }

    /** The members are numbered anew: {@code next} has the new number of each neighbour, -1 if it left. */
    public void renumber(int[] next) {
        for (int i = 0; i < NEIGHBOUR_COUNT; i++) {
            neighbours[i] = neighbours[i] < 0 ? -1 : next[i] < 0 ? DEPARTED_INDEX + i : next[i];
        }
    }

    /**
     * Carries the counters over to new neighbours; what waited for former ones waits for the new. Of what
     * waited for two that went at once most is the same units, and counts once.
     */
    public void rewire(int[] next) {
        int[] old = neighbours;
        double[] oldTo = pending;
        neighbours = next.clone();
        pending = new double[NEIGHBOUR_COUNT];
        double stranded = 0;
        for (int i = 0; i < NEIGHBOUR_COUNT; i++) {
            if (old[i] >= 0 && slotOf(old[i]) < 0 && Math.abs(oldTo[i]) > Math.abs(stranded)) {
                stranded = oldTo[i];
            }
        }
        for (int i = 0; i < NEIGHBOUR_COUNT; i++) {
            int before = slotIn(old, neighbours[i]);
            pending[i] = neighbours[i] < 0 ? 0 : before >= 0 ? oldTo[before] : stranded;
        }
    }

    /** The link that led to a member before, or -1. */
    public static int slotIn(int[] old, int peer) {
        return peer < 0 ? -1 : peer == old[0] ? 0 : peer == old[1] ? 1 : peer == old[2] ? 2 : -1;
    }
}
