package reedmux.common.quota;

/**
 * The counters of one customer at one member of a quota heap. The members form a binary heap by their index, so that
 * each has a parent and two children at most, and the links between them form a tree of degree three.
 *
 * <p>There are four counters: {@code localCount}, of all units that this member knows to be used anywhere, and one for
 * each neighbour, of units that it has still to be sent. A unit that is used here enters all four; a unit that a
 * neighbour sends enters all but the one that faces it. As a tree has no cycles, every member counts each unit once.
 *
 * <p>Shared by the gatekeeper and the proxy. Deterministic; for one thread.
 */
public class HeapCounter {
    /** In place of a neighbour's index: units that were used at this member. */
    public static final int LOCAL = -2;
    /** Parent, left child and right child, which is the order of their slots. */
    public static final int NEIGHBOUR_COUNT = 3;
    /** Beyond all indexes: stands for a neighbour that has left, until the counters are rewired. */
    private static final int DEPARTED_INDEX = 1_000_000;

    /** The members' indexes of parent, left and right child, each -1 where there is none. */
    public int[] neighbours = {-1, -1, -1};
    /** By slot, the units that the neighbour has still to be sent. */
    public double[] pending = new double[NEIGHBOUR_COUNT];
    /** All units that are known here and have not drained; never below zero after a drain. */
    public double localCount;

    /** Counts units and queues them for all neighbours but {@code from}, an index or {@link #LOCAL}. */
    public void add(double units, int from) {
        localCount += units;
        for (int i = 0; i < NEIGHBOUR_COUNT; i++) {
            pending[i] += neighbours[i] >= 0 && neighbours[i] != from ? units : 0;
        }
    }

    /** Counts units without queueing them for any neighbour. */
    public void addWithoutForwarding(double units) {
        localCount += units;
    }

    /** Takes units off the count, down to zero. */
    public void drain(double units) {
        localCount = Math.max(0, localCount - units);
    }

    /** Raises the count to that of a member that knows more. */
    public void raiseTo(double count) {
        localCount = Math.max(localCount, count);
    }

    /** Lowers the count to a maximum; what is queued for neighbours stays. */
    public void capAt(double count) {
        localCount = Math.min(localCount, count);
    }

    /** All units that are known here and have not drained. */
    public double localCount() {
        return localCount;
    }

    /** Removes and returns all units that wait for a neighbour. */
    public double takePending(int slot) {
        double units = pending[slot];
        pending[slot] = 0;
        return units;
    }

    /** Drops what waits for all neighbours. */
    public void clearPending() {
        pending = new double[NEIGHBOUR_COUNT];
    }

    /** The index of the neighbour in a slot, -1 for none. */
    public int neighbour(int slot) {
        return neighbours[slot];
    }

    /** The slot of a member that is a neighbour, else -1. */
    public int slotOf(int peer) {
        return neighbours[0] == peer ? 0 : neighbours[1] == peer ? 1 : neighbours[2] == peer ? 2 : -1;
    }

    /**
     * Follows a change of the members' indexes; {@link #rewire} is to be called next.
     *
     * @param newIndexes by slot, the neighbour's new index, -1 if it left
     */
    public void renumber(int[] newIndexes) {
        for (int i = 0; i < NEIGHBOUR_COUNT; i++) {
            neighbours[i] = neighbours[i] < 0 ? -1 : newIndexes[i] < 0 ? DEPARTED_INDEX + i : newIndexes[i];
        }
    }

    /**
     * Carries the counters over to new neighbours. Units that wait for a member that stays a neighbour go on waiting
     * for it; units that waited for one that is none any more wait for each new neighbour instead. Where two went at
     * once, most of what waited for both is the same units, so the larger amount stands for both.
     *
     * @param newNeighbours by slot, the new neighbour's index, -1 for none
     */
    public void rewire(int[] newNeighbours) {
        int[] oldNeighbours = neighbours;
        double[] oldPending = pending;
        neighbours = newNeighbours.clone();
        pending = new double[NEIGHBOUR_COUNT];
        double stranded = 0;
        for (int i = 0; i < NEIGHBOUR_COUNT; i++) {
            if (oldNeighbours[i] >= 0 && slotOf(oldNeighbours[i]) < 0 && Math.abs(oldPending[i]) > Math.abs(stranded)) {
                stranded = oldPending[i];
            }
        }
        for (int i = 0; i < NEIGHBOUR_COUNT; i++) {
            int oldSlot = slotIn(oldNeighbours, neighbours[i]);
            pending[i] = neighbours[i] < 0 ? 0 : oldSlot >= 0 ? oldPending[oldSlot] : stranded;
        }
    }

    /** The slot in which {@code old} has a member, or -1. */
    public static int slotIn(int[] neighbours, int peer) {
        return peer < 0 ? -1 : peer == neighbours[0] ? 0 : peer == neighbours[1] ? 1 : peer == neighbours[2] ? 2 : -1;
    }
}
