package reedmux.common.quota;

/**
 * Holds the counters of one customer at one member of a quota heap. The members form a binary heap by their index: each
 * member has a parent and at most two children, so the links between members form a tree of degree three.
 *
 * <p>There are four counters: {@code localCount} holds all units that this member knows to be used by any member, and
 * one counter for each neighbour holds the units that have not been sent to it yet. A unit that is used at this member
 * is added to all four counters; a unit that a neighbour reports is added to all but that neighbour's counter. Because
 * a tree has no cycles, every member counts each unit once.
 *
 * <p>The gatekeeper and the proxy share this class. It is deterministic and not thread-safe.
 */
public class HeapCounter {
    /** Passed in place of a neighbour's index for units that were used at this member. */
    public static final int LOCAL = -2;
    /** Number of neighbour slots, in the order parent, left child, right child. */
    public static final int NEIGHBOUR_COUNT = 3;
    /** Larger than any member index; marks a neighbour that has left until the counters are rewired. */
    private static final int DEPARTED_INDEX = 1_000_000;

    /** Member indexes of the parent, the left child and the right child; -1 if there is no such neighbour. */
    public int[] neighbours = {-1, -1, -1};
    /** For each slot, the units that have not been sent to the neighbour yet. */
    public double[] pending = new double[NEIGHBOUR_COUNT];
    /** All units that this member knows of and that have not drained; a drain does not take it below zero. */
    public double localCount;

    /** Counts units and queues them for all neighbours except {@code from}, a member index or {@link #LOCAL}. */
    public void add(double units, int from) {
        localCount += units;
        for (int i = 0; i < NEIGHBOUR_COUNT; i++) {
            pending[i] += neighbours[i] >= 0 && neighbours[i] != from ? units : 0;
        }
    }

    /** Counts units without queueing them for the neighbours. */
    public void addWithoutForwarding(double units) {
        localCount += units;
    }

    /** Subtracts drained units from the count, which does not fall below zero. */
    public void drain(double units) {
        localCount = Math.max(0, localCount - units);
    }

    /** Raises the count to that of another member if that is larger. */
    public void raiseTo(double count) {
        localCount = Math.max(localCount, count);
    }

    /** Limits the count to a maximum; units queued for neighbours are unaffected. */
    public void capAt(double count) {
        localCount = Math.min(localCount, count);
    }

    /** Returns all units that this member knows of and that have not drained. */
    public double localCount() {
        return localCount;
    }

    /** Removes and returns the units queued for a neighbour. */
    public double takePending(int slot) {
        double units = pending[slot];
        pending[slot] = 0;
        return units;
    }

    /** Discards the units queued for all neighbours. */
    public void clearPending() {
        pending = new double[NEIGHBOUR_COUNT];
    }

    /** Returns the member index of the neighbour in a slot, or -1 if there is none. */
    public int neighbour(int slot) {
        return neighbours[slot];
    }

    /** Returns the slot of a neighbour, or -1 if the member is not a neighbour. */
    public int slotOf(int peer) {
        return neighbours[0] == peer ? 0 : neighbours[1] == peer ? 1 : neighbours[2] == peer ? 2 : -1;
    }

    /**
     * Updates the neighbours' indexes after the members were renumbered. {@link #rewire} must be called next.
     *
     * @param newIndexes for each slot, the neighbour's new member index, or -1 if it has left
     */
    public void renumber(int[] newIndexes) {
        for (int i = 0; i < NEIGHBOUR_COUNT; i++) {
            neighbours[i] = neighbours[i] < 0 ? -1 : newIndexes[i] < 0 ? DEPARTED_INDEX + i : newIndexes[i];
        }
    }

    /**
     * Moves the counters over to new neighbours. Units queued for a member that remains a neighbour stay queued for it.
     * Units queued for a former neighbour are queued for each new neighbour instead. If two neighbours are replaced at
     * once, most units queued for them are the same, so only the larger amount is kept.
     *
     * @param newNeighbours for each slot, the new neighbour's member index, or -1 if there is none
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

    /** Returns the slot that holds a member in {@code neighbours}, or -1 if none does. */
    public static int slotIn(int[] neighbours, int peer) {
        return peer < 0 ? -1 : peer == neighbours[0] ? 0 : peer == neighbours[1] ? 1 : peer == neighbours[2] ? 2 : -1;
    }
}
